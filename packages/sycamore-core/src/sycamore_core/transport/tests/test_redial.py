"""Tests of dialling peers that cannot be reached at first."""

import asyncio
import socket

import pytest

from ...ids import Incarnation
from ...messages import SettingsWanted
from .. import peer as peer_module
from ..dialled import DialledSocket
from ..node import Node
from .test_node import Recorder, make_node

WAIT_SECONDS = 20


class UnreachedSocket(DialledSocket):
    """A socket whose first opening packets are lost; counts its dials."""

    dials = 0
    #: Number of attempts that fail.
    lost = 3

    async def wait_connected(self, timeout_seconds: float) -> bool:
        UnreachedSocket.dials += 1
        if UnreachedSocket.dials > UnreachedSocket.lost:
            return await super().wait_connected(timeout_seconds)
        return False


@pytest.fixture
def lossy(monkeypatch: pytest.MonkeyPatch) -> type[UnreachedSocket]:
    monkeypatch.setattr(UnreachedSocket, 'dials', 0)
    monkeypatch.setattr(peer_module, 'DialledSocket', UnreachedSocket)
    return UnreachedSocket


async def keep_posting(node: Node, address: str) -> None:
    while True:
        node.peer(address).post(SettingsWanted(1))
        await asyncio.sleep(0.05)


async def test_address_that_did_not_answer_is_dialled_again(
    lossy: type[UnreachedSocket],
) -> None:
    """All entries lose their power and restart within half a second.

    Each dials addresses that are not listening yet, and its opening packets
    are lost. Until a packet is repeated, each entry places requests as if it
    were the only entry.
    """
    there = Recorder()
    left, right = make_node('left', Recorder()), make_node('right', there)
    left.start()
    right.start()
    posting = asyncio.create_task(
        keep_posting(left, right.address.advertise),
    )
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            assert await there.messages.get() == SettingsWanted(1)
    finally:
        posting.cancel()
        await asyncio.gather(left.close(), right.close())
    assert lossy.dials > lossy.lost


async def test_restarted_peer_is_dialled_again() -> None:
    """An instance loses its power; its old connections do not answer.

    Peers that keep sending on them lose messages for seconds after the
    instance is back, unless its first packet makes them dial it again.
    """
    left = make_node('left', Recorder())
    with socket.socket() as silent:
        # Accepts connections and never reads, like the failed instance.
        silent.bind(('127.0.0.1', 0))
        silent.listen()
        silent.settimeout(WAIT_SECONDS)
        port = silent.getsockname()[1]
        peer = left.peer(f'tcp://127.0.0.1:{port}')
        first, _ = await asyncio.to_thread(silent.accept)
        peer.ages.observe(Incarnation(1), 0, 0)
        peer.handle_new_incarnation()
        try:
            second, _ = await asyncio.to_thread(silent.accept)
        finally:
            await left.close()
        first.close()
        second.close()
