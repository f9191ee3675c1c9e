"""Start of an entry while the platform is unreachable."""

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
    full_answer,
    reply_with,
    route,
    running_entry,
)

CALLER_COUNT = 20


class SilentFeed(FixedFeed):
    """A platform that never answers requests sent while it is unreachable."""

    def __init__(self, silent_seconds: float) -> None:
        super().__init__(SNAPSHOT)
        self.silent_seconds = silent_seconds
        self.request_count = 0
        self.batch: ChangeBatch | None = None

    async def snapshot(self) -> FleetSnapshot:
        self.request_count += 1
        loop = asyncio.get_running_loop()
        if self.request_count == 1:
            self.reachable_at = loop.time() + self.silent_seconds
        if loop.time() < self.reachable_at:
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


async def is_listed_within(feed: SilentFeed, seconds: float) -> bool:
    keeper = FleetKeeper(feed, SystemClock())
    keeping = asyncio.create_task(keeper.run())
    try:
        await keeper.first_list.wait(seconds)
    finally:
        keeping.cancel()
    return keeper.is_ready


async def test_first_list_is_requested_again() -> None:
    """Guards against waiting for an answer that never arrives.

    The platform is silent when the entry starts, and reachable 0.4 s later.
    Without a new request for the list, all callers would be refused.
    """
    feed = SilentFeed(silent_seconds=0.4)
    assert await is_listed_within(feed, seconds=5)
    assert feed.request_count > 1


async def test_callers_wait_for_first_list() -> None:
    """Guards against refusing callers before the first list of endpoints.

    These callers could not connect a moment before and have no retry left.
    """
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    async with running_entry(route(RouteKind.SAFE), endpoint) as entry:
        keeper = entry.context.keeper
        table = keeper.table
        keeper.in_force.table = None
        keeper.first_list.listed.clear()
        asking = asyncio.create_task(entry.ask(Patience='9'))
        await asyncio.sleep(0.1)
        keeper.in_force.table = table
        keeper.first_list.listed.set()
        assert b'200 OK' in await asking


async def test_empty_first_list_does_not_delay_answers() -> None:
    """Guards against waiting for a second list after an empty first one.

    Endpoints register only after the entry has started. Waiting for another
    list would delay every answer.
    """
    feed = SilentFeed(silent_seconds=0)
    keeper = FleetKeeper(feed, SystemClock())
    feed.fixed = FleetSnapshot(Revision(1), SNAPSHOT.published, ())
    feed.batch = ChangeBatch(Revision(2), (EndpointChanged(ENDPOINT),))
    keeping = asyncio.create_task(keeper.run())
    async with asyncio.timeout(5):
        await keeper.first_list.listed.wait()
    keeping.cancel()


async def test_retry_after_is_spread_during_outage() -> None:
    """Guards against retries of all callers within the same outage.

    All entries restart while the platform is unreachable for seconds, and
    callers retry once. With a delay of half a second, all callers would retry
    together, still within the outage, and be lost.
    """
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    async with running_entry(route(RouteKind.SAFE), endpoint) as entry:
        entry.context.keeper.in_force.table = None
        asked = [
            entry.ask(Id=f'q{number}', Patience='9')
            for number in range(CALLER_COUNT)
        ]
        answers = [answer.decode() for answer in await asyncio.gather(*asked)]
    times = [
        float(re.search(r'Retry-After: ([0-9.]+)', one)[1]) for one in answers
    ]
    assert not endpoint.requests
    assert all(' 503 ' in one for one in answers)
    assert min(times) >= 1
    assert max(times) <= 3
    assert max(times) >= min(times) + 0.5
