"""A peer, with its queues of outgoing and received messages."""

import asyncio
import contextlib
from collections import deque

import msgspec

from ..clock import Clock
from ..messages import Message, PacketCodec
from .ages import PacketAges
from .counts import TransportCounts
from .dialled import SEND_TIMEOUT_MS, DialledSocket

#: Maximum number of messages queued for one peer. Windows bound the frames;
#: this limit bounds the other messages if a peer does not receive them.
OUTBOX_MESSAGES = 4096
#: Maximum number of messages from one peer that wait to be handled.
INBOX_MESSAGES = 4096
#: Payload size at which a packet takes no more messages, in bytes.
FULL_PACKET_BYTES = 262_144
#: Time for which the frames of all streams to a peer are collected into one
#: packet. A packet costs about 0.13 ms of processor time at each end, so one
#: packet per token would use up a core at 7,500 tokens per second.
FLUSH_SECONDS = 0.004
#: Initial and maximum time after which an address that does not answer is
#: dialled again, in seconds; the time grows by `REDIAL_GROWTH` per attempt.
#: Instances in one region connect within milliseconds.
INITIAL_REDIAL_SECONDS = 0.2
MAX_REDIAL_SECONDS = 1.0
REDIAL_GROWTH = 1.5
#: Pause after a connection has ended, in seconds. It limits the rate of
#: connections to a peer that drops each of them immediately.
RECONNECT_PAUSE_SECONDS = 0.05
_MS = 1000


class ReceivedMessage(msgspec.Struct, frozen=True):
    """A message with its send time on the receiver's monotonic clock."""

    message: Message
    sent_at: float


class Peer:
    """Another process, identified by the address at which it listens.

    Attributes
    ----------
    inbound
        Messages received from the peer, in order.
    last_received_at
        Monotonic time of the last packet, in seconds; 0 before the first
        packet.
    """

    def __init__(
        self,
        address: str,
        codec: PacketCodec,
        clock: Clock,
        counts: TransportCounts,
    ) -> None:
        self.address = address
        self.codec = codec
        self.clock = clock
        self.counts = counts
        self.ages = PacketAges()
        self.last_received_at: float = 0
        self.inbound: asyncio.Queue[Message] = asyncio.Queue(INBOX_MESSAGES)
        self._sent_at: deque[float] = deque(maxlen=INBOX_MESSAGES)
        self._outbox: deque[Message] = deque()
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()
        self._dialled: DialledSocket | None = None
        self._is_free = asyncio.Event()
        self._is_free.set()

    async def wait_sent(self) -> None:
        """Wait until no packet is being sent."""
        await self._is_free.wait()

    def post(self, message: Message, *, urgent: bool = True) -> bool:
        """Queue a message for the peer.

        Parameters
        ----------
        urgent
            Whether to send at once; otherwise the message waits up to
            `FLUSH_SECONDS` for other messages.

        Returns
        -------
        bool
            False if the queue is full and the message was dropped.
        """
        if len(self._outbox) >= OUTBOX_MESSAGES:
            self.counts.outbox_full += 1
            return False
        self._outbox.append(message)
        self._wake.set()
        if urgent:
            self._urgent.set()
        return True

    async def next_message(self) -> 'ReceivedMessage':
        """Wait for the next message and return it with its send time."""
        message = await self.inbound.get()
        behind = self.inbound.qsize()
        return ReceivedMessage(message, self._sent_at[-1 - behind])

    def enqueue_received(self, message: Message, sent_at: float = 0) -> None:
        """Queue a message from the peer, or drop it if the queue is full.

        Parameters
        ----------
        sent_at
            Send time on the monotonic clock of this process.
        """
        try:
            self.inbound.put_nowait(message)
        except asyncio.QueueFull:
            self.counts.inbox_full += 1
        else:
            self._sent_at.append(sent_at)

    def handle_new_incarnation(self) -> None:
        """Handle the first packet of a new incarnation of the peer.

        An earlier connection or a pending attempt to connect is ended.
        An instance that lost its power does not answer on its old connections.
        Without this, messages sent on them would be lost until the kernel
        times out, seconds after the instance is back.
        """
        is_known = self.ages.incarnation != 0
        dialled = self._dialled
        if dialled is not None and (is_known or not dialled.is_connected):
            dialled.mark_ended()

    async def run(self) -> None:
        """Send the posted messages until cancelled.

        An address that does not answer is dialled again. The kernel repeats a
        lost opening packet only after a second or more. Without dialling
        again, peers that restart at nearly the same time would not connect
        for that long.
        """
        redial_seconds = INITIAL_REDIAL_SECONDS
        unreached_seconds: float = 0
        while True:
            dialled = DialledSocket(self.address, self._wake)
            self._dialled = dialled
            with contextlib.closing(dialled):
                if await dialled.wait_connected(redial_seconds):
                    redial_seconds = INITIAL_REDIAL_SECONDS
                    unreached_seconds = 0
                    await self._send_until_ended(dialled)
                    await asyncio.sleep(RECONNECT_PAUSE_SECONDS)
                    continue
            unreached_seconds += redial_seconds
            redial_seconds = min(
                MAX_REDIAL_SECONDS, redial_seconds * REDIAL_GROWTH
            )
            if unreached_seconds * _MS >= SEND_TIMEOUT_MS:
                self._drop_outbox()

    async def _send_until_ended(self, dialled: DialledSocket) -> None:
        while True:
            await self._wake.wait()
            if dialled.has_ended:
                return
            if self._outbox:
                await self._wait_for_more()
                await self._send_packet(dialled)
            else:
                self._wake.clear()

    async def _wait_for_more(self) -> None:
        if self._urgent.is_set():
            return
        try:
            async with asyncio.timeout(FLUSH_SECONDS):
                await self._urgent.wait()
        except TimeoutError:
            return

    async def _send_packet(self, dialled: DialledSocket) -> None:
        messages = self._pop_batch()
        packet = self.codec.encode(messages, self.clock.monotonic())
        self._is_free.clear()
        try:
            is_sent = await dialled.send(packet)
        finally:
            self._is_free.set()
        if not is_sent:
            # The peer is stopped or disconnected. All exchanges tolerate lost
            # messages, so the packet is dropped rather than kept.
            self.counts.lost_packets += 1
            return
        self.counts.sent_packets += 1
        self.counts.sent_bytes += len(packet)

    def _drop_outbox(self) -> None:
        """Drop all messages queued for a peer that cannot be reached."""
        while self._outbox:
            self._pop_batch()
            self.counts.lost_packets += 1

    def _pop_batch(self) -> list[Message]:
        batch: list[Message] = []
        size = 0
        while self._outbox and size < FULL_PACKET_BYTES:
            message = self._outbox.popleft()
            size += len(getattr(message, 'payload', b''))
            batch.append(message)
        if not self._outbox:
            self._wake.clear()
            self._urgent.clear()
        return batch
