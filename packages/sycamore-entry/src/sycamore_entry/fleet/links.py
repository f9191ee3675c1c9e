"""Links to the endpoint processes: heartbeats out, load reports in.

The state of a link is only a hint. A silent endpoint gets no offers until it
reports again. Only the endpoint process itself knows which requests it has
accepted.
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

from .link import EndpointLink, make_view

#: Minimum interval between two heartbeats to an endpoint.
MIN_HEARTBEAT_INTERVAL_SECONDS = 1.0
#: Maximum rate of heartbeats over all links. A heartbeat and its report cost
#: an entry 0.8 ms of processor time and 290 bytes (``benchmarks/capacity.py
#: links``), so 32 a second use 2.7 % of a core and 9.3 KB/s for any fleet size.
MAX_HEARTBEATS_PER_SECOND = 32
#: An endpoint is silent after this number of heartbeat intervals without a
#: report. Two consecutive lost packets do not suffice.
SILENCE_INTERVALS = 3.5
#: Time for which a link beyond the subset is kept after its last use.
ON_DEMAND_LINK_SECONDS = 60.0
#: Timeout for the first report of such an endpoint. The report takes one round
#: trip, a few milliseconds.
FIRST_REPORT_TIMEOUT_SECONDS = 1.0


class LinkListener(abc.ABC):
    """Callbacks for changes in the state of the links."""

    @abc.abstractmethod
    def endpoint_reported(self, view: EndpointView) -> None:
        """Handle a report."""

    @abc.abstractmethod
    def endpoint_lost(self, endpoint: EndpointId, *, restarted: bool) -> None:
        """Handle the loss of an endpoint that is silent or has restarted."""

    @abc.abstractmethod
    def endpoint_retired(self, endpoint: EndpointId) -> None:
        """Handle the end of offers to an endpoint; its runs continue."""

    @abc.abstractmethod
    def is_in_use(self, endpoint: EndpointId) -> bool:
        """Return whether a request is in progress at an endpoint."""


class EndpointLinks:
    """Manages all links of an entry process.

    Parameters
    ----------
    entry, zone
        Identity of this process in the heartbeats.
    claim
        Returns the claim about the settings in force, for the heartbeats.
    """

    def __init__(
        self,
        entry: EntryId,
        zone: ZoneId,
        clock: Clock,
        events: LinkListener,
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
        self._first_update_at: float = 0

    def update(self, fleet: FleetSettings, node: Node) -> None:
        """Update the links to the endpoints of a newer settings tree."""
        if self._fleet is None:
            self._first_update_at = self.clock.monotonic()
        self._fleet = fleet
        self._node = node
        for link in tuple(self.links.values()):
            known = fleet.endpoints.get(link.endpoint)
            if known is None or known.address != link.address:
                self._retire(link)
        chosen = self._choose_subset(fleet)
        now = self.clock.monotonic()
        for link in tuple(self.links.values()):
            if link.endpoint not in chosen and link.keep_until <= now:
                self._retire(link)
        for endpoint in chosen.values():
            self._ensure_link(endpoint, node)

    @property
    def is_discovery_complete(self) -> bool:
        """Whether each endpoint has reported or had enough time to report.

        Before that, the entry would refuse requests although their endpoints
        exist, so the load balancer must not send any.
        """
        if self._fleet is None:
            return False
        waited = self.clock.monotonic() - self._first_update_at
        if waited > SILENCE_INTERVALS * self.heartbeat_interval:
            return True
        return all(link.is_reporting for link in self.links.values())

    def find(self, endpoint: EndpointId) -> EndpointLink | None:
        """Return the link of an endpoint that is not silent, or None."""
        link = self.links.get(endpoint)
        if link is None or not link.is_reporting:
            return None
        return link

    def open(self, endpoint: EndpointId) -> EndpointLink | None:
        """Return the link of any endpoint of the settings, silent or not.

        A bound id, a caller's key or a resumed answer may require an endpoint
        beyond the subset.
        """
        link = self.links.get(endpoint)
        if link is None:
            link = self._open_beyond_subset(endpoint)
        if link is not None and link.keep_until:
            link.keep_until = self.clock.monotonic() + ON_DEMAND_LINK_SECONDS
        return link

    async def wait_for_report(
        self, endpoint: EndpointId
    ) -> EndpointLink | None:
        """Return the link of an endpoint once it has reported, or None."""
        link = self.open(endpoint)
        if link is None:
            return None
        try:
            async with asyncio.timeout(FIRST_REPORT_TIMEOUT_SECONDS):
                await link.report_received.wait()
        except TimeoutError:
            return None
        return link

    def at_address(self, address: str) -> EndpointLink | None:
        """Return the link of the endpoint that listens at `address`."""
        endpoint = self._addresses.get(address)
        return None if endpoint is None else self.links.get(endpoint)

    def apply_report(self, report: LoadReport) -> None:
        """Apply a report, and signal a restart that the report shows."""
        link = self.links.get(report.endpoint)
        if link is None or link.is_outdated(report):
            return
        if link.shows_restart(report):
            self.events.endpoint_lost(link.endpoint, restarted=True)
        link.apply_report(report, self.clock.monotonic())
        self.events.endpoint_reported(make_view(report, link.reported_at))

    @property
    def heartbeat_interval(self) -> float:
        """Interval between two heartbeats to one endpoint, in seconds."""
        return max(
            MIN_HEARTBEAT_INTERVAL_SECONDS,
            len(self.links) / MAX_HEARTBEATS_PER_SECOND,
        )

    async def run(self) -> None:
        """Send heartbeats and detect silent endpoints until cancelled."""
        while True:
            self.send_heartbeats()
            await asyncio.sleep(self.heartbeat_interval)

    def send_heartbeats(self) -> None:
        """Send one heartbeat to each endpoint and detect silent endpoints."""
        now = self.clock.monotonic()
        oldest_allowed = now - SILENCE_INTERVALS * self.heartbeat_interval
        self._post_heartbeat((*self.links.values(), *self.retired))
        for link in tuple(self.links.values()):
            if link.is_reporting and link.reported_at < oldest_allowed:
                link.mark_silent()
                self.events.endpoint_lost(link.endpoint, restarted=False)
            if 0 < link.keep_until < now:
                self._retire(link)
        self._close_retired()

    def _post_heartbeat(self, links: Iterable[EndpointLink]) -> None:
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

    def _choose_subset(
        self,
        fleet: FleetSettings,
    ) -> dict[EndpointId, EndpointSettings]:
        chooser = SubsetChooser(self.entry, self.zone, fleet.zones)
        services = {endpoint.service for endpoint in fleet.endpoints.values()}
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
        link = self._ensure_link(known, self._node)
        link.keep_until = self.clock.monotonic() + ON_DEMAND_LINK_SECONDS
        self._post_heartbeat((link,))
        return link

    def _ensure_link(
        self, endpoint: EndpointSettings, node: Node
    ) -> EndpointLink:
        known = self.links.get(endpoint.endpoint)
        if known is not None:
            known.keep_until = 0
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
        """Stop offers to an endpoint while its runs continue.

        If the link were closed as soon as an operator removes the endpoint
        from the settings, the answers in progress would be cut off.
        """
        self.links.pop(link.endpoint)
        self.retired.append(link)
        self.events.endpoint_retired(link.endpoint)

    def _close_retired(self) -> None:
        for link in tuple(self.retired):
            current = self.links.get(link.endpoint)
            if current is not None and current.address == link.address:
                self.retired.remove(link)
            elif not self.events.is_in_use(link.endpoint):
                self.retired.remove(link)
                self._close(link)

    def _close(self, link: EndpointLink) -> None:
        self._addresses.pop(link.address, None)
        if self._node is not None:
            self._node.remove_peer(link.address)
