"""Attempts that were given up while their endpoints might still run them.

Load pattern: a request crashes each engine that runs it. An engine, or the way
to it, is slow. The entry gives the attempt up as silent and sends the request
to another engine. The first engine crashes when the request reaches it.

Without this, nobody reports that the request was there. Popular requests that
run at the engine at that moment seem to be the only possible causes.
"""

import msgspec

from ...ids import ContentDigest, PartDigest
from ...routing import EndpointLifetime

#: Upper bounds of the endpoints for which attempts are stored, and of the
#: attempts of each; the oldest are dropped.
_MAX_ENDPOINTS = 128
_MAX_ATTEMPTS = 16
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
    parts
        Parts of its prompt, if it had not begun without a crash there.
    """

    content: ContentDigest
    endpoint: EndpointLifetime
    until: float
    had_just_begun: bool
    has_output: bool = False
    parts: tuple[PartDigest, ...] = ()


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
        self._by_endpoint: dict[EndpointLifetime, list[AbandonedAttempt]] = {}

    def record(self, attempt: AbandonedAttempt, now: float) -> None:
        """Record an attempt, and drop those there that have ended."""
        # An endpoint with a new attempt counts as the newest.
        attempts = [*self.take(attempt.endpoint, now), attempt]
        self._by_endpoint[attempt.endpoint] = attempts[-_MAX_ATTEMPTS:]
        if len(self._by_endpoint) > _MAX_ENDPOINTS:
            self._by_endpoint.pop(next(iter(self._by_endpoint)))

    def remove(
        self, content: ContentDigest, endpoint: EndpointLifetime
    ) -> None:
        """Remove an attempt, as its request goes on at the endpoint."""
        attempts = self._by_endpoint.get(endpoint, [])
        for attempt in attempts:
            if attempt.content == content:
                attempts.remove(attempt)
                return

    def has_any(self, endpoint: EndpointLifetime, now: float) -> bool:
        """Return whether an endpoint may still run an abandoned request."""
        attempts = self._by_endpoint.get(endpoint, ())
        return any(attempt.until > now for attempt in attempts)

    def take(
        self, endpoint: EndpointLifetime, now: float
    ) -> list[AbandonedAttempt]:
        """Remove and return the attempts at an endpoint that has crashed.

        Parameters
        ----------
        now
            When the endpoint crashed.
        """
        attempts = self._by_endpoint.pop(endpoint, [])
        return [attempt for attempt in attempts if attempt.until > now]
