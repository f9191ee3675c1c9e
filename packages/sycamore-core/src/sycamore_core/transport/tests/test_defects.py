"""Defects in the tasks of a node and of its peers."""

import asyncio

import pytest

from ...messages import Message, SettingsWanted
from .. import Peer
from .test_node import Recorder, make_node

WAIT_SECONDS = 5


class FailsOnce:
    """Fails as a defect does on its first call, then does what it replaces."""

    def __init__(self, replaced) -> None:
        self.replaced = replaced
        self.has_failed = False

    def __call__(self, *arguments: object) -> object:
        if not self.has_failed:
            self.has_failed = True
            raise LookupError('defect')
        return self.replaced(*arguments)


class FailingRecorder(Recorder):
    """Fails at the first message."""

    def __init__(self) -> None:
        super().__init__()
        self.has_failed = False

    async def serve(self, peer: Peer) -> None:
        if not self.has_failed:
            await peer.inbound.get()
            self.has_failed = True
            raise LookupError('defect')
        await super().serve(peer)


async def messages_after(break_nodes, recorder: Recorder) -> list[Message]:
    """Return what arrives of the messages that a node sends."""
    there = make_node('there', recorder)
    here = make_node('here', Recorder())
    break_nodes(here, there)
    there.start()
    here.start()
    received = []
    try:
        peer = here.peer(there.address.advertise)
        async with asyncio.timeout(WAIT_SECONDS):
            while len(received) < 2:
                peer.post(SettingsWanted(1))
                await asyncio.sleep(0.05)
                while not recorder.messages.empty():
                    received.append(recorder.messages.get_nowait())
    finally:
        await here.close()
        await there.close()
    return received


def break_nothing(here, there) -> None:
    """Leave the nodes as they are."""


def break_receiving(here, there) -> None:
    there._dispatch = FailsOnce(there._dispatch)


def break_sending(here, there) -> None:
    here.codec.encode = FailsOnce(here.codec.encode)


async def test_defect_in_a_handler_does_not_make_a_node_deaf() -> None:
    """Guards against a peer that looks alive and is never listened to again."""
    assert await messages_after(break_nothing, FailingRecorder())


@pytest.mark.parametrize('break_nodes', [break_receiving, break_sending])
async def test_defect_in_a_task_does_not_end_the_exchange(break_nodes) -> None:
    """Guards against a node that receives or sends nothing any more."""
    assert await messages_after(break_nodes, Recorder())
