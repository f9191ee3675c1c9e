"""Which peers report an endpoint as failing.

Load pattern: the primary engine or a helper of a long prompt stops responding,
and short requests of several entries fail there within a second.

The failure of one entry may be that entry's own. Two entries rarely lose the
same endpoint and no other at the same time.
"""

from collections.abc import Iterable

from ...ids import EndpointId, PeerId
from ..direct.failures import MAX_REPORTED

#: Time for which a report counts, in seconds. Peers repeat it in their full
#: update, once a second, as long as they back off.
REPORT_VALID_SECONDS = 1.2
#: Number of endpoints whose reports are kept. Fewer fail within a second, and
#: reports on endpoints that are gone are not asked for again.
_MAX_ENDPOINTS = 500


class PeerFailureReports:
    """Reports of peers on failing endpoints.

    Examples
    --------
    >>> reports = PeerFailureReports()
    >>> reports.record('entry-1', ['e1'], now=10)
    >>> reports.record('entry-2', ['e1'], now=10.5)
    >>> reports.count('e1', now=11), reports.count('e1', now=11.5)
    (2, 1)
    """

    def __init__(self) -> None:
        self._reported_at: dict[EndpointId, dict[PeerId, float]] = {}

    def record(
        self,
        peer: PeerId,
        endpoints: Iterable[EndpointId],
        now: float,
    ) -> None:
        """Record a peer's report; a partitioned peer's long list is cut."""
        for endpoint in tuple(endpoints)[:MAX_REPORTED]:
            by_peer = self._reported_at.pop(endpoint, {})
            by_peer[peer] = now
            self._reported_at[endpoint] = by_peer
        while len(self._reported_at) > _MAX_ENDPOINTS:
            self._reported_at.pop(next(iter(self._reported_at)))

    def count(self, endpoint: EndpointId, now: float) -> int:
        """Return the number of peers for which an endpoint fails now."""
        reported_at = self._reported_at.get(endpoint)
        if reported_at is None:
            return 0
        fresh = {
            peer: at
            for peer, at in reported_at.items()
            if now - at < REPORT_VALID_SECONDS
        }
        if fresh:
            self._reported_at[endpoint] = fresh
        else:
            self._reported_at.pop(endpoint)
        return len(fresh)

    def count_reported(self, min_reporters: int, now: float) -> int:
        """Return the number of endpoints that some number of peers report."""
        return sum(
            self.count(endpoint, now) >= min_reporters
            for endpoint in tuple(self._reported_at)
        )

    def remove_peer(self, peer: PeerId) -> None:
        """Drop the reports of a peer that is lost."""
        for endpoint, reported_at in tuple(self._reported_at.items()):
            reported_at.pop(peer, None)
            if not reported_at:
                self._reported_at.pop(endpoint)
