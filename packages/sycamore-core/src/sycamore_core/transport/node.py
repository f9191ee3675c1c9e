"""The listening socket of a process and its peers."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import msgspec
import pynng

from ..clock import Clock
from ..errors import TransportError
from ..messages import PacketCodec, VerifiedPacket
from ..tasks import CANCEL_SECONDS, cancel_all, start_running
from ..telemetry import Log
from .ages import MAX_PACKET_AGE_SECONDS, PacketAges
from .counts import TransportCounts
from .failed_messages import FailedMessages
from .peer import Peer

#: Maximum size of a received packet: a prompt of a million tokens with headers.
MAX_PACKET_BYTES = 33_554_432
#: Time without packets after which a peer is removed; its next packet adds it
#: again.
PEER_RETENTION_SECONDS = 120.0
_SWEEP_SECONDS = 10.0
#: Number of peers whose packet ages are kept after the peers are removed: three
#: times the processes of the largest planned fleet, with two numbers each.
MAX_REMEMBERED_AGES = 4096

PeerTask = Callable[[Peer], Awaitable[None]]


class NodeAddress(msgspec.Struct, frozen=True):
    """The address at which a process listens and the one it advertises.

    They differ if peers connect through an intermediary, such as a relay in a
    test.
    """

    listen: str
    advertise: str


class Node:
    """Receives packets and dispatches their messages to one task per peer.

    Parameters
    ----------
    address
        Addresses to listen at and to advertise.
    codec
        Codec that signs and verifies packets.
    serve_peer
        Coroutine function that handles one peer until it is cancelled. It
        reads from `Peer.inbound` and writes with `Peer.post`. It may be set
        later, but before `start`.

    Attributes
    ----------
    failed_messages
        Records messages whose handling met a defect.
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
        self.serve_peer = serve_peer or _ignore_peer
        self.counts = TransportCounts()
        self.peers: dict[str, Peer] = {}
        self.failed_messages = FailedMessages(self.counts, clock)
        codec.on_unencodable = self.failed_messages.record_unencodable
        self.log = Log('transport')
        self._ages: dict[str, PacketAges] = {}
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}
        self._own_tasks: list[asyncio.Task[None]] = []
        self._socket: pynng.Pull0 | None = None

    def start(self) -> None:
        """Listen and start to receive.

        Raises
        ------
        TransportError
            If the node cannot listen on the address.
        """
        socket = pynng.Pull0(recv_max_size=MAX_PACKET_BYTES)
        try:
            socket.listen(self.address.listen)
        except pynng.NNGException as error:
            listen = self.address.listen
            raise TransportError(f'{listen}: {error}') from error
        self._socket = socket
        self._own_tasks = [
            self._start_task(lambda: self._receive(socket), 'receive'),
            self._start_task(self._sweep, 'sweep'),
        ]

    async def close(self, seconds: float = CANCEL_SECONDS) -> None:
        """Stop receiving and cancel the tasks of all peers.

        Messages that are still queued are dropped. Those that are being sent
        would be lost with their task.

        Parameters
        ----------
        seconds
            Longest time for the ends of the tasks.
        """
        await self._wait_sent(seconds / 2)
        tasks = list(self._own_tasks)
        for peer_tasks in self._tasks.values():
            tasks.extend(peer_tasks)
        if self._socket is not None:
            self._socket.close()
        await cancel_all(tasks, seconds / 2, self.log)

    def peer(self, address: str) -> Peer:
        """Return the peer at `address`, adding it if it is not known."""
        known = self.peers.get(address)
        if known is not None:
            return known
        peer = Peer(address, self.codec, self.clock, self.counts)
        peer.ages = self._ages_of(address)
        self.peers[address] = peer
        self._tasks[address] = [
            self._start_task(peer.run, f'send to {address}'),
            self._start_task(lambda: self.serve_peer(peer), f'serve {address}'),
        ]
        return peer

    def remove_peer(self, address: str) -> None:
        """Remove a peer, cancel its tasks and drop its queued messages."""
        self.peers.pop(address, None)
        for task in self._tasks.pop(address, ()):
            task.cancel()

    async def _wait_sent(self, seconds: float) -> None:
        waits = [peer.wait_sent() for peer in self.peers.values()]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await asyncio.gather(*waits)

    def _ages_of(self, address: str) -> PacketAges:
        """Return the age estimates of the packets of a peer.

        They are kept after the peer is removed. Otherwise a process that was
        suspended until it removed its peers would treat the packets that
        waited for it as new.
        """
        ages = self._ages.pop(address, None) or PacketAges()
        self._ages[address] = ages
        while len(self._ages) > MAX_REMEMBERED_AGES:
            self._ages.pop(next(iter(self._ages)))
        return ages

    def _start_task(
        self, action: Callable[[], Awaitable[None]], name: str
    ) -> asyncio.Task[None]:
        """Start a task that goes on after a defect.

        Without this, the node would no longer listen or send to a peer that
        still looks alive.
        """
        return start_running(action, name, self.log, self._count_failure)

    def _count_failure(self) -> None:
        self.counts.failed_tasks += 1

    async def _receive(self, socket: pynng.Pull0) -> None:
        while True:
            try:
                received = await socket.arecv()
            except pynng.Closed:
                # The node is closing.
                return
            self.counts.received_packets += 1
            self.counts.received_bytes += len(received)
            self._handle_packet(received)

    def _handle_packet(self, received: bytes) -> None:
        try:
            packet = self.codec.decode(received)
        except TransportError:
            self.counts.undecodable += 1
            return
        self.counts.unknown_messages += packet.unknown
        self._dispatch(packet)

    def _dispatch(self, packet: VerifiedPacket) -> None:
        now = self.clock.monotonic()
        peer = self.peer(packet.reply_to)
        if packet.incarnation != peer.ages.incarnation:
            peer.handle_new_incarnation()
        age = peer.ages.observe(packet.incarnation, packet.sent_at, now)
        if age > MAX_PACKET_AGE_SECONDS:
            self.counts.stale += 1
            return
        peer.last_received_at = now
        for message in packet.messages:
            peer.enqueue_received(message, now - age)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            horizon = self.clock.monotonic() - PEER_RETENTION_SECONDS
            for address, peer in tuple(self.peers.items()):
                if 0 < peer.last_received_at < horizon:
                    self.remove_peer(address)


async def _ignore_peer(peer: Peer) -> None:
    """Handle no messages, for a node that only sends."""
