"""What a fleet asks of the platform while endpoints come and go."""

import asyncio

import pytest
from sycamore_core.clock import SystemClock

from ..fleet.feed import ChangeBatch, EndpointChanged, Revision
from ..fleet.keeper import FleetKeeper
from ..fleet.read_pace import ReadPace
from .builders import ENDPOINT, SNAPSHOT, FixedFeed

CHANGES = 60
GAP_SECONDS = 0.01
#: Time within which a change is in force here, in seconds.
IN_FORCE_SECONDS = 1.2
#: Longer than anything takes here, also on a busy machine.
MANY_SECONDS = 20


class BusyFeed(FixedFeed):
    """A platform on which one endpoint after another registers.

    Attributes
    ----------
    calls
        Watches that were opened.
    waits
        How long each of them was to wait, in seconds.
    """

    def __init__(self) -> None:
        super().__init__(SNAPSHOT)
        self.calls = 0
        self.waits: list[float] = []
        self.revision = 1
        self.more = asyncio.Event()

    async def changes(
        self,
        after: Revision,
        wait_seconds: float,
    ) -> ChangeBatch:
        self.calls += 1
        self.waits.append(wait_seconds)
        while self.revision <= after:
            self.more.clear()
            await self.more.wait()
        return ChangeBatch(
            Revision(self.revision),
            (EndpointChanged(ENDPOINT),),
        )

    def change(self) -> None:
        self.revision += 1
        self.more.set()


async def watched(feed: BusyFeed, pace: ReadPace) -> asyncio.Task[None]:
    keeper = FleetKeeper(feed, SystemClock(), pace)
    return asyncio.create_task(keeper.run())


async def test_registrations_come_together_in_a_few_calls() -> None:
    """Endpoints register one after the other, each of which ends the watch.

    Asked again at once, the platform gets a call of every entry for every
    endpoint, and turns entries away.
    """
    feed = BusyFeed()
    pace = ReadPace(IN_FORCE_SECONDS)
    pace.entries = 68
    task = await watched(feed, pace)
    for _ in range(CHANGES):
        await asyncio.sleep(GAP_SECONDS)
        feed.change()
    task.cancel()
    assert feed.calls < CHANGES / 4


@pytest.mark.parametrize('entries', [10, 26, 68])
def test_release_costs_few_calls_whatever_the_fleet(entries: int) -> None:
    """A service is replaced within 20 s, which is a change every moment.

    Each entry reads what has changed as often as its pauses let it; the
    operator pays for every call of every entry.
    """
    pace = ReadPace(change_seconds=8)
    pace.entries = entries
    calls = entries * 20 / pace.gather_seconds
    assert calls <= 1000


async def test_pause_ends_however_many_entries_there_are() -> None:
    """The fleet is so large that its entries' calls, spread, take minutes."""
    feed = BusyFeed()
    pace = ReadPace(IN_FORCE_SECONDS)
    pace.entries = 1_000_000
    assert pace.gather_seconds <= IN_FORCE_SECONDS / 4
    task = await watched(feed, pace)
    await asyncio.sleep(GAP_SECONDS)
    feed.change()
    await asyncio.sleep(GAP_SECONDS)
    feed.change()
    async with asyncio.timeout(MANY_SECONDS):
        while feed.calls < 3:
            await asyncio.sleep(GAP_SECONDS)
    task.cancel()
    assert set(feed.waits) == {IN_FORCE_SECONDS}


async def test_word_of_a_newer_configuration_ends_the_pause() -> None:
    """A peer has a configuration that came while this entry gathers.

    Without its word, callers of this entry would be served by the older one
    for the rest of the pause.
    """
    feed = BusyFeed()
    pace = ReadPace(change_seconds=600)
    pace.entries = 10_000
    task = await watched(feed, pace)
    await asyncio.sleep(GAP_SECONDS)
    feed.change()
    await asyncio.sleep(GAP_SECONDS)
    feed.change()
    asked = feed.calls
    pace.hurry()
    async with asyncio.timeout(MANY_SECONDS):
        while feed.calls == asked:
            await asyncio.sleep(GAP_SECONDS)
    task.cancel()
