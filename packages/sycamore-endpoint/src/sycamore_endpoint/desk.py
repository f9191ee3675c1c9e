"""Answers to what entries ask for: offers, withdrawals, acknowledgements."""

import functools

from sycamore_core.errors import SycamoreError
from sycamore_core.messages import (
    Accepted,
    Ack,
    Attach,
    Cancel,
    Declined,
    Heartbeat,
    Message,
    Offer,
    Reserve,
    SettingsBody,
    SettingsWanted,
    Withdraw,
)
from sycamore_core.platform import SettingsClaim
from sycamore_core.telemetry import Log, Metrics
from sycamore_core.transport import Peer, ReceivedMessage

from .admission import Admission
from .groups import GroupDesk
from .ledger import Owner, OwnerLeases
from .reports import Reporter
from .reservations import Reservations
from .runner import Runner


class Desk:
    """Handles the messages of entries, one after the other.

    Attributes
    ----------
    groups
        Handles the messages of other endpoint processes; None for a plain
        service, which has no groups.
    """

    def __init__(
        self,
        admission: Admission,
        reservations: Reservations,
        runner: Runner,
        reporter: Reporter,
        owners: OwnerLeases,
        metrics: Metrics,
    ) -> None:
        self.admission = admission
        self.reservations = reservations
        self.runner = runner
        self.runs = runner.runs
        self.reporter = reporter
        self.owners = owners
        self.metrics = metrics
        self.groups: GroupDesk | None = None
        self.log = Log('endpoint.desk')

    async def serve(self, peer: Peer) -> None:
        """Handle the messages of one peer until cancelled."""
        while True:
            received = await peer.next_message()
            self.owners.hear(owner_of(peer), self.runner.clock.monotonic())
            try:
                self._handle(received, peer)
            except SycamoreError as error:
                # One message that cannot be handled must not make this
                # process deaf to its sender, whose runs would all be lost.
                self.log.error('message_failed', error=repr(error))

    @functools.singledispatchmethod
    def handle(self, message: Message, peer: Peer) -> None:
        """Handle a message that no method below is for."""
        if self.groups is not None:
            self.groups.handle(message, peer)

    def take_offer(self, message: Offer, peer: Peer, sent_at: float) -> None:
        """Accept or decline an offer, and begin to run it."""
        owner = owner_of(peer)
        answer = self.admission.consider(message, owner, sent_at)
        peer.post(answer)
        if isinstance(answer, Declined):
            self._note_declined(message, answer)
            return
        self._go_on(message, answer)

    @handle.register
    def take_withdraw(self, message: Withdraw, peer: Peer) -> None:
        """Bar a request and say what is known of it."""
        now = self.runner.clock.monotonic()
        owner = owner_of(peer)
        report = self.runs.withdraw(
            message.request_id,
            message.attempt,
            owner,
            now,
        )
        record = self.runs.find(message.request_id)
        if record is not None and not record.in_progress:
            self.runner.stop(record)
        peer.post(report)

    @handle.register
    def take_attach(self, message: Attach, peer: Peer) -> None:
        """Move an answer to the entry that asks for it."""
        owner = owner_of(peer)
        peer.post(self.runs.attach(message.request_id, owner, message.after))
        record = self.runs.find(message.request_id)
        if record is not None:
            self.runner.post_due(record)

    @handle.register
    def take_ack(self, message: Ack, peer: Peer) -> None:
        """Move the window of an answer."""
        record = self.runs.acknowledge(
            message.request_id,
            message.sequence,
            owner_of(peer),
        )
        if record is not None:
            self.runner.post_due(record)

    @handle.register
    def take_cancel(self, message: Cancel, peer: Peer) -> None:
        """Give a run up."""
        record = self.runs.cancel(
            message.request_id,
            message.reason,
            owner_of(peer),
            self.runner.clock.monotonic(),
        )
        if record is not None:
            self.runner.stop(record)

    @handle.register
    def take_reserve(self, message: Reserve, peer: Peer) -> None:
        """Mint a bound id."""
        peer.post(self.reservations.reserve(message))

    @handle.register
    def take_heartbeat(self, message: Heartbeat, peer: Peer) -> None:
        """Answer a sign of life with the load."""
        peer.post(self.reporter.report(), urgent=False)
        claim = SettingsClaim.from_message(message)
        wanted = self.reporter.keeper.handle_claim(claim)
        if wanted is not None:
            peer.post(wanted)

    @handle.register
    def take_settings(self, message: SettingsBody, peer: Peer) -> None:
        """Take newer settings from a peer."""
        self.reporter.keeper.offer_from_peer(message, peer.address)

    @handle.register
    def take_question(self, message: SettingsWanted, peer: Peer) -> None:
        """Send the settings in force to a peer that has older ones."""
        body = self.reporter.keeper.answer(message)
        if body is not None:
            peer.post(body)

    def _handle(self, received: ReceivedMessage, peer: Peer) -> None:
        if isinstance(received.message, Offer):
            self.take_offer(received.message, peer, received.sent_at)
        else:
            self.handle(received.message, peer)

    def _go_on(self, offer: Offer, accepted: Accepted) -> None:
        record = self.runs.find(offer.request_id)
        if record is None:
            return
        if record.request_id in self.runner.tasks or not record.in_progress:
            self.runner.post_due(record)
            return
        self.log.info(
            'accepted',
            request_id=offer.request_id,
            workspace=offer.workspace,
            service=offer.service,
            attempt=accepted.attempt,
        )
        self.runner.launch(record)

    def _note_declined(self, offer: Offer, declined: Declined) -> None:
        self.metrics.refused(declined.reason)
        self.log.info(
            'declined',
            request_id=offer.request_id,
            workspace=offer.workspace,
            service=offer.service,
            reason=declined.reason.value,
            execution=declined.execution.value,
        )


def owner_of(peer: Peer) -> Owner:
    """Return the entry process at the other end."""
    return Owner(peer.address, peer.ages.incarnation)
