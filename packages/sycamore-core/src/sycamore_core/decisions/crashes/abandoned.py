"""Attempts that were given up while their endpoints might still run them.

Load pattern: a request crashes each engine that runs it. An engine, or the way
to it, is slow. The entry gives the attempt up as silent and sends the request
to another engine. The first engine crashes when the request reaches it.

Without this, nobody reports that the request was there. Popular requests that
run at the engine at that moment seem to be the only possible causes.
"""

from collections import deque

import msgspec

from ...ids import ContentDigest
from ...routing import EndpointLifetime

#: Upper bound of the stored attempts.
_MAX_ATTEMPTS = 1024
#: Longest time for which an attempt is stored, in seconds. Callers wait no
#: longer, and an endpoint is told for how long.
MAX_ABANDONED_SECONDS = 30.0


class AbandonedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """A request that an endpoint may run although nobody waits for it.

    Attributes
    ----------
    until
        When the endpoint is to end it by itself, on the monotonic clock, in
        seconds.
    had_just_begun
        Whether the request had run for a moment at most.
    has_output
        Whether the request has had output there.
    """

    content: ContentDigest
    endpoint: EndpointLifetime
    until: float
    had_just_begun: bool
    has_output: bool = False


class AbandonedAttempts:
    """Attempts that one entry gave up a short time ago.

    Examples
    --------
    >>> attempts = AbandonedAttempts()
    >>> endpoint = EndpointLifetime('e1', 5)
    >>> attempt = AbandonedAttempt(
    ...     content=b'digest', endpoint=endpoint, until=14, had_just_begun=True
    ... )
    >>> attempts.record(attempt, now=10)
    >>> attempts.has_any(endpoint, now=13), attempts.has_any(endpoint, now=14)
    (True, False)
    """

    def __init__(self) -> None:
        self._attempts: deque[AbandonedAttempt] = deque(maxlen=_MAX_ATTEMPTS)

    def record(self, attempt: AbandonedAttempt, now: float) -> None:
        """Record an attempt, and drop those that have ended."""
        while self._attempts and self._attempts[0].until <= now:
            self._attempts.popleft()
        self._attempts.append(attempt)

    def has_any(self, endpoint: EndpointLifetime, now: float) -> bool:
        """Return whether an endpoint may still run an abandoned request."""
        return bool(self._at(endpoint, now))

    def take(
        self, endpoint: EndpointLifetime, now: float
    ) -> list[AbandonedAttempt]:
        """Remove and return the attempts at an endpoint that has crashed.

        Parameters
        ----------
        now
            When the endpoint crashed.
        """
        found = self._at(endpoint, now)
        if found:
            others = [one for one in self._attempts if one not in found]
            self._attempts = deque(others, maxlen=_MAX_ATTEMPTS)
        return found

    def _at(
        self, endpoint: EndpointLifetime, now: float
    ) -> list[AbandonedAttempt]:
        return [
            attempt
            for attempt in self._attempts
            if attempt.endpoint == endpoint and attempt.until > now
        ]
