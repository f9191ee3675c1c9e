"""Failing endpoints, by this entry's own attempts and by reports of peers.

Load pattern: a sixth of the engines of a zone stop responding at the same time
and stay registered for some seconds. Thirteen entries place short requests on
these engines.

Without this, each entry detects the failure by itself, and again after each
backoff. The short request that detects it waits for 0.8 s and is late, so that
thirteen entries lose thirteen short requests at each silent engine in each
backoff period.

An entry backs off from an endpoint after a failure, exponentially longer after
each further failure in a row. It reports the endpoint to its peers, which back
off for the shortest time unless the endpoint has sent them something recently.
An entry for which many endpoints fail is most likely partitioned itself, and
reports nothing.
"""

from collections.abc import Iterable

import msgspec

from ...ids import EndpointId

#: Backoff after a first failure, in seconds. It doubles with each further
#: failure in a row, up to `MAX_BACKOFF_SECONDS`.
INITIAL_BACKOFF_SECONDS = 0.4
MAX_BACKOFF_SECONDS = 4.0
#: Doublings after which the backoff is longest in any case.
_MAX_DOUBLINGS = 8
#: Number of failing endpoints up to which an entry reports them. An entry that
#: cannot reach more endpoints reports none: it is more likely at fault itself,
#: and its reports would keep all peers away from healthy endpoints.
MAX_REPORTED = 6
#: Age up to which activity of an endpoint at this entry outweighs a peer's
#: report, in seconds. A short request waits for a silent engine for less than
#: this.
RECENT_ACTIVITY_SECONDS = 1.0
#: Time after its backoff for which a failure that a peer reported counts as
#: recent, in seconds. A short request finds out within this time whether the
#: endpoint answers again.
RECENT_FAILURE_SECONDS = 1.0


class FailureStreak(msgspec.Struct):
    """Consecutive failures of one endpoint.

    Attributes
    ----------
    backoff_until
        End of the backoff, on the monotonic clock, in seconds.
    """

    failures: int = 0
    backoff_until: float = 0


class FailureTracker:
    """Failures of endpoints that one entry knows of.

    Attributes
    ----------
    streaks
        Consecutive failures of attempts of this entry, by endpoint.
    peer_backoff_until
        End of the backoff that follows from reports of peers, by endpoint, on
        the monotonic clock, in seconds.
    last_activity_at
        When each endpoint last sent anything to this entry, on the monotonic
        clock, in seconds.

    Examples
    --------
    >>> tracker = FailureTracker()
    >>> tracker.record_failure('e1', now=10)
    >>> (
    ...     tracker.is_backing_off('e1', now=10.3),
    ...     tracker.is_backing_off('e1', now=10.5),
    ... )
    (True, False)
    """

    def __init__(self) -> None:
        self.streaks: dict[EndpointId, FailureStreak] = {}
        self.peer_backoff_until: dict[EndpointId, float] = {}
        self.last_activity_at: dict[EndpointId, float] = {}

    def record_failure(self, endpoint: EndpointId, now: float) -> None:
        """Record that an attempt at an endpoint failed."""
        streak = self.streaks.setdefault(endpoint, FailureStreak())
        doublings = min(streak.failures, _MAX_DOUBLINGS)
        backoff = min(
            MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2**doublings
        )
        streak.failures += 1
        streak.backoff_until = now + backoff

    def record_answer(self, endpoint: EndpointId) -> None:
        """Record that an endpoint answered, which ends all its backoffs."""
        self.streaks.pop(endpoint, None)
        self.peer_backoff_until.pop(endpoint, None)

    def record_activity(self, endpoint: EndpointId, now: float) -> None:
        """Record that an endpoint sent anything to this entry."""
        self.last_activity_at[endpoint] = now

    def has_repeated_failures(self, endpoint: EndpointId) -> bool:
        """Return whether several attempts in a row failed at an endpoint."""
        streak = self.streaks.get(endpoint)
        return streak is not None and streak.failures > 1

    def has_failed(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint has failed since its last answer.

        Failures that peers report count as well, for a short time.
        """
        until = self.peer_backoff_until.get(endpoint, 0)
        is_reported = now < until + RECENT_FAILURE_SECONDS
        return is_reported or endpoint in self.streaks

    def is_backing_off(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether this entry backs off from an endpoint."""
        is_reported = now < self.peer_backoff_until.get(endpoint, 0)
        return is_reported or self._has_own_backoff(endpoint, now)

    def is_active(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint sent something to this entry recently."""
        active_at = self.last_activity_at.get(endpoint)
        return (
            active_at is not None and now - active_at <= RECENT_ACTIVITY_SECONDS
        )

    def endpoints_to_report(self, now: float) -> tuple[EndpointId, ...]:
        """Return the failing endpoints to report to peers."""
        failing = [
            endpoint
            for endpoint in self.streaks
            if self._has_own_backoff(endpoint, now)
        ]
        return tuple(failing) if len(failing) <= MAX_REPORTED else ()

    def handle_report(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
    ) -> list[EndpointId]:
        """Handle a peer's report of failing endpoints.

        Returns
        -------
        list
            The endpoints for which the report begins a backoff.
        """
        failing = [
            endpoint
            for endpoint in endpoints
            if not self.is_active(endpoint, now)
        ]
        added = [
            endpoint
            for endpoint in failing
            if not self.is_backing_off(endpoint, now)
        ]
        for endpoint in failing:
            self.peer_backoff_until[endpoint] = now + INITIAL_BACKOFF_SECONDS
        return added

    def _has_own_backoff(self, endpoint: EndpointId, now: float) -> bool:
        streak = self.streaks.get(endpoint)
        return streak is not None and now < streak.backoff_until
