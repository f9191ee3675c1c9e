"""Links to the endpoint processes: heartbeats out, load reports in.

A link is a hint. An endpoint that is silent is not offered anything, and an
endpoint that answers again is; what an endpoint promised is known only to the
endpoint process itself.
"""

import abc
import asyncio
from collections.abc import Callable, Iterable

from sycamore_core.clock import Clock
from sycamore_core.decisions import EndpointView
from sycamore_core.decisions.subset import SubsetChooser
from sycamore_core.ids import EndpointId, EntryId, ZoneId
from sycamore_core.messages import Heartbeat, LoadReport
from sycamore_core.platform import SettingsClaim
from sycamore_core.settings import EndpointSettings, FleetSettings
from sycamore_core.transport import Node

from .link import EndpointLink, view_of

#: Shortest time between two heartbeats to an endpoint, in seconds.
HEARTBEAT_SECONDS = 1.0
#: Heartbeats a second over all links. A heartbeat and its report cost an entry
#: 0.8 ms of processor time and 290 bytes (``benchmarks/capacity.py links``),
#: so 32 a second are 2.7 % of a core and 9.3 KB/s, whatever the fleet's size.
HEARTBEATS_A_SECOND = 32
#: An endpoint is silent after this many times the time between heartbeats:
#: two lost packets in a row do not make it so.
SILENT_BEATS = 3.5
#: How long a link beyond the subset is kept after it was last asked for.
ON_DEMAND_SECONDS = 60.0
#: How long the first report of such an endpoint is waited for. It takes one
#: round trip, a few milliseconds.
REACH_SECONDS = 1.0


class LinkEvents(abc.ABC):
    """Who wants to know what happens to the links."""

    @abc.abstractmethod
    def endpoint_reported(self, view: EndpointView) -> None:
        """Take a report."""

    @abc.abstractmethod
    def endpoint_lost(self, endpoint: EndpointId, *, restarted: bool) -> None:
        """Note that an endpoint is silent or has restarted."""

    @abc.abstractmethod
    def endpoint_retired(self, endpoint: EndpointId) -> None:
        """Note that an endpoint gets no new work; its runs go on."""

    @abc.abstractmethod
    def is_in_use(self, endpoint: EndpointId) -> bool:
        """Whether a request is in progress at an endpoint."""


