"""Exchange of load updates between the entries of a fleet.

When an entry sends a request to an endpoint, it reports this to the entries of
its own cell at once. It reports other changes at intervals, and sends a full
update once a second, which repairs the loss of earlier messages. Once a second
it also sends a summary of its cell to one entry of each other cell. A new
member discovers the others through a few seeds and the entries that the seeds
name.
"""

import time
from collections.abc import Callable
from typing import Any, Self

from sycamore_core.clock import Clock
from sycamore_core.decisions.direct import (
    FULL_UPDATE_SECONDS,
    CellView,
    LoadRegistry,
)
from sycamore_core.errors import CodecError, TransportError
from sycamore_core.ids import Incarnation, PeerId
from sycamore_core.membership import Membership
from sycamore_core.messages import (
    CellMembers,
    CellSummary,
    CompressedMessage,
    LoadUpdate,
    Message,
    PacketCodec,
    PeerKeys,
    SettingsBody,
    SettingsWanted,
    TrialAnswer,
    TrialWanted,
    decompress,
)
from sycamore_core.routing import LimitReport
from sycamore_core.telemetry import Log
from sycamore_core.transport import Node, NodeAddress, Peer

from ..context import ForwardingContext
from ..crash_reporter import CrashReporter
from ..trials import FleetTrialGrants, LocalTrialGrants
from .entry_count import EntryCount
from .entry_count_report import EntryCountReport
from .newer_settings import NewerSettings
from .update_schedule import UpdateSchedule
from .update_sender import UpdateSender
from .updates import UpdateWriter


