"""Calls of a fleet to the platform while endpoints register and leave."""

import asyncio

import pytest
from sycamore_core.clock import SystemClock

from ..fleet.feed import ChangeBatch, EndpointChanged, Revision
from ..fleet.keeper import FleetKeeper
from ..fleet.read_pace import ReadRateLimit
from .builders import ENDPOINT, SNAPSHOT, FixedFeed

CHANGES = 60
GAP_SECONDS = 0.01
#: Time within which a change must be in force in these tests, in seconds.
CHANGE_SECONDS = 1.2
#: Longer than any step of these tests, also on a busy machine, in seconds.
TIMEOUT_SECONDS = 20


class BusyFeed(FixedFeed):
    """A platform on which endpoints register one after another.

    Attributes
    ----------
    calls
        Number of watches that were opened.
    waits
        How long each watch waits at most, in seconds.
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


async def start_keeper(
    feed: BusyFeed, limit: ReadRateLimit
) -> asyncio.Task[None]:
    keeper = FleetKeeper(feed, SystemClock(), limit)
    return asyncio.create_task(keeper.run())


async def test_registrations_are_read_in_a_few_calls() -> None:
    """Guards against a platform that refuses entries because of their calls.

    Endpoints register one after another, and each ends the watch. Without a
    pause, every entry would make one call for every endpoint.
    """
    feed = BusyFeed()
    limit = ReadRateLimit(CHANGE_SECONDS)
    limit.entries = 68
    task = await start_keeper(feed, limit)
    for _ in range(CHANGES):
        await asyncio.sleep(GAP_SECONDS)
        feed.change()
    task.cancel()
    assert feed.calls < CHANGES / 4


@pytest.mark.parametrize('entries', [10, 26, 68])
def test_release_costs_few_calls_for_any_number_of_entries(
    entries: int,
) -> None:
    """Guards against costs that grow with the number of entries.

    A service is replaced within 20 s, with changes all the time. Each entry
    reads as often as its pauses permit, and the operator pays for every call.
    """
    limit = ReadRateLimit(change_seconds=8)
    limit.entries = entries
    calls = entries * 20 / limit.gather_seconds
    assert calls <= 1000


async def test_pause_ends_for_any_number_of_entries() -> None:
    """Guards against a pause of minutes in a very large fleet.

    The calls of all its entries would take minutes at the permitted rate.
    """
    feed = BusyFeed()
    limit = ReadRateLimit(CHANGE_SECONDS)
    limit.entries = 1_000_000
    assert limit.gather_seconds <= CHANGE_SECONDS / 4
    task = await start_keeper(feed, limit)
    await asyncio.sleep(GAP_SECONDS)
    feed.change()
    await asyncio.sleep(GAP_SECONDS)
    feed.change()
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while feed.calls < 3:
            await asyncio.sleep(GAP_SECONDS)
    task.cancel()
    assert max(feed.waits) < CHANGE_SECONDS


async def test_report_of_a_newer_configuration_ends_the_pause() -> None:
    """Guards against an old configuration that serves callers during a pause.

    A peer reports a newer configuration while this entry gathers changes.
    """
    feed = BusyFeed()
    limit = ReadRateLimit(change_seconds=600)
    limit.entries = 10_000
    task = await start_keeper(feed, limit)
    await asyncio.sleep(GAP_SECONDS)
    feed.change()
    await asyncio.sleep(GAP_SECONDS)
    feed.change()
    calls = feed.calls
    limit.end_pause()
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while feed.calls == calls:
            await asyncio.sleep(GAP_SECONDS)
    task.cancel()
