"""Tests of the exchange between two nodes over loopback."""

import asyncio
import time

import pytest

from ...clock import SystemClock
from ...ids import Incarnation, KeyId, PeerId
from ...messages import Message, PacketCodec, PeerKeys, SettingsWanted
from .. import Node, NodeAddress, Peer
from ..dialled import DialledSocket
from .free_ports import LOOPBACK, free_port

KEYS = PeerKeys({KeyId('k'): b'k' * 16}, KeyId('k'))
WAIT_SECONDS = 10
#: Time that a stopping entry leaves its node to close, in seconds.
SHORT_SECONDS = 0.05


def free_address() -> str:
    return f'tcp://{LOOPBACK}:{free_port()}'


class Recorder:
    """Collects the messages from all peers."""

    def __init__(self) -> None:
        self.messages: asyncio.Queue[Message] = asyncio.Queue()

    async def serve(self, peer: Peer) -> None:
        while True:
            await self.messages.put(await peer.inbound.get())


def make_node(name: str, recorder: Recorder) -> Node:
    address = free_address()
    codec = PacketCodec(KEYS, PeerId(name), Incarnation(1), address)
    return Node(
        NodeAddress(address, address),
        codec,
        SystemClock(),
        recorder.serve,
    )


async def exchange() -> list[Message]:
    there, back = Recorder(), Recorder()
    left, right = make_node('left', back), make_node('right', there)
    left.start()
    right.start()
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            left.peer(right.address.advertise).post(SettingsWanted(1))
            first = await there.messages.get()
            right.peer(left.address.advertise).post(SettingsWanted(2))
            return [first, await back.messages.get()]
    finally:
        await left.close()
        await right.close()


def test_messages_go_both_ways() -> None:
    assert asyncio.run(exchange()) == [SettingsWanted(1), SettingsWanted(2)]


async def send_to_absent_peer() -> int:
    node = make_node('alone', Recorder())
    node.start()
    try:
        peer = node.peer(free_address())
        peer.post(SettingsWanted(1))
        async with asyncio.timeout(WAIT_SECONDS):
            while not node.counts.lost_packets:
                await asyncio.sleep(0.02)
        return node.counts.lost_packets
    finally:
        await node.close()


def test_packet_to_an_absent_peer_is_dropped() -> None:
    """The instance of an endpoint is gone while an entry sends to it.

    The sender must not wait forever, or its queue would stay full.
    """
    assert asyncio.run(send_to_absent_peer()) == 1


async def received_send_times() -> list[float]:
    node = make_node('late', Recorder())
    peer = Peer('tcp://127.0.0.1:1', node.codec, node.clock, node.counts)
    peer.enqueue_received(SettingsWanted(1), sent_at=3)
    peer.enqueue_received(SettingsWanted(2), sent_at=4)
    return [
        (await peer.next_message()).sent_at,
        (await peer.next_message()).sent_at,
    ]


def test_message_is_received_with_its_send_time() -> None:
    """A process is suspended while offers wait for it.

    Without the age of each offer, it would run offers that were cancelled.
    """
    assert asyncio.run(received_send_times()) == [3, 4]


async def age_after_removal() -> float:
    node = make_node('sleeper', Recorder())
    first = node.peer('tcp://127.0.0.1:1')
    first.ages.observe(Incarnation(3), sent_at=100, received_at=10)
    node.remove_peer(first.address)
    again = node.peer(first.address)
    age = again.ages.observe(Incarnation(3), sent_at=101, received_at=311)
    await node.close()
    return age


def test_packet_that_waited_during_a_long_suspension_is_old() -> None:
    """An endpoint process is suspended for five minutes while offers wait.

    After it resumes, it removes its silent peers and reads the offers. If
    the offers counted as new, they would run although their callers received
    a timeout long ago.
    """
    assert asyncio.run(age_after_removal()) == 300


async def received_from_closed_node() -> Message:
    there = Recorder()
    left, right = make_node('left', Recorder()), make_node('right', there)
    right.start()
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            peer = left.peer(right.address.advertise)
            peer.post(SettingsWanted(1))
            await there.messages.get()
            peer.post(SettingsWanted(2))
            await asyncio.sleep(0)
            await left.close(SHORT_SECONDS)
            return await there.messages.get()
    finally:
        await right.close()


def test_message_that_was_being_sent_outlives_a_short_close() -> None:
    """Guards against a last word that the end of a process takes back."""
    assert asyncio.run(received_from_closed_node()) == SettingsWanted(2)


async def sent_before_close(send_seconds: float) -> list[bytes]:
    """Return what a node has sent that closes as a message is being sent."""
    sent: list[bytes] = []
    began = asyncio.Event()

    async def send(_: DialledSocket, packet: bytes) -> bool:
        began.set()
        await asyncio.sleep(send_seconds)
        sent.append(packet)
        return True

    there = make_node('right', Recorder())
    there.start()
    left = make_node('left', Recorder())
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(DialledSocket, 'send', send)
        left.peer(there.address.advertise).post(SettingsWanted(1))
        await began.wait()
        await left.close(SHORT_SECONDS)
    await there.close()
    return sent


def test_close_waits_for_a_message_that_is_being_sent() -> None:
    """Guards against a message that is lost with the task that sends it."""
    assert len(asyncio.run(sent_before_close(SHORT_SECONDS / 5))) == 1


def test_close_does_not_wait_for_a_peer_that_does_not_receive() -> None:
    """Guards against a process that is kept by a stopped peer."""
    began = time.monotonic()
    assert not asyncio.run(sent_before_close(WAIT_SECONDS))
    assert time.monotonic() - began < WAIT_SECONDS / 2