class EntryMesh:
    """The exchange of one entry with its peers.

    Attributes
    ----------
    membership
        The other entries.
    writer
        Builds the messages to peers.
    sender
        Sends the messages to peers.
    newer_settings
        Exchanges configurations with peers.
    crashes
        Applies reports of peers on endpoints that crashed.
    entry_count
        Tells the components of this entry how many entries there are.
    trials
        Grants the trials of suspect requests.
    schedule
        Decides when updates are sent.
    """

    def __init__(self, node: Node, context: ForwardingContext) -> None:
        self.node = node
        self.context = context
        self.clock: Clock = context.clock
        self.registry: LoadRegistry = context.dispatcher.loads
        self.keeper = context.keeper
        self.membership = Membership(
            node.address.advertise,
            context.settings.zone,
        )
        self.writer = UpdateWriter(context, self.membership)
        self.sender = UpdateSender(node, self.membership, self.writer)
        self.newer_settings = NewerSettings(context.keeper)
        self.crashes = CrashReporter(context)
        self.entry_count = EntryCount(context, self.membership)
        context.peer_reports.append(EntryCountReport(self.entry_count))
        self.trials = FleetTrialGrants(
            LocalTrialGrants(context.suspects.quarantine, context.clock),
            node,
            self.membership,
            context.metrics.suspects.trial_denials,
        )
        self.schedule = UpdateSchedule(
            context.dispatcher.has_unsent_load,
            self.membership,
            context.clock,
        )
        self._handlers: dict[type[Message], Callable[[Peer, Any], None]] = {
            LoadUpdate: self._handle_update,
            CellSummary: self._handle_summary,
            SettingsWanted: self.newer_settings.answer,
            SettingsBody: self.newer_settings.apply,
            TrialWanted: self.trials.handle_trial_request,
            TrialAnswer: self.trials.handle_trial_answer,
        }
        self.log = Log('mesh')
        self._incarnations: dict[str, Incarnation] = {}
        self._next_full_at: float = 0
        self._last_sent: tuple[object, ...] = ()
        node.serve_peer = self.serve
        context.metrics.fleet.transport = node.counts

    @classmethod
    def from_settings(
        cls,
        keys: PeerKeys,
        context: ForwardingContext,
    ) -> Self:
        """Return the mesh of an entry, at the address in its settings."""
        settings = context.settings
        address = f'tcp://{settings.peers}'
        codec = PacketCodec(
            keys,
            PeerId(settings.name),
            Incarnation(time.time_ns()),
            address,
        )
        node = Node(NodeAddress(address, address), codec, context.clock)
        return cls(node, context)

    def start(self) -> None:
        """Listen for peers and introduce this entry to the seeds."""
        self.context.trials = self.trials
        try:
            self.node.start()
        except TransportError as error:
            # The entry goes on without peers, on its own state alone.
            self.log.error('mesh_closed', reason=str(error))
        self.introduce_to_seeds()

    def introduce_to_seeds(self) -> None:
        """Introduce this entry to the seeds that are not known to be alive.

        A seed may be down, or may have been down when this entry started.
        """
        now = self.clock.monotonic()
        seeds = self.context.settings.seeds
        for seed in self.membership.seeds_to_contact(seeds):
            self.sender.introduce(seed, now)

    async def run(self) -> None:
        """Send updates to the peers, until cancelled."""
        while True:
            await self.schedule.wait()
            now = self.clock.monotonic()
            self.trials.record_running(now)
            changed = self.registry.pop_changed()
            if now >= self._next_full_at or self._pop_other_changes():
                self._next_full_at = now + FULL_UPDATE_SECONDS
                self.update_membership()
                self.introduce_to_seeds()
                self.sender.send_full(now)
                self.schedule.record_update(now)
            elif changed:
                self.sender.send_changes(changed, now)
                self.schedule.record_update(now)

    async def serve(self, peer: Peer) -> None:
        """Handle the messages of one peer, until cancelled."""
        while True:
            message = await peer.inbound.get()
            try:
                self._handle(peer, message)
            except Exception as error:
                # A defect loses this message only.
                self.node.failed_messages.record(peer, message, error)

    def update_membership(self) -> None:
        """Expire silent members and update the number of entries and cells."""
        now = self.clock.monotonic()
        # An entry that was late reads first what the members sent meanwhile.
        may_judge = self.schedule.late_checks.record(now)
        for lost in self.membership.expire(now) if may_judge else ():
            self.registry.remove_peer(lost.name)
            for report in self.context.peer_reports:
                report.remove_peer(lost.name)
            self.log.warning(
                'peer_lost',
                peer=lost.name,
                address=lost.address,
                zone=lost.zone,
            )
        self.entry_count.update(now)
        cells = self.membership.cells
        if cells != self.context.dispatcher.cells.zones:
            self.log.info('cells_changed', zones=sorted(cells))
        self.context.dispatcher.cells = CellView(
            zone=self.membership.zone,
            zones=cells,
        )

    def _handle(self, peer: Peer, message: Message) -> None:
        if isinstance(message, CompressedMessage):
            message = self._decompress(message)
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(peer, message)

    def _decompress(self, message: CompressedMessage) -> Message:
        try:
            return decompress(message)
        except CodecError as error:
            # Treated as a lost message; a full update follows in a second.
            self.log.warning('update_unreadable', reason=str(error))
            return message

    def _pop_other_changes(self) -> bool:
        """Return whether settings, leaving endpoints or a report changed.

        Changes count from the last call.
        """
        current = (self.keeper.version, self.keeper.leaving.recent())
        reports = self.context.peer_reports
        is_urgent = any([report.pop_urgent() for report in reports])
        is_new = is_urgent or current != self._last_sent
        self._last_sent = current
        return is_new

    def _handle_update(self, peer: Peer, update: LoadUpdate) -> None:
        now = self.clock.monotonic()
        self._record_peer(peer, update, now)
        self._apply_limits(PeerId(update.entry), update.limits, now)
        self._introduce_to_new_peer(peer, update, now)
        self.registry.apply_update(
            PeerId(update.entry),
            update.shares,
            now,
            is_full=update.is_full,
            short_requests_per_s=update.short_requests_per_s,
        )
        self._apply_failing(update, now)
        self._apply_reports(PeerId(update.entry), update, now)
        for cell in update.members:
            self._add_members(cell, now)

    def _apply_failing(self, update: LoadUpdate, now: float) -> None:
        failures = self.context.dispatcher.failures
        for endpoint in failures.handle_report(update.failing, now):
            self.log.info(
                'endpoint_failing_by_peer',
                endpoint=endpoint,
                peer=update.entry,
            )

    def _apply_limits(
        self,
        source: PeerId,
        reports: tuple[LimitReport, ...],
        now: float,
    ) -> None:
        """Count the requests that an entry or a cell has sent by endpoint."""
        limits = self.context.dispatcher.limits
        for lifetime in limits.hear(source, reports, now):
            self.log.info(
                'limit_named_by_peer',
                endpoint=lifetime.endpoint,
                per_second=limits.limit(lifetime, now),
                source=source,
            )

    def _apply_reports(
        self,
        source: PeerId,
        message: LoadUpdate | CellSummary,
        now: float,
    ) -> None:
        for report in self.context.peer_reports:
            report.apply(source, message, now)

    def _handle_summary(self, peer: Peer, summary: CellSummary) -> None:
        now = self.clock.monotonic()
        self._record_peer(peer, summary, now)
        self._apply_limits(PeerId(summary.zone), summary.limits, now)
        self.membership.confirm(summary.zone, summary.members, now)
        if not self.membership.is_own_cell(summary.zone):
            self.registry.apply_cell_summary(
                summary.zone,
                summary.shares,
                now,
                summary.short_requests_per_s,
            )
            self._apply_reports(PeerId(summary.zone), summary, now)
        for contact in summary.contacts:
            self._add_members(contact, now)

    def _record_peer(
        self,
        peer: Peer,
        message: LoadUpdate | CellSummary,
        now: float,
    ) -> None:
        """Record that a peer is alive, and apply its reports."""
        name = PeerId(message.entry)
        if self.membership.mark_alive(peer.address, message.zone, name, now):
            self.log.info('peer_found', peer=name, address=peer.address)
            self.trials.record_peer_joined(peer.address, now)
        self.context.last_peer_message_at = now
        self.newer_settings.compare(peer, message.settings_version)
        self.keeper.leaving.apply_peer_report(message.leaving, message.entry)
        self.crashes.handle_reports(message.crashes, message.entry)
        if message.reports_all_suspects:
            self.trials.record_all_reports(peer.address)

    def _add_members(self, cell: CellMembers, now: float) -> None:
        """Add the members that a peer names; contact those of the own cell."""
        known = self.membership.members.keys()
        added = set(cell.addresses).difference(known)
        added.discard(self.membership.address)
        self.membership.add(cell.zone, added, now)
        if self.membership.is_own_cell(cell.zone):
            for address in sorted(added):
                self.sender.introduce(address, now)

    def _introduce_to_new_peer(
        self,
        peer: Peer,
        update: LoadUpdate,
        now: float,
    ) -> None:
        """Send the full state of this entry to a new or restarted peer.

        Without this, the peer places requests by its own load alone until the
        next full update, and overloads engines that are full.
        """
        incarnation = peer.ages.incarnation
        is_new = self._incarnations.get(peer.address) != incarnation
        self._incarnations[peer.address] = incarnation
        if is_new:
            self.trials.record_restart(peer.address)
        is_own_cell = self.membership.is_own_cell(update.zone)
        if update.is_introduction or (is_new and is_own_cell):
            peer.post(self.writer.introduction(now))
