"""The relay between two pynng sockets."""

from collections.abc import Iterator

import pynng
import pytest
from sycamore_core.ids import Incarnation, KeyId, PeerId
from sycamore_core.messages import PacketCodec, PeerKeys, SettingsWanted

from ..fleet.addresses import AddressPool
from ..relay import RelayThread
from ..relay.relay import RelayRoute


def packet(sender: str, number: int) -> bytes:
    keys = PeerKeys({KeyId('k1'): b'0123456789abcdef'}, KeyId('k1'))
    codec = PacketCodec(keys, PeerId(sender), Incarnation(1), 'tcp://x')
    return codec.encode([SettingsWanted(number)], sent_at=0)


@pytest.fixture
def relays() -> Iterator[RelayThread]:
    thread = RelayThread()
    thread.start()
    yield thread
    thread.close()


async def test_cut_holds_one_sender_and_heals(relays: RelayThread) -> None:
    """The network between one pair is cut while another pair still talks.

    What was sent into the cut arrives late, once it heals.
    """

    pool = AddressPool.for_fleet(201)
    route = RelayRoute(pool.host, pool.port(), pool.port())
    relays.add('receiver', route)
    relays.cut('receiver', 'one')
    address = f'tcp://{pool.host}:{route.listen_port}'
    target = f'tcp://{pool.host}:{route.target_port}'
    with (
        pynng.Pull0(listen=target, recv_timeout=20_000) as receiver,
        pynng.Push0(dial=address) as one,
        pynng.Push0(dial=address) as two,
    ):
        await one.asend(packet('one', 1))
        await two.asend(packet('two', 2))
        assert await receiver.arecv() == packet('two', 2)
        relays.heal('receiver', 'one')
        assert await receiver.arecv() == packet('one', 1)
