"""Entries tell one another what they have at which engines.

Each tells all others: what has changed, at most every `TELL_SECONDS`, and all
that it has once a second, so that a lost message is made good by then. A
newcomer finds the others through a few seeds and the addresses that these
name.
"""

import asyncio
import time
from collections.abc import Iterable
from typing import Self

import msgspec
from sycamore_core.clock import Clock
from sycamore_core.decisions.direct import (
    STALE_SECONDS,
    TELL_SECONDS,
    WHOLE_SECONDS,
    LoadBook,
)
from sycamore_core.errors import TransportError
from sycamore_core.ids import EndpointId, Incarnation, PeerId
from sycamore_core.messages import (
    LoadUpdate,
    PacketCodec,
    PeerKeys,
    SettingsBody,
    SettingsWanted,
)
from sycamore_core.platform import PublishedSettings, pack
from sycamore_core.telemetry import Log
from sycamore_core.transport import Node, NodeAddress, Peer

from .context import ForwardingContext

#: How long a peer may have a newer configuration before it is asked for it,
#: in seconds. The platform shows a change within some ten milliseconds.
BEHIND_SECONDS = 0.15


class EntryMesh:
    """One entry among the others.

    Attributes
    ----------
    heard
        When each peer was last heard, by address.
    """

    def __init__(self, node: Node, context: ForwardingContext) -> None:
        self.node = node
        self.context = context
        self.clock: Clock = context.clock
        self.book: LoadBook = context.dispatcher.book
        self.keeper = context.keeper
        self.heard: dict[str, float] = {}
        self.log = Log('mesh')
        self._names: dict[str, PeerId] = {}
        self._lost: set[str] = set()
        self._incarnations: dict[str, Incarnation] = {}
        self._next_whole: float = 0
        self._asked_for = 0
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
        try:
            self.node.start()
        except TransportError as error:
            # Without it the entry serves on its own knowledge alone.
            self.log.error('mesh_closed', reason=str(error))
        self.meet_seeds()

    def meet_seeds(self) -> None:
        """Greet the entries that the settings name."""
        for seed in self.context.settings.seeds:
            self._meet(seed)

    async def run(self) -> None:
        """Tell the peers what changes, until cancelled."""
        while True:
            await asyncio.sleep(TELL_SECONDS)
            now = self.clock.monotonic()
            changed = self.book.take_changed()
            if now >= self._next_whole or self._has_news():
                self._next_whole = now + WHOLE_SECONDS
                self._check_lost(now)
                self._tell(self._whole_update(now))
            elif changed:
                self._tell(self._update(changed, now))

    async def serve(self, peer: Peer) -> None:
        """Take what one peer says, until cancelled."""
        while True:
            message = await peer.inbound.get()
            if isinstance(message, LoadUpdate):
                self._hear(peer, message)
            elif isinstance(message, SettingsWanted):
                self._answer(peer, message)
            elif isinstance(message, SettingsBody):
                self.keeper.offer_table(message)

    def _has_news(self) -> bool:
        """Return whether peers should know more than loads at once."""
        news = (self.keeper.version, self.keeper.leaving)
        is_new = news != self._told
        self._told = news
        return is_new

    def _hear(self, peer: Peer, update: LoadUpdate) -> None:
        now = self.clock.monotonic()
        self._greet_newcomer(peer, now)
        name = PeerId(update.entry)
        self.book.hear(
            name,
            update.shares,
            now,
            is_whole=update.is_whole,
            turns_per_s=update.turns_per_s,
        )
        if peer.address not in self.heard or peer.address in self._lost:
            self._lost.discard(peer.address)
            self.log.info('peer_found', peer=name, address=peer.address)
        self.heard[peer.address] = now
        self.context.peer_heard_at = now
        self._names[peer.address] = name
        self.keeper.hear_leaving(update.leaving)
        self._compare_versions(peer, update)
        for address in update.peers:
            self._meet(address)

    def _compare_versions(self, peer: Peer, update: LoadUpdate) -> None:
        """Ask for a configuration that the platform does not show here.

        The platform shows a change to all within milliseconds, so that a
        peer is asked only if it has been ahead for a moment.
        """
        version = update.settings_version
        if version <= max(self.keeper.version, self._asked_for):
            return
        self._asked_for = version
        loop = asyncio.get_running_loop()
        loop.call_later(BEHIND_SECONDS, self._ask, peer, version)

    def _ask(self, peer: Peer, version: int) -> None:
        self._asked_for = 0
        if version > self.keeper.version:
            peer.post(SettingsWanted(above=self.keeper.version))

    def _answer(self, peer: Peer, wanted: SettingsWanted) -> None:
        published = self.keeper.published
        if published is None or self.keeper.version <= wanted.above:
            return
        settings = PublishedSettings(self.keeper.version, published.source)
        peer.post(pack(settings))

    def _meet(self, address: str) -> None:
        own = self.node.address.advertise
        if address == own or address in self.node.peers:
            return
        now = self.clock.monotonic()
        self.node.peer(address).post(self._whole_update(now))

    def _greet_newcomer(self, peer: Peer, now: float) -> None:
        """Tell a peer that has started anew all that this entry has.

        What goes wrong otherwise: it places by its own work alone until the
        next update that names everything, and fills engines that are full.
        """
        incarnation = peer.ages.incarnation
        if self._incarnations.get(peer.address) == incarnation:
            return
        self._incarnations[peer.address] = incarnation
        peer.post(self._whole_update(now))

    def _tell(self, update: LoadUpdate) -> None:
        for peer in tuple(self.node.peers.values()):
            peer.post(update)

    def _whole_update(self, now: float) -> LoadUpdate:
        """Return an update with all that this entry has and knows."""
        return msgspec.structs.replace(
            self._update(self.book.own, now),
            is_whole=True,
            peers=tuple(self.heard),
            leaving=self.keeper.leaving,
        )

    def _update(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
    ) -> LoadUpdate:
        """Return an update with what this entry has at some engines."""
        context = self.context
        return LoadUpdate(
            entry=context.entry,
            zone=context.settings.zone,
            settings_version=context.keeper.version,
            is_whole=False,
            shares=self.book.shares(endpoints, now),
            turns_per_s=self.book.turns.rate(now),
        )

    def _check_lost(self, now: float) -> None:
        for address, at in tuple(self.heard.items()):
            if now - at > STALE_SECONDS and address not in self._lost:
                self._lose(address)
        alive = self.heard.keys() - self._lost
        self.context.entries = len(alive) + 1

    def _lose(self, address: str) -> None:
        self._lost.add(address)
        name = self._names[address]
        self.book.forget(name)
        self.log.warning('peer_lost', peer=name, address=address)
