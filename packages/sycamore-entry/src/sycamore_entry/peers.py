"""The task of one peer: what its messages mean to this process."""

import msgspec
from sycamore_core.decisions import EndpointView
from sycamore_core.ids import EndpointId
from sycamore_core.messages import (
    Accepted,
    Declined,
    Frame,
    LoadReport,
    Message,
    Reserved,
    RunReport,
    SettingsBody,
    SettingsWanted,
)
from sycamore_core.platform import SettingsClaim, SettingsKeeper
from sycamore_core.transport import Peer

from .exchanges import EndpointLost, EntryContext
from .fleet import LinkEvents
from .reservations import Reservations

_OF_REQUESTS = (Accepted, Declined, Frame)


class PeerHandler:
    """Handles the messages of peers, one task for each."""

    def __init__(
        self,
        context: EntryContext,
        reservations: Reservations,
        keeper: SettingsKeeper,
    ) -> None:
        self.context = context
        self.reservations = reservations
        self.keeper = keeper

    async def serve(self, peer: Peer) -> None:
        """Handle what comes from one peer until cancelled."""
        while True:
            self._handle(peer, await peer.inbound.get())

    def _handle(self, peer: Peer, message: Message) -> None:
        if isinstance(message, _OF_REQUESTS):
            self.context.registry.deliver(message.request_id, message)
        elif isinstance(message, RunReport):
            self._run_report(peer, message)
        elif isinstance(message, LoadReport):
            self._load_report(peer, message)
        elif isinstance(message, Reserved):
            self.reservations.answered(message)
        else:
            self._settings(peer, message)

    def _run_report(self, peer: Peer, report: RunReport) -> None:
        link = self.context.links.at_address(peer.address)
        if link is not None:
            located = msgspec.structs.replace(report, endpoint=link.endpoint)
            self.context.registry.deliver(report.request_id, located)

    def _load_report(self, peer: Peer, report: LoadReport) -> None:
        self.context.links.take_report(report)
        wanted = self.keeper.wanted_above(SettingsClaim.from_message(report))
        if wanted is not None:
            peer.post(wanted)

    def _settings(self, peer: Peer, message: Message) -> None:
        if isinstance(message, SettingsBody):
            self.keeper.offer_from_peer(message, peer.address)
        elif isinstance(message, SettingsWanted):
            body = self.keeper.answer(message)
            if body is not None:
                peer.post(body)


class SchedulerFeed(LinkEvents):
    """Tells the scheduler and the exchanges what happens to the links."""

    context: EntryContext

    def endpoint_reported(self, view: EndpointView) -> None:
        """Give a report to the scheduler."""
        self.context.scheduler.update_endpoint(view, self.context.now())
        self.context.wake.set()

    def endpoint_retired(self, endpoint: EndpointId) -> None:
        """Take an endpoint out of the scheduler; its exchanges go on."""
        now = self.context.now()
        self.context.scheduler.remove_endpoint(endpoint, now)
        self.context.log.info('endpoint_retired', endpoint=endpoint)

    def is_in_use(self, endpoint: EndpointId) -> bool:
        """Whether an exchange is in progress at an endpoint."""
        return self.context.registry.uses(endpoint)

    def endpoint_lost(self, endpoint: EndpointId, *, restarted: bool) -> None:
        """Take an endpoint out of the scheduler and tell its exchanges."""
        now = self.context.now()
        self.context.scheduler.remove_endpoint(endpoint, now)
        self.context.registry.endpoint_lost(EndpointLost(endpoint, restarted))
        self.context.log.warning(
            'endpoint_lost',
            endpoint=endpoint,
            restarted=restarted,
        )
