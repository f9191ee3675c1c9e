"""Handling of the messages of peers, and of changes of the links."""

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
from .fleet import LinkListener
from .reservations import Reservations

_REQUEST_MESSAGES = (Accepted, Declined, Frame)


class PeerHandler:
    """Handles the messages of peers, with one task for each peer."""

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
        """Handle the messages of one peer until cancelled."""
        while True:
            self._handle(peer, await peer.inbound.get())

    def _handle(self, peer: Peer, message: Message) -> None:
        if isinstance(message, _REQUEST_MESSAGES):
            self.context.registry.deliver(message.request_id, message)
        elif isinstance(message, RunReport):
            self._handle_run_report(peer, message)
        elif isinstance(message, LoadReport):
            self._handle_load_report(peer, message)
        elif isinstance(message, Reserved):
            self.reservations.handle_answer(message)
        else:
            self._handle_settings(peer, message)

    def _handle_run_report(self, peer: Peer, report: RunReport) -> None:
        link = self.context.links.at_address(peer.address)
        if link is not None:
            located = msgspec.structs.replace(report, endpoint=link.endpoint)
            self.context.registry.deliver(report.request_id, located)

    def _handle_load_report(self, peer: Peer, report: LoadReport) -> None:
        self.context.links.apply_report(report)
        wanted = self.keeper.handle_claim(SettingsClaim.from_message(report))
        if wanted is not None:
            peer.post(wanted)

    def _handle_settings(self, peer: Peer, message: Message) -> None:
        if isinstance(message, SettingsBody):
            self.keeper.offer_from_peer(message, peer.address)
        elif isinstance(message, SettingsWanted):
            body = self.keeper.answer(message)
            if body is not None:
                peer.post(body)


class LinkEventHandler(LinkListener):
    """Forwards changes of the links to the scheduler and the exchanges."""

    context: EntryContext

    def endpoint_reported(self, view: EndpointView) -> None:
        """Update the scheduler with a report."""
        self.context.scheduler.update_endpoint(view, self.context.now())
        self.context.dispatch_needed.set()

    def endpoint_retired(self, endpoint: EndpointId) -> None:
        """Remove an endpoint from the scheduler; its exchanges continue."""
        now = self.context.now()
        self.context.scheduler.remove_endpoint(endpoint, now)
        self.context.log.info('endpoint_retired', endpoint=endpoint)

    def is_in_use(self, endpoint: EndpointId) -> bool:
        """Return whether an exchange is in progress at an endpoint."""
        return self.context.registry.is_endpoint_in_use(endpoint)

    def endpoint_lost(self, endpoint: EndpointId, *, restarted: bool) -> None:
        """Remove an endpoint from the scheduler and notify its exchanges."""
        now = self.context.now()
        self.context.scheduler.remove_endpoint(endpoint, now)
        self.context.registry.notify_endpoint_lost(
            EndpointLost(endpoint, restarted)
        )
        self.context.log.warning(
            'endpoint_lost',
            endpoint=endpoint,
            restarted=restarted,
        )
