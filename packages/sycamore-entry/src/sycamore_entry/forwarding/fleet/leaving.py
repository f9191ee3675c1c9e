"""Tracks leaving endpoints from all sources and reports them to peers.

The registration of an endpoint cannot show that it is leaving while the
platform is unreachable. The endpoint therefore also reports it in its answers,
and each answer reaches only one entry.
"""

from collections import deque
from collections.abc import Iterable

from sycamore_core.clock import Clock
from sycamore_core.ids import EntryId
from sycamore_core.routing import EndpointDirectory, EndpointLifetime
from sycamore_core.telemetry import Log

#: How long peers are sent reports of a leaving endpoint, in seconds. A peer
#: may lose three full updates in a row.
LEAVING_SECONDS = 4.0


class LeavingEndpoints:
    """Excludes leaving endpoints from use and lists them for peers."""

    def __init__(
        self,
        directory: EndpointDirectory,
        clock: Clock,
        log: Log,
    ) -> None:
        self.directory = directory
        self.clock = clock
        self.log = log
        self._seen: deque[tuple[float, EndpointLifetime]] = deque()

    def record(self, lifetime: EndpointLifetime) -> None:
        """Record a leaving endpoint, to be reported to peers."""
        self._seen.append((self.clock.monotonic(), lifetime))

    def mark_leaving(self, lifetime: EndpointLifetime) -> bool:
        """Mark an endpoint as leaving; return whether this is new."""
        is_new = self.directory.mark_leaving(lifetime)
        if is_new:
            self.record(lifetime)
        return is_new

    def apply_peer_report(
        self,
        lifetimes: Iterable[EndpointLifetime],
        peer: EntryId,
    ) -> None:
        """Apply the report of a peer that endpoints are leaving."""
        for lifetime in lifetimes:
            if self.mark_leaving(lifetime):
                self.log.info(
                    'endpoint_leaving_by_peer',
                    endpoint=lifetime.endpoint,
                    started_ms=lifetime.started_ms,
                    peer=peer,
                )

    def recent(self) -> tuple[EndpointLifetime, ...]:
        """Return the endpoints that are currently reported to peers."""
        begin = self.clock.monotonic() - LEAVING_SECONDS
        while self._seen and self._seen[0][0] < begin:
            self._seen.popleft()
        return tuple(lifetime for _, lifetime in self._seen)

    def all_known(self) -> tuple[EndpointLifetime, ...]:
        """Return the endpoints that are reported to a new member."""
        records = self.directory.records.values()
        listed = (record.lifetime for record in records if record.is_leaving)
        return tuple({*listed, *self.recent()})
