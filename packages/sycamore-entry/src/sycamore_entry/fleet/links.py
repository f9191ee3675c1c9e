"""Links to the endpoint processes: heartbeats out, load reports in.

A link is a hint. An endpoint that is silent is not offered anything, and an
endpoint that answers again is; what an endpoint promised is known only to the
endpoint process itself.
"""

import abc
import asyncio
import dataclasses
from collections.abc import Callable

from sycamore_core.clock import Clock
from sycamore_core.decisions import EndpointView
from sycamore_core.ids import EndpointId, EntryId, Incarnation, ZoneId
from sycamore_core.messages import Heartbeat, LoadReport, Message
from sycamore_core.platform import SettingsClaim
from sycamore_core.settings import EndpointSettings, FleetSettings
from sycamore_core.states import EndpointPhase
from sycamore_core.transport import Node, Peer

#: A heartbeat and its report cost about 0.3 KB and 0.5 ms at both ends
#: together; one a second to each endpoint of a subset stays in the budget.
HEARTBEAT_SECONDS = 1.0
#: Three heartbeats: one lost packet does not make an endpoint silent.
SILENT_SECONDS = 3.5


@dataclasses.dataclass
class EndpointLink:
    """One endpoint of the settings and its last report."""

    endpoint: EndpointId
    address: str
    peer: Peer
    incarnation: Incarnation = Incarnation(0)
    report: LoadReport | None = None
    reported_at: float = 0

    @property
    def is_heard(self) -> bool:
        """Whether the endpoint has reported and was not found silent since."""
        return self.report is not None

    def post(self, message: Message, *, urgent: bool = True) -> bool:
        """Queue a message for the endpoint process."""
        return self.peer.post(message, urgent=urgent)


class LinkEvents(abc.ABC):
    """Who wants to know what happens to the links."""

    @abc.abstractmethod
    def endpoint_reported(self, view: EndpointView) -> None:
        """Take a report."""

    @abc.abstractmethod
    def endpoint_lost(self, endpoint: EndpointId, *, restarted: bool) -> None:
        """Note that an endpoint is silent, gone or has restarted."""


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
        self.draining = False
        self._addresses: dict[str, EndpointId] = {}

    def update(self, fleet: FleetSettings, node: Node) -> None:
        """Follow the endpoints of a newer settings tree."""
        for gone in set(self.links).difference(fleet.endpoints):
            self._drop(gone, node)
        for endpoint in fleet.endpoints.values():
            self._follow(endpoint, node)

    def find(self, endpoint: EndpointId) -> EndpointLink | None:
        """Return the link of an endpoint that is heard, or None."""
        link = self.links.get(endpoint)
        if link is None or not link.is_heard:
            return None
        return link

    def at_address(self, address: str) -> EndpointLink | None:
        """Return the link of the endpoint that listens at `address`."""
        endpoint = self._addresses.get(address)
        return None if endpoint is None else self.links.get(endpoint)

    def take_report(self, report: LoadReport) -> None:
        """Note a report and tell of a restart that it shows."""
        link = self.links.get(report.endpoint)
        if link is None:
            return
        if link.is_heard and report.incarnation < link.incarnation:
            # A process that was paused and replaced woke up. A replacement
            # on an instance whose clock is behind has a lower number as
            # well; it is taken once the one before it has fallen silent.
            return
        if link.incarnation not in {0, report.incarnation}:
            self.events.endpoint_lost(link.endpoint, restarted=True)
        link.incarnation = report.incarnation
        link.report = report
        link.reported_at = self.clock.monotonic()
        self.events.endpoint_reported(_view(report, link.reported_at))

    async def run(self) -> None:
        """Send heartbeats and find silent endpoints until cancelled."""
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def beat(self) -> None:
        """Send one heartbeat to each endpoint and look for silent ones."""
        claim = self.claim()
        heartbeat = Heartbeat(
            entry=self.entry,
            zone=self.zone,
            settings_version=claim.rank.version,
            draining=self.draining,
            settings_digest=claim.rank.digest,
            settings_age=claim.age,
        )
        horizon = self.clock.monotonic() - SILENT_SECONDS
        for link in tuple(self.links.values()):
            link.post(heartbeat)
            if link.is_heard and link.reported_at < horizon:
                link.report = None
                self.events.endpoint_lost(link.endpoint, restarted=False)

    def _follow(self, endpoint: EndpointSettings, node: Node) -> None:
        known = self.links.get(endpoint.endpoint)
        if known is not None and known.address == endpoint.address:
            return
        if known is not None:
            self._drop(endpoint.endpoint, node)
        self._addresses[endpoint.address] = endpoint.endpoint
        self.links[endpoint.endpoint] = EndpointLink(
            endpoint=endpoint.endpoint,
            address=endpoint.address,
            peer=node.peer(endpoint.address),
        )

    def _drop(self, endpoint: EndpointId, node: Node) -> None:
        link = self.links.pop(endpoint)
        self._addresses.pop(link.address, None)
        node.forget(link.address)
        self.events.endpoint_lost(endpoint, restarted=False)


def _view(report: LoadReport, reported_at: float) -> EndpointView:
    return EndpointView(
        endpoint=report.endpoint,
        service=report.service,
        zone=report.zone,
        incarnation=report.incarnation,
        phase=EndpointPhase(report.phase),
        reported_at=reported_at,
        free_tokens=report.free_tokens,
        capacity_tokens=report.capacity_tokens,
        running=report.running,
        waiting=report.waiting,
        backlog_tokens=report.backlog_tokens,
        long_tokens=report.long_tokens,
        service_rate=report.service_rate,
        step_seconds=report.step_seconds,
        cached_blocks=frozenset(report.cached_blocks),
    )
