"""The listening socket of a process and the peers that talk to it."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import msgspec
import pynng

from ..clock import Clock
from ..errors import TransportError
from ..messages import PacketCodec, Parcel
from .ages import MAX_PACKET_AGE, PacketAges
from .counts import TransportCounts
from .peer import Peer

#: The largest packet taken: a prompt of a million tokens with its headers.
MAX_PACKET_BYTES = 33_554_432
#: A peer not heard of for this long is forgotten; it is met anew by its next
#: packet.
FORGET_PEER_SECONDS = 120.0
_SWEEP_SECONDS = 10.0
#: How often the tasks of a closing node are cancelled, and how long each time
#: is waited for them, in seconds. They end within milliseconds.
CLOSE_TRIES = 5
CLOSE_SECONDS = 0.1
#: Peers whose packet ages are remembered beyond their forgetting: three times
#: the processes of the largest fleet planned, two numbers each.
REMEMBERED_AGES = 4096

PeerTask = Callable[[Peer], Awaitable[None]]


class NodeAddress(msgspec.Struct, frozen=True):
    """Where a process listens, and what it tells its peers.

    The two differ where something stands between, such as a relay in a test.
    """

    listen: str
    advertise: str


class Node:
    """Receives packets and hands their messages to one task for each peer.

    Parameters
    ----------
    address
        Where to listen.
    codec
        Reads and signs packets.
    serve_peer
        Coroutine function that handles one peer until cancelled; it reads
        `Peer.inbound` and writes with `Peer.post`. It may be set later, but
        before `start`.
    """

    def __init__(
        self,
        address: NodeAddress,
        codec: PacketCodec,
        clock: Clock,
        serve_peer: PeerTask | None = None,
    ) -> None:
        self.address = address
        self.codec = codec
        self.clock = clock
        self.serve_peer = serve_peer or _serve_nobody
        self.counts = TransportCounts()
        self.peers: dict[str, Peer] = {}
        self._ages: dict[str, PacketAges] = {}
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}
        self._own_tasks: list[asyncio.Task[None]] = []
        self._socket: pynng.Pull0 | None = None

    def start(self) -> None:
        """Listen and begin to receive.

        Raises
        ------
        TransportError
            If the address cannot be listened on.
        """
        socket = pynng.Pull0(recv_max_size=MAX_PACKET_BYTES)
        try:
            socket.listen(self.address.listen)
        except pynng.NNGException as error:
            listen = self.address.listen
            raise TransportError(f'{listen}: {error}') from error
        self._socket = socket
        self._own_tasks = [
            asyncio.create_task(self._receive(socket)),
            asyncio.create_task(self._sweep()),
        ]

    async def close(self) -> None:
        """Stop receiving and end the tasks of all peers."""
        tasks = list(self._own_tasks)
        for peer_tasks in self._tasks.values():
            tasks.extend(peer_tasks)
        if self._socket is not None:
            self._socket.close()
        await _end_all(tasks)

    def peer(self, address: str) -> Peer:
        """Return the peer at `address`, met now if it was not known."""
        known = self.peers.get(address)
        if known is not None:
            return known
        peer = Peer(address, self.codec, self.clock, self.counts)
        peer.ages = self._ages_of(address)
        self.peers[address] = peer
        self._tasks[address] = [
            asyncio.create_task(peer.run()),
            asyncio.create_task(self.serve_peer(peer)),
        ]
        return peer

    def forget(self, address: str) -> None:
        """End the tasks of a peer and drop what waits for it."""
        self.peers.pop(address, None)
        for task in self._tasks.pop(address, ()):
            task.cancel()

    def _ages_of(self, address: str) -> PacketAges:
        """Return what is known of the ages of a peer's packets.

        It outlives the peer. Otherwise a process that slept until it forgot
        its peers would take the packets that waited for it for fresh ones.
        """
        ages = self._ages.pop(address, None) or PacketAges()
        self._ages[address] = ages
        while len(self._ages) > REMEMBERED_AGES:
            self._ages.pop(next(iter(self._ages)))
        return ages

    async def _receive(self, socket: pynng.Pull0) -> None:
        while True:
            try:
                received = await socket.arecv()
            except pynng.Closed:
                # The node is closing.
                return
            self.counts.received_packets += 1
            self.counts.received_bytes += len(received)
            self._accept(received)

    def _accept(self, received: bytes) -> None:
        try:
            parcel = self.codec.decode(received)
        except TransportError:
            self.counts.undecodable += 1
            return
        self.counts.unknown_messages += parcel.unknown
        self._hand_on(parcel)

    def _hand_on(self, parcel: Parcel) -> None:
        now = self.clock.monotonic()
        peer = self.peer(parcel.reply_to)
        if parcel.incarnation != peer.ages.incarnation:
            peer.heard_anew()
        age = peer.ages.observe(parcel.incarnation, parcel.sent_at, now)
        if age > MAX_PACKET_AGE:
            self.counts.stale += 1
            return
        peer.last_heard = now
        for message in parcel.messages:
            peer.receive(message, now - age)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            horizon = self.clock.monotonic() - FORGET_PEER_SECONDS
            for address, peer in tuple(self.peers.items()):
                if 0 < peer.last_heard < horizon:
                    self.forget(address)


async def _end_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks until they have ended, for a bounded time.

    What goes wrong otherwise: pynng loses the cancellation of a call that
    completes in the same moment; its task goes on to the next call, and the
    process that waits for it never ends.
    """
    pending = set(tasks)
    tries = 0
    while pending and tries < CLOSE_TRIES:
        tries += 1
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CLOSE_SECONDS)


async def _serve_nobody(peer: Peer) -> None:
    """Take no message; a node without a task for its peers only sends."""
