"""Callers of an entry that has started while the platform is away."""

import asyncio
import re

from sycamore_core.clock import SystemClock
from sycamore_core.routing import RouteKind

from ..fleet.feed import ChangeBatch, EndpointChanged, FleetSnapshot, Revision
from ..fleet.keeper import FleetKeeper
from .builders import (
    ENDPOINT,
    SNAPSHOT,
    FixedFeed,
    RawEndpoint,
    entry_before,
    route,
    saying,
    whole,
)

CALLERS = 20


class SilentFeed(FixedFeed):
    """A platform that never answers what it was asked while it was away."""

    def __init__(self, silent_seconds: float) -> None:
        super().__init__(SNAPSHOT)
        self.silent_seconds = silent_seconds
        self.asked = 0
        self.batch: ChangeBatch | None = None

    async def snapshot(self) -> FleetSnapshot:
        self.asked += 1
        loop = asyncio.get_running_loop()
        if self.asked == 1:
            self.back_at = loop.time() + self.silent_seconds
        if loop.time() < self.back_at:
            await asyncio.Event().wait()
        return self.fixed

    async def changes(
        self,
        after: Revision,
        wait_seconds: float,
    ) -> ChangeBatch:
        if self.batch is not None and after < self.batch.revision:
            return self.batch
        return await super().changes(after, wait_seconds)


async def listed_after(feed: SilentFeed, seconds: float) -> bool:
    keeper = FleetKeeper(feed, SystemClock())
    keeping = asyncio.create_task(keeper.run())
    try:
        await keeper.first_list.wait(seconds)
    finally:
        keeping.cancel()
    return keeper.is_ready


async def test_platform_that_is_back_is_asked_again() -> None:
    """The platform is silent as the entry starts, and back 0.4 s later.

    What the entry asked before is never answered. If it waits for that
    answer, all of its callers are refused meanwhile.
    """
    feed = SilentFeed(silent_seconds=0.4)
    assert await listed_after(feed, seconds=5)
    assert feed.asked > 1


async def test_callers_wait_for_a_list_that_is_on_its_way() -> None:
    """An entry starts; its callers come before it has listed the endpoints.

    They found no process a moment ago, and a refusal is the last that they
    hear.
    """
    endpoint = RawEndpoint('e1', saying(whole()))
    async with entry_before(route(RouteKind.SAFE), endpoint) as entry:
        keeper = entry.context.keeper
        table = keeper.table
        keeper.table = None
        keeper.first_list.listed.clear()
        asking = asyncio.create_task(entry.ask(Patience='9'))
        await asyncio.sleep(0.1)
        keeper.table = table
        keeper.first_list.listed.set()
        assert b'200 OK' in await asking


async def test_entry_that_is_ready_holds_up_nobody() -> None:
    """Endpoints register only after the entry has started.

    Its first list was empty; if it waits for another one, every answer is
    late by that time.
    """
    feed = SilentFeed(silent_seconds=0)
    keeper = FleetKeeper(feed, SystemClock())
    feed.fixed = FleetSnapshot(Revision(1), SNAPSHOT.published, ())
    feed.batch = ChangeBatch(Revision(2), (EndpointChanged(ENDPOINT),))
    keeping = asyncio.create_task(keeper.run())
    async with asyncio.timeout(5):
        await keeper.first_list.listed.wait()
    keeping.cancel()


async def test_callers_are_not_sent_back_into_the_outage() -> None:
    """All entries start anew while the platform is away for seconds.

    Callers come back once. Told half a second, all of them come back into
    the same outage, together, and are lost.
    """
    endpoint = RawEndpoint('e1', saying(whole()))
    async with entry_before(route(RouteKind.SAFE), endpoint) as entry:
        entry.context.keeper.table = None
        asked = [
            entry.ask(Id=f'q{number}', Patience='9')
            for number in range(CALLERS)
        ]
        answers = [told.decode() for told in await asyncio.gather(*asked)]
    times = [
        float(re.search(r'Retry-After: ([0-9.]+)', one)[1]) for one in answers
    ]
    assert not endpoint.requests
    assert all(' 503 ' in one for one in answers)
    assert min(times) >= 1
    assert max(times) <= 3
    assert max(times) >= min(times) + 0.5