class EndpointLinks:
    """All links of an entry process.

    Parameters
    ----------
    entry, zone
        What the heartbeats say of this process.
    claim
        Returns what to say of the settings in force.
    """

    def __init__(
        self,
        entry: EntryId,
        zone: ZoneId,
        clock: Clock,
        events: LinkEvents,
        claim: Callable[[], SettingsClaim],
    ) -> None:
        self.entry = entry
        self.zone = zone
        self.clock = clock
        self.events = events
        self.claim = claim
        self.links: dict[EndpointId, EndpointLink] = {}
        self.retired: list[EndpointLink] = []
        self.draining = False
        self._addresses: dict[str, EndpointId] = {}
        self._fleet: FleetSettings | None = None
        self._node: Node | None = None
        self._first_update: float = 0

    def update(self, fleet: FleetSettings, node: Node) -> None:
        """Follow the endpoints of a newer settings tree."""
        if self._fleet is None:
            self._first_update = self.clock.monotonic()
        self._fleet = fleet
        self._node = node
        for link in tuple(self.links.values()):
            known = fleet.endpoints.get(link.endpoint)
            if known is None or known.address != link.address:
                self._retire(link)
        chosen = self._choose(fleet)
        now = self.clock.monotonic()
        for link in tuple(self.links.values()):
            if link.endpoint not in chosen and link.wanted_until <= now:
                self._retire(link)
        for endpoint in chosen.values():
            self._follow(endpoint, node)

    @property
    def is_settled(self) -> bool:
        """Whether each endpoint has been heard or had the time to answer.

        Before that a request would be refused for want of endpoints that are
        there; the balancer should send nothing yet.
        """
        if self._fleet is None:
            return False
        waited = self.clock.monotonic() - self._first_update
        if waited > SILENT_BEATS * self.interval:
            return True
        return all(link.is_heard for link in self.links.values())

    def find(self, endpoint: EndpointId) -> EndpointLink | None:
        """Return the link of an endpoint that is heard, or None."""
        link = self.links.get(endpoint)
        if link is None or not link.is_heard:
            return None
        return link

    def open(self, endpoint: EndpointId) -> EndpointLink | None:
        """Return the link of any endpoint of the settings, heard or not.

        A request under a bound id, a caller's key or an answer to come back
        for may be at an endpoint beyond the subset.
        """
        link = self.links.get(endpoint)
        if link is None:
            link = self._open_beyond_subset(endpoint)
        if link is not None and link.wanted_until:
            link.wanted_until = self.clock.monotonic() + ON_DEMAND_SECONDS
        return link

    async def reach(self, endpoint: EndpointId) -> EndpointLink | None:
        """Return the link of an endpoint once it is heard, or None."""
        link = self.open(endpoint)
        if link is None:
            return None
        try:
            async with asyncio.timeout(REACH_SECONDS):
                await link.heard.wait()
        except TimeoutError:
            return None
        return link

    def at_address(self, address: str) -> EndpointLink | None:
        """Return the link of the endpoint that listens at `address`."""
        endpoint = self._addresses.get(address)
        return None if endpoint is None else self.links.get(endpoint)

    def take_report(self, report: LoadReport) -> None:
        """Note a report and tell of a restart that it shows."""
        link = self.links.get(report.endpoint)
        if link is None or link.is_older(report):
            return
        if link.shows_restart(report):
            self.events.endpoint_lost(link.endpoint, restarted=True)
        link.take(report, self.clock.monotonic())
        self.events.endpoint_reported(view_of(report, link.reported_at))

    @property
    def interval(self) -> float:
        """Time between two heartbeats to one endpoint, in seconds."""
        return max(HEARTBEAT_SECONDS, len(self.links) / HEARTBEATS_A_SECOND)

    async def run(self) -> None:
        """Send heartbeats and find silent endpoints until cancelled."""
        while True:
            self.beat()
            await asyncio.sleep(self.interval)

    def beat(self) -> None:
        """Send one heartbeat to each endpoint and look for silent ones."""
        now = self.clock.monotonic()
        horizon = now - SILENT_BEATS * self.interval
        self._send_heartbeat((*self.links.values(), *self.retired))
        for link in tuple(self.links.values()):
            if link.is_heard and link.reported_at < horizon:
                link.fall_silent()
                self.events.endpoint_lost(link.endpoint, restarted=False)
            if 0 < link.wanted_until < now:
                self._retire(link)
        self._forget_retired()

    def _send_heartbeat(self, links: Iterable[EndpointLink]) -> None:
        claim = self.claim()
        heartbeat = Heartbeat(
            entry=self.entry,
            zone=self.zone,
            settings_version=claim.rank.version,
            draining=self.draining,
            settings_digest=claim.rank.digest,
            settings_age=claim.age,
        )
        for link in links:
            link.post(heartbeat)

    def _choose(
        self,
        fleet: FleetSettings,
    ) -> dict[EndpointId, EndpointSettings]:
        chooser = SubsetChooser(self.entry, self.zone, fleet.zones)
        services = {one.service for one in fleet.endpoints.values()}
        return {
            chosen.endpoint: chosen
            for service in sorted(services)
            for chosen in chooser.choose(fleet.endpoints_of(service))
        }

    def _open_beyond_subset(self, endpoint: EndpointId) -> EndpointLink | None:
        if self._fleet is None or self._node is None:
            return None
        known = self._fleet.endpoints.get(endpoint)
        if known is None:
            return None
        link = self._follow(known, self._node)
        link.wanted_until = self.clock.monotonic() + ON_DEMAND_SECONDS
        self._send_heartbeat((link,))
        return link

    def _follow(self, endpoint: EndpointSettings, node: Node) -> EndpointLink:
        known = self.links.get(endpoint.endpoint)
        if known is not None:
            known.wanted_until = 0
            return known
        link = EndpointLink(
            endpoint=endpoint.endpoint,
            address=endpoint.address,
            peer=node.peer(endpoint.address),
        )
        self._addresses[endpoint.address] = endpoint.endpoint
        self.links[endpoint.endpoint] = link
        return link

    def _retire(self, link: EndpointLink) -> None:
        """Offer nothing more to an endpoint, and let its runs go on.

        What goes wrong otherwise: an operator takes an endpoint out of the
        settings, its link is dropped at once, and the answers that it is
        still sending are cut off.
        """
        self.links.pop(link.endpoint)
        self.retired.append(link)
        self.events.endpoint_retired(link.endpoint)

    def _forget_retired(self) -> None:
        for link in tuple(self.retired):
            current = self.links.get(link.endpoint)
            if current is not None and current.address == link.address:
                self.retired.remove(link)
            elif not self.events.is_in_use(link.endpoint):
                self.retired.remove(link)
                self._drop(link)

    def _drop(self, link: EndpointLink) -> None:
        self._addresses.pop(link.address, None)
        if self._node is not None:
            self._node.forget(link.address)
