"""One peer: what is waiting to be sent to it and what came from it."""

import asyncio
import contextlib
from collections import deque

import msgspec

from ..clock import Clock
from ..messages import Message, PacketCodec
from .ages import PacketAges
from .counts import TransportCounts
from .dialled import SEND_TIMEOUT_MS, DialledSocket

#: Messages that may wait for one peer. Frames are bounded by their windows;
#: this bounds the rest when a peer does not take its messages.
OUTBOX_MESSAGES = 4096
#: Messages from one peer that may wait to be handled.
INBOX_MESSAGES = 4096
#: Bytes of payload from which on a packet is sent without waiting for more.
PACKET_BYTES = 262_144
#: Frames of all streams to a peer ride together in one packet for this long.
#: A packet costs about 0.13 ms of processor time at each end, so one a token
#: would use up a core at 7,500 tokens a second.
FLUSH_SECONDS = 0.004
#: Time after which an address that does not answer is dialled anew, in
#: seconds: the first time and, growing by `REDIAL_GROWTH`, at most. Between
#: instances in one region a connection is made within some milliseconds.
FIRST_REDIAL = 0.2
LONGEST_REDIAL = 1.0
REDIAL_GROWTH = 1.5
#: Pause after a connection has ended, in seconds, so that a peer which drops
#: each one at once is not dialled without end.
ENDED_PAUSE = 0.05
_MS = 1000


class Received(msgspec.Struct, frozen=True):
    """A message and when it was sent, on the receiver's monotonic clock."""

    message: Message
    sent_at: float


class Peer:
    """Another process, known by the address at which it listens.

    Attributes
    ----------
    inbound
        Messages that came from the peer, in order.
    last_heard
        Monotonic time of the last packet, in seconds; 0 if none came yet.
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
        self.last_heard: float = 0
        self.inbound: asyncio.Queue[Message] = asyncio.Queue(INBOX_MESSAGES)
        self._sent_at: deque[float] = deque(maxlen=INBOX_MESSAGES)
        self._outbox: deque[Message] = deque()
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()
        self._dialled: DialledSocket | None = None

    def post(self, message: Message, *, urgent: bool = True) -> bool:
        """Queue a message for the peer.

        Parameters
        ----------
        urgent
            Send at once; otherwise wait up to `FLUSH_SECONDS` for others.

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

    async def take(self) -> 'Received':
        """Wait for the next message and return it with its time of sending."""
        message = await self.inbound.get()
        behind = self.inbound.qsize()
        return Received(message, self._sent_at[-1 - behind])

    def receive(self, message: Message, sent_at: float = 0) -> None:
        """Queue a message that came from the peer, or drop it if full.

        Parameters
        ----------
        sent_at
            When it was sent, on the monotonic clock of this process.
        """
        try:
            self.inbound.put_nowait(message)
        except asyncio.QueueFull:
            self.counts.inbox_full += 1
        else:
            self._sent_at.append(sent_at)

    def heard_anew(self) -> None:
        """Note the first packet of a new incarnation of the peer.

        A connection that was made before is given up, and so is an attempt
        that hangs. What goes wrong otherwise: an instance that lost its power
        answers nothing on its old connections, and what is sent on them is
        lost until the kernel gives up, seconds after it is back.
        """
        is_known = self.ages.incarnation != 0
        dialled = self._dialled
        if dialled is not None and (is_known or not dialled.is_connected):
            dialled.end()

    async def run(self) -> None:
        """Send what is posted until cancelled.

        An address that does not answer is dialled anew. What goes wrong
        otherwise: the kernel repeats an opening packet that was lost after a
        second and more, so that peers that come back at nearly the same time
        do not find one another for that long.
        """
        patience = FIRST_REDIAL
        unreached: float = 0
        while True:
            dialled = DialledSocket(self.address, self._wake)
            self._dialled = dialled
            with contextlib.closing(dialled):
                if await dialled.is_reached(patience):
                    patience = FIRST_REDIAL
                    unreached = 0
                    await self._send_until_ended(dialled)
                    await asyncio.sleep(ENDED_PAUSE)
                    continue
            unreached += patience
            patience = min(LONGEST_REDIAL, patience * REDIAL_GROWTH)
            if unreached * _MS >= SEND_TIMEOUT_MS:
                self._drop_waiting()

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
        messages = self._take()
        packet = self.codec.encode(messages, self.clock.monotonic())
        if not await dialled.send(packet):
            # The peer is gone or cut off. Every exchange above tolerates a
            # lost message, so the packet is dropped rather than kept.
            self.counts.lost_packets += 1
            return
        self.counts.sent_packets += 1
        self.counts.sent_bytes += len(packet)

    def _drop_waiting(self) -> None:
        """Drop what waits for a peer that is not there."""
        while self._outbox:
            self._take()
            self.counts.lost_packets += 1

    def _take(self) -> list[Message]:
        taken: list[Message] = []
        size = 0
        while self._outbox and size < PACKET_BYTES:
            message = self._outbox.popleft()
            size += len(getattr(message, 'payload', b''))
            taken.append(message)
        if not self._outbox:
            self._wake.clear()
            self._urgent.clear()
        return taken
