"""Entries tell one another what they have at which engines.

Each tells its own cell at once where it has sent a request, on a beat what
else has changed there, and all that it has once a second, so that a lost
message is made good by then.
Once a second it tells one entry of each other cell what its cell has. A
newcomer finds the others through a few seeds and the entries that these name.
"""

import time
from collections.abc import Callable
from typing import Any, Self

from sycamore_core.clock import Clock
from sycamore_core.decisions.direct import (
    WHOLE_SECONDS,
    CellView,
    LoadBook,
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
    restore,
)
from sycamore_core.routing import LimitReport
from sycamore_core.telemetry import Log
from sycamore_core.transport import Node, NodeAddress, Peer

from ..context import ForwardingContext
from ..crashes import CrashWatch
from ..trials import FleetGrants, OwnGrants
from .newer_settings import NewerSettings
from .update_beat import UpdateBeat
from .update_sender import UpdateSender
from .updates import UpdateWriter


class EntryMesh:
    """One entry among the others.

    Attributes
    ----------
    membership
        The other entries.
    writer
        Writes what is told.
    sender
        Sends it.
    newer_settings
        Exchanges configurations.
    crashes
        Takes what others say of endpoints that crashed.
    trials
        Says which attempts try a request that is in doubt.
    beat
        When the others are told what has changed.
    """

    def __init__(self, node: Node, context: ForwardingContext) -> None:
        self.node = node
        self.context = context
        self.clock: Clock = context.clock
        self.book: LoadBook = context.dispatcher.book
        self.keeper = context.keeper
        self.membership = Membership(
            node.address.advertise,
            context.settings.zone,
        )
        self.writer = UpdateWriter(context, self.membership)
        self.sender = UpdateSender(node, self.membership, self.writer)
        self.newer_settings = NewerSettings(context.keeper)
        self.crashes = CrashWatch(context)
        self.trials = FleetGrants(
            OwnGrants(context.quarantine, context.clock),
            node,
            self.membership,
        )
        self.beat = UpdateBeat(
            context.dispatcher.has_sent,
            self.membership,
            context.clock,
        )
        self._takers: dict[type[Message], Callable[[Peer, Any], None]] = {
            LoadUpdate: self._hear,
            CellSummary: self._hear_cell,
            SettingsWanted: self.newer_settings.answer,
            SettingsBody: self.newer_settings.take,
            TrialWanted: self.trials.answer,
            TrialAnswer: self.trials.take,
        }
        self.log = Log('mesh')
        self._incarnations: dict[str, Incarnation] = {}
        self._next_whole: float = 0
        self._told: tuple[object, ...] = ()
        node.serve_peer = self.serve

    @classmethod
    def from_settings(
        cls,
        keys: PeerKeys,
        context: ForwardingContext,
    ) -> Self:
        """Return the mesh of an entry that listens where its settings say."""
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
        """Listen, and greet the seeds."""
        self.context.trials = self.trials
        try:
            self.node.start()
        except TransportError as error:
            # Without it the entry serves on its own knowledge alone.
            self.log.error('mesh_closed', reason=str(error))
        self.meet_seeds()

    def meet_seeds(self) -> None:
        """Greet the entries that the settings name and that do not live.

        They may still be down, or have been when this entry started.
        """
        now = self.clock.monotonic()
        seeds = self.context.settings.seeds
        for seed in self.membership.missing(seeds):
            self.sender.greet(seed, now)

    async def run(self) -> None:
        """Tell the peers what changes, until cancelled."""
        while True:
            await self.beat.wait()
            now = self.clock.monotonic()
            self.trials.runs(now)
            changed = self.book.take_changed()
            if now >= self._next_whole or self._has_news():
                self._next_whole = now + WHOLE_SECONDS
                self._look_around(now)
                self.meet_seeds()
                self.sender.everything(now)
                self.beat.told(now)
            elif changed:
                self.sender.changes(changed, now)
                self.beat.told(now)

    async def serve(self, peer: Peer) -> None:
        """Take what one peer says, until cancelled."""
        while True:
            self._take(peer, await peer.inbound.get())

    def _take(self, peer: Peer, message: Message) -> None:
        if isinstance(message, CompressedMessage):
            message = self._restored(message)
        take = self._takers.get(type(message))
        if take is not None:
            take(peer, message)

    def _restored(self, message: CompressedMessage) -> Message:
        try:
            return restore(message)
        except CodecError as error:
            # Taken for a lost message: what it said is repeated in a second.
            self.log.warning('update_unreadable', reason=str(error))
            return message

    def _has_news(self) -> bool:
        """Return whether peers should know more than loads at once."""
        news = (self.keeper.version, self.keeper.leaving.lately())
        is_new = news != self._told
        self._told = news
        return is_new

    def _hear(self, peer: Peer, update: LoadUpdate) -> None:
        now = self.clock.monotonic()
        self._note(peer, update, now)
        self.crashes.hear(update.crashes, update.entry)
        self._hear_limits(PeerId(update.entry), update.limits, now)
        self._answer_newcomer(peer, update, now)
        self.book.hear(
            PeerId(update.entry),
            update.shares,
            now,
            is_whole=update.is_whole,
            turns_per_s=update.turns_per_s,
        )
        self._hear_failing(update, now)
        for cell in update.members:
            self._learn(cell, now)

    def _hear_failing(self, update: LoadUpdate, now: float) -> None:
        failures = self.context.dispatcher.failures
        for endpoint in failures.hear(update.failing, now):
            self.log.info(
                'endpoint_failing_by_peer',
                endpoint=endpoint,
                peer=update.entry,
            )

    def _hear_limits(
        self,
        source: PeerId,
        reports: tuple[LimitReport, ...],
        now: float,
    ) -> None:
        """Take it from an entry, or a cell, what it sent where."""
        limits = self.context.dispatcher.limits
        for lifetime in limits.hear(source, reports, now):
            self.log.info(
                'limit_named_by_peer',
                endpoint=lifetime.endpoint,
                per_second=limits.limit(lifetime, now),
                source=source,
            )

    def _hear_cell(self, peer: Peer, summary: CellSummary) -> None:
        now = self.clock.monotonic()
        self._note(peer, summary, now)
        self.crashes.hear(summary.crashes, summary.entry)
        self._hear_limits(PeerId(summary.zone), summary.limits, now)
        self.membership.vouch(summary.zone, summary.members, now)
        if not self.membership.is_near(summary.zone):
            self.book.hear_cell(
                summary.zone,
                summary.shares,
                now,
                summary.turns_per_s,
            )
        for contact in summary.contacts:
            self._learn(contact, now)

    def _note(
        self,
        peer: Peer,
        message: LoadUpdate | CellSummary,
        now: float,
    ) -> None:
        """Note that a peer lives, and its news."""
        name = PeerId(message.entry)
        if self.membership.hear(peer.address, message.zone, name, now):
            self.log.info('peer_found', peer=name, address=peer.address)
            self.trials.met(now)
        self.context.peer_heard_at = now
        self.keeper.leaving.hear(message.leaving, message.entry)
        self.newer_settings.compare(peer, message.settings_version)

    def _learn(self, cell: CellMembers, now: float) -> None:
        """Take in whom a peer knows, and greet those of the own cell."""
        known = self.membership.members.keys()
        found = set(cell.addresses).difference(known)
        found.discard(self.membership.address)
        self.membership.learn(cell.zone, found, now)
        if self.membership.is_near(cell.zone):
            for address in sorted(found):
                self.sender.greet(address, now)

    def _answer_newcomer(
        self,
        peer: Peer,
        update: LoadUpdate,
        now: float,
    ) -> None:
        """Tell a peer that has started anew all that this entry has.

        What goes wrong otherwise: it places by its own work alone until the
        next update that names everything, and fills engines that are full.
        """
        incarnation = peer.ages.incarnation
        is_new = self._incarnations.get(peer.address) != incarnation
        self._incarnations[peer.address] = incarnation
        is_near = self.membership.is_near(update.zone)
        if update.is_greeting or (is_new and is_near):
            peer.post(self.writer.introduction(now))

    def _look_around(self, now: float) -> None:
        """Bring up to date who lives, and which cells there are."""
        for lost in self.membership.expire(now):
            self.book.forget(lost.name)
            self.log.warning(
                'peer_lost',
                peer=lost.name,
                address=lost.address,
                zone=lost.zone,
            )
        self.context.entries = self.membership.expected
        limits = self.context.dispatcher.limits
        limits.part = self.membership.heard_part
        limits.entries = len(self.membership.near()) + 1
        self.keeper.pace.entries = self.membership.expected
        cells = self.membership.cells
        if cells != self.context.dispatcher.cells.zones:
            self.log.info('cells_changed', zones=sorted(cells))
        self.context.dispatcher.cells = CellView(
            zone=self.membership.zone,
            zones=cells,
        )
