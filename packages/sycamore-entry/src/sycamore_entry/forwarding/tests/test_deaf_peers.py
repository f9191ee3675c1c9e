"""Configurations of peers, some of which do not answer."""

import asyncio

import pytest
from sycamore_core.clock import ManualClock, SystemClock
from sycamore_core.messages import Message, SettingsWanted
from sycamore_core.transport.counts import TransportCounts
from sycamore_core.transport.failed_messages import FailedMessages

from ..fleet.feed import TableChanged
from ..fleet.keeper import FleetKeeper
from ..mesh.newer_settings import NewerSettings
from .builders import SNAPSHOT
from .builders_mesh import entries, queued_changes_of, running
from .builders_overload import LogFields, captured_lines
from .test_deciding_version import newer_table
from .test_peer_tables import CountingFeed, body_of

#: Time in which a configuration must be in force, in seconds.
CHANGE_SECONDS = 2.0
#: Time between the claims of two peers, and between claims of one, in seconds.
OFFSET_SECONDS = 0.01
CLAIM_SECONDS = 1.0
NEWER = 8


class AnsweringPeer:
    """A peer that answers requests at once."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.settings: NewerSettings | None = None
        self.asked = 0

    def post(self, message: Message) -> None:
        assert isinstance(message, SettingsWanted)
        self.asked += 1
        if self.settings is not None:
            self.settings.apply(self, body_of(NEWER))


async def claim(settings: NewerSettings, peers: list[AnsweringPeer]) -> None:
    """Have peers claim a newer version every second, in the same order."""
    while True:
        for peer in peers:
            settings.compare(peer, NEWER)
            await asyncio.sleep(OFFSET_SECONDS)
        await asyncio.sleep(CLAIM_SECONDS - OFFSET_SECONDS * len(peers))


@pytest.mark.parametrize('deaf', [1, 2, 7, 30])
async def test_peers_that_do_not_answer_do_not_hide_one_that_does(
    deaf: int,
) -> None:
    """Guards against an entry that asks the same deaf peers again and again.

    Behind a partition in one direction a peer goes on sending, and receives
    nothing. The platform refuses this entry.
    """
    keeper = FleetKeeper(CountingFeed(), SystemClock())
    keeper._apply_change(TableChanged(SNAPSHOT.published))
    settings = NewerSettings(keeper)
    peers = [AnsweringPeer(f'tcp://deaf-{place}') for place in range(deaf)]
    sound = AnsweringPeer('tcp://sound')
    sound.settings = settings
    claiming = asyncio.create_task(claim(settings, [*peers, sound]))
    async with asyncio.timeout(CHANGE_SECONDS):
        while keeper.version < NEWER:
            await asyncio.sleep(OFFSET_SECONDS)
    claiming.cancel()
    assert sound.asked == 1
    assert max(peer.asked for peer in peers) <= CHANGE_SECONDS


async def test_defect_at_one_message_does_not_hide_a_version() -> None:
    """Guards against an entry that is deaf to a peer after one defect.

    The platform refuses this entry, so that it depends on its peer.
    """
    async with running(entries(2)) as (first, second):
        second.context.keeper.feed.is_unreachable = True
        handlers = second.mesh._handlers
        for kind, handler in handlers.items():
            handlers[kind] = FailsAtFirst(handler)
        await asyncio.sleep(1)
        queued_changes_of(first).put_nowait(newer_table())
        async with asyncio.timeout(CHANGE_SECONDS):
            while second.context.keeper.version < NEWER:
                await asyncio.sleep(0.02)
    assert second.mesh.node.counts.failed_messages


def test_failed_messages_write_few_lines() -> None:
    """Guards against a defect at each message that fills the log."""
    counts, clock = TransportCounts(), ManualClock(start=10)
    failed = FailedMessages(counts, clock)
    lines: list[LogFields] = []
    with captured_lines('message_failed', lines):
        for _ in range(100):
            failed.record(
                AnsweringPeer('tcp://a'), SettingsWanted(0), KeyError()
            )
        clock.advance(1)
        failed.record(AnsweringPeer('tcp://a'), SettingsWanted(0), KeyError())
    assert (len(lines), counts.failed_messages) == (2, 101)


class FailsAtFirst:
    """Fails at the first message, as a defect does."""

    def __init__(self, handler) -> None:
        self.handler = handler
        self.has_failed = False

    def __call__(self, peer, message) -> None:
        if not self.has_failed:
            self.has_failed = True
            raise LookupError('defect')
        self.handler(peer, message)
