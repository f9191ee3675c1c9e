"""Endpoints that crashed lately, whatever they ran."""

from ...routing import EndpointLifetime
from .abandoned import MAX_ABANDONED_SECONDS


class RecentCrashes:
    """When endpoints crashed, for as long as requests are remembered there.

    Examples
    --------
    >>> crashes = RecentCrashes()
    >>> endpoint = EndpointLifetime('e1', 5)
    >>> crashes.record(endpoint, at=9, now=10)
    >>> crashes.find(endpoint)
    9
    """

    def __init__(self) -> None:
        self._crashed_at: dict[EndpointLifetime, float] = {}

    def record(self, endpoint: EndpointLifetime, at: float, now: float) -> None:
        """Record a crash; the first report of it counts."""
        start = now - MAX_ABANDONED_SECONDS
        if endpoint in self._crashed_at or at < start:
            return
        self._crashed_at = {
            known: crashed_at
            for known, crashed_at in self._crashed_at.items()
            if crashed_at >= start
        }
        self._crashed_at[endpoint] = at

    def find(self, endpoint: EndpointLifetime) -> float | None:
        """Return when an endpoint crashed; None if it is not known to have."""
        return self._crashed_at.get(endpoint)
