"""Endpoints that leave, by whoever says so, and what peers are told of them.

What goes wrong otherwise: an endpoint's registration cannot say that it leaves
while the platform is away. It says so in its answers too, each of which only
one entry gets.
"""

from collections import deque
from collections.abc import Iterable

from sycamore_core.clock import Clock
from sycamore_core.ids import EntryId
from sycamore_core.routing import EndpointDirectory, EndpointLifetime
from sycamore_core.telemetry import Log

#: How long peers are told of an endpoint that leaves, in seconds: three of
#: the messages that name everything may be lost.
LEAVING_SECONDS = 4.0


class LeavingNews:
    """Takes endpoints that leave out of use, and tells peers for a while."""

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

    def registered(self, lifetime: EndpointLifetime) -> None:
        """Note a registration that says that its endpoint leaves."""
        self._seen.append((self.clock.monotonic(), lifetime))

    def said(self, lifetime: EndpointLifetime) -> bool:
        """Take it that an endpoint leaves; return whether that is news."""
        is_news = self.directory.mark_leaving(lifetime)
        if is_news:
            self.registered(lifetime)
        return is_news

    def hear(
        self,
        lifetimes: Iterable[EndpointLifetime],
        peer: EntryId,
    ) -> None:
        """Take it from a peer that endpoints leave."""
        for lifetime in lifetimes:
            if self.said(lifetime):
                self.log.info(
                    'endpoint_leaving_by_peer',
                    endpoint=lifetime.endpoint,
                    started_ms=lifetime.started_ms,
                    peer=peer,
                )

    def lately(self) -> tuple[EndpointLifetime, ...]:
        """Return the endpoints that peers are told of."""
        begin = self.clock.monotonic() - LEAVING_SECONDS
        while self._seen and self._seen[0][0] < begin:
            self._seen.popleft()
        return tuple(lifetime for _, lifetime in self._seen)

    def everything(self) -> tuple[EndpointLifetime, ...]:
        """Return the endpoints that a newcomer is told of."""
        records = self.directory.records.values()
        listed = (one.lifetime for one in records if one.is_leaving)
        return tuple({*listed, *self.lately()})
