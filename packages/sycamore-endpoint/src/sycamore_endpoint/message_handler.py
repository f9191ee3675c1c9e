"""Handling of messages from entries."""

import functools

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
from sycamore_core.telemetry import Log, Metrics, error_fields
from sycamore_core.transport import Peer, ReceivedMessage

from .admission import Admission
from .groups import GroupDispatcher
from .ledger import Owner, OwnerLeases
from .reports import Reporter
from .reservations import Reservations
from .runner import Runner


class MessageHandler:
    """Handles the messages of entries in the order of arrival.

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
        self.groups: GroupDispatcher | None = None
        self.log = Log('endpoint.desk')

    async def serve(self, peer: Peer) -> None:
        """Handle the messages of one peer until cancelled."""
        while True:
            received = await peer.next_message()
            self.owners.record_message(
                owner_of(peer), self.runner.clock.monotonic()
            )
            try:
                self._dispatch(received, peer)
            except Exception as error:
                # A message that cannot be handled must not end this loop: no
                # later message of the sender would be read, and all its runs
                # would be lost.
                self.log.error('message_failed', **error_fields(error))

    @functools.singledispatchmethod
    def handle(self, message: Message, peer: Peer) -> None:
        """Handle a message without a handler of its own as a group message."""
        if self.groups is not None:
            self.groups.handle(message, peer)

    def handle_offer(self, message: Offer, peer: Peer, sent_at: float) -> None:
        """Accept or decline an offer, and start an accepted run."""
        owner = owner_of(peer)
        answer = self.admission.decide(message, owner, sent_at)
        peer.post(answer)
        if isinstance(answer, Declined):
            self._record_declined(message, answer)
            return
        self._launch_accepted(message, answer)

    @handle.register
    def handle_withdraw(self, message: Withdraw, peer: Peer) -> None:
        """Bar a request from running here and report its execution."""
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
    def handle_attach(self, message: Attach, peer: Peer) -> None:
        """Send the rest of an answer to the entry that attaches to it."""
        owner = owner_of(peer)
        peer.post(self.runs.attach(message.request_id, owner, message.after))
        record = self.runs.find(message.request_id)
        if record is not None:
            self.runner.post_due(record)

    @handle.register
    def handle_ack(self, message: Ack, peer: Peer) -> None:
        """Advance the send window of an answer."""
        record = self.runs.acknowledge(
            message.request_id,
            message.sequence,
            owner_of(peer),
        )
        if record is not None:
            self.runner.post_due(record)

    @handle.register
    def handle_cancel(self, message: Cancel, peer: Peer) -> None:
        """Cancel a run."""
        record = self.runs.cancel(
            message.request_id,
            message.reason,
            owner_of(peer),
            self.runner.clock.monotonic(),
        )
        if record is not None:
            self.runner.stop(record)

    @handle.register
    def handle_reserve(self, message: Reserve, peer: Peer) -> None:
        """Create a request id that is bound to this process."""
        peer.post(self.reservations.reserve(message))

    @handle.register
    def handle_heartbeat(self, message: Heartbeat, peer: Peer) -> None:
        """Answer a heartbeat with a load report.

        Also requests the settings if the peer has newer ones.
        """
        peer.post(self.reporter.report(), urgent=False)
        claim = SettingsClaim.from_message(message)
        wanted = self.reporter.keeper.handle_claim(claim)
        if wanted is not None:
            peer.post(wanted)

    @handle.register
    def handle_settings_body(self, message: SettingsBody, peer: Peer) -> None:
        """Apply newer settings from a peer."""
        self.reporter.keeper.offer_from_peer(message, peer.address)

    @handle.register
    def handle_settings_wanted(
        self, message: SettingsWanted, peer: Peer
    ) -> None:
        """Send the current settings to a peer that has older ones."""
        body = self.reporter.keeper.answer(message)
        if body is not None:
            peer.post(body)

    def _dispatch(self, received: ReceivedMessage, peer: Peer) -> None:
        if isinstance(received.message, Offer):
            self.handle_offer(received.message, peer, received.sent_at)
        else:
            self.handle(received.message, peer)

    def _launch_accepted(self, offer: Offer, accepted: Accepted) -> None:
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

    def _record_declined(self, offer: Offer, declined: Declined) -> None:
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
    """Return the entry process that a peer connection belongs to."""
    return Owner(peer.address, peer.ages.incarnation)
