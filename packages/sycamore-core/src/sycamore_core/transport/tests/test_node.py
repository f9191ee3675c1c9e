"""Tests of the exchange between two nodes over loopback."""

import asyncio
import socket

from ...clock import SystemClock
from ...ids import Incarnation, KeyId, PeerId
from ...messages import Message, PacketCodec, PeerKeys, SettingsWanted
from .. import Node, NodeAddress, Peer

KEYS = PeerKeys({KeyId('k'): b'k' * 16}, KeyId('k'))
WAIT_SECONDS = 10


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    return f'tcp://127.0.0.1:{port}'


class Recorder:
    """Keeps what comes from all peers."""

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


async def send_to_nobody() -> int:
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


def test_absent_peer_costs_a_lost_packet_and_nothing_else() -> None:
    """An endpoint's instance is gone while an entry still sends to it.

    The sender must not wait for ever, or its queue would fill for good.
    """
    assert asyncio.run(send_to_nobody()) == 1


async def times_of_sending() -> list[float]:
    node = make_node('late', Recorder())
    peer = Peer('tcp://127.0.0.1:1', node.codec, node.clock, node.counts)
    peer.receive(SettingsWanted(1), sent_at=3)
    peer.receive(SettingsWanted(2), sent_at=4)
    return [(await peer.take()).sent_at, (await peer.take()).sent_at]


def test_message_is_taken_with_its_time_of_sending() -> None:
    """A process sleeps while offers wait for it.

    It must know how old each is, or it would run what was given up.
    """
    assert asyncio.run(times_of_sending()) == [3, 4]
