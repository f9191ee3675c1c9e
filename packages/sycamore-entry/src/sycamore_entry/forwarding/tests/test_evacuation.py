"""Nothing more is sent to the endpoints of an evacuated zone."""

import asyncio
from collections.abc import Callable

import msgspec
import pytest
from sycamore_core.clock import ManualClock
from sycamore_core.errors import PlatformError
from sycamore_core.ids import ZoneId
from sycamore_core.membership import members
from sycamore_core.routing import EndpointRecord, RouteKind

from ..callers.statuses import RETRY_AFTER_SECONDS
from ..context import ForwardingContext
from ..endpoints.channel import EndpointChannel
from ..endpoints.reservations import RENEW_SECONDS
from ..fleet.feed import (
    ChangeBatch,
    Epoch,
    EvacuationChanged,
    FleetSnapshot,
    HistoryLostError,
    Revision,
)
from ..fleet.keeper import FleetKeeper
from ..fleet.restoration import SETTLE_SECONDS
from .builders import (
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    TestEntry,
    chunk,
    event,
    full_answer,
    reply_with,
    route,
    running_entry,
    snapshot_of,
    stream_head,
)
from .builders_answers import is_answered, retry_after
from .builders_engines import ANSWER, HUGE, STREAM, Engine, engines
from .builders_mesh import QueueFeed, entries, queued_changes_of, running

SAFE = route(RouteKind.SAFE)
CHAT = route(RouteKind.RESUMABLE_STREAM, MODEL)
ZONE = ZoneId('b')
REQUESTS = 8
FIRST = Revision(5)
#: Time within which a request is refused on a busy machine, in seconds. A wait
#: for a slot or for a time limit takes longer.
REFUSAL_SECONDS = 0.5


def plain(name: str, zone: str) -> RawEndpoint:
    return RawEndpoint(name, reply_with(full_answer()), zone)


def evacuate(
    context: ForwardingContext,
    zone: str = ZONE,
    *,
    revision: int = FIRST,
    is_evacuated: bool = True,
) -> None:
    """Apply a change as if the platform had reported it."""
    change = EvacuationChanged(ZoneId(zone), Revision(revision), is_evacuated)
    context.keeper.evacuation.apply_change(change, Epoch(1))


def evacuate_on_connect(
    context: ForwardingContext,
    monkeypatch: pytest.MonkeyPatch,
    is_due: Callable[[], bool] | None = None,
) -> None:
    """Evacuate the zone while a connection to any endpoint is opened."""
    acquire = context.pool.acquire

    async def evacuate_then_acquire(
        record: EndpointRecord, *, fresh: bool
    ) -> EndpointChannel:
        channel = await acquire(record, fresh=fresh)
        if is_due is None or is_due():
            evacuate(context)
        return channel

    monkeypatch.setattr(context.pool, 'acquire', evacuate_then_acquire)


async def ask_all(entry: TestEntry) -> None:
    for number in range(REQUESTS):
        assert is_answered(await entry.ask(Id=f'q{number}'))


async def test_evacuated_zone_gets_no_requests_until_it_is_restored() -> None:
    """Guards against requests to a zone that an operator is emptying."""
    kept, emptied = plain('e1', 'a'), plain('e2', ZONE)
    async with running_entry(SAFE, kept, emptied) as entry:
        evacuate(entry.context)
        await ask_all(entry)
        assert not emptied.requests
        evacuate(entry.context, revision=FIRST + 1, is_evacuated=False)
        await asyncio.gather(ask_all(entry), ask_all(entry))
    assert emptied.requests


async def test_request_is_not_sent_if_the_zone_is_evacuated_meanwhile(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that is sent on a connection just opened."""
    emptied = [plain(f'e{number}', ZONE) for number in range(3)]
    async with running_entry(SAFE, plain('e9', 'a'), *emptied) as entry:
        evacuate_on_connect(entry.context, monkeypatch)
        await ask_all(entry)
    assert not any(one.requests for one in emptied)


def engines_in_two_zones() -> list[Engine]:
    fleet = engines(ANSWER)
    for engine in fleet[1:]:
        engine.zone = ZONE
    return fleet


async def test_no_reservation_is_made_in_an_evacuated_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory reserved at helpers that are being emptied."""
    fleet = engines_in_two_zones()
    async with running_entry(STREAM, *fleet) as entry:
        evacuate_on_connect(entry.context, monkeypatch)
        answer = await entry.ask(Prompt=HUGE)
        await asyncio.sleep(0.1)
    assert answer.startswith(b'HTTP/1.1 503')
    assert not any(engine.requests for engine in fleet[1:])


async def test_helper_in_an_evacuated_zone_is_sent_no_part(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a prompt whose parts go to an evacuated helper.

    The zone is evacuated after the helpers have reserved memory.
    """
    fleet = engines_in_two_zones()
    async with running_entry(STREAM, *fleet) as entry:
        evacuate_on_connect(
            entry.context,
            monkeypatch,
            lambda: any(engine.orders for engine in fleet),
        )
        await entry.ask(Prompt=HUGE)
        await asyncio.sleep(0.1)
        failures = entry.context.dispatcher.failures
        now = entry.context.clock.monotonic()
        assert not failures.endpoints_to_report(now)
    assert any(engine.orders for engine in fleet)
    sent = [one for engine in fleet for one in engine.requests]
    assert all(one['line'].startswith('POST /order') for one in sent)
    for engine in fleet:
        assert not engine.orders or engine.orders[-1] == 'release'


async def test_running_request_completes_and_keeps_its_memory() -> None:
    """Guards against requests that an evacuation cuts or starves."""
    has_begun, may_end = asyncio.Event(), asyncio.Event()

    async def long_answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head() + chunk(event(0)))
        has_begun.set()
        while not may_end.is_set():
            await asyncio.sleep(0.1)
            writer.write(chunk(event(1)))
        writer.write(LAST_CHUNK)

    fleet = engines(long_answer)
    async with running_entry(STREAM, *fleet) as entry:
        asking = asyncio.create_task(entry.ask(Prompt=HUGE))
        await has_begun.wait()
        evacuate(entry.context, 'a')
        running = entry.context.running
        assert running.in_evacuated_zones() == {'a': 1}
        assert b'zone="a"} 1.0' in entry.context.metrics.render()
        await asyncio.sleep(RENEW_SECONDS * 1.2)
        may_end.set()
        answer = await asking
        await asyncio.sleep(0.1)
        assert running.in_evacuated_zones() == {'a': 0}
    assert answer.endswith(LAST_CHUNK)
    orders = {tuple(engine.orders) for engine in fleet if engine.orders}
    assert orders == {('reserve', 'reserve', 'release')}


@pytest.mark.parametrize('served', [SAFE, CHAT])
async def test_requests_are_refused_at_once_if_all_zones_are_evacuated(
    served,
) -> None:
    """Guards against callers that wait for a zone or retry at once."""
    fleet = (plain('e1', 'a'), plain('e2', ZONE))
    async with running_entry(served, *fleet) as entry:
        evacuate(entry.context, 'a')
        evacuate(entry.context)
        async with asyncio.timeout(REFUSAL_SECONDS):
            answer = await entry.ask(Prompt='5000', Patience='9')
    assert answer.startswith(b'HTTP/1.1 503')
    assert answer.endswith(b'zone_evacuated')
    assert retry_after(answer) > RETRY_AFTER_SECONDS
    assert not any(one.requests for one in fleet)


async def test_entry_without_the_platform_learns_of_it_from_a_peer() -> None:
    """Guards against a partitioned entry that sends to an evacuated zone."""
    made = entries(2)
    async with running(made) as (first, second):
        feed = second.context.keeper.feed
        assert isinstance(feed, QueueFeed)
        feed.is_unreachable = True
        for revision, is_evacuated in ((5, True), (6, False)):
            change = EvacuationChanged(ZONE, Revision(revision), is_evacuated)
            queued_changes_of(first).put_nowait(change)
            async with asyncio.timeout(2):
                while (
                    ZONE in second.context.keeper.evacuation.zones
                ) != is_evacuated:
                    await asyncio.sleep(0.01)


async def test_evacuation_reaches_the_entries_of_other_cells(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a cell without the platform that sends to the zone."""
    monkeypatch.setattr(members, 'LARGEST_CELL', 3)
    made = entries(4, 'ab')
    async with running(made):
        evacuate(made[0].context)
        async with asyncio.timeout(3):
            while not all(
                ZONE in one.context.keeper.evacuation.zones for one in made
            ):
                await asyncio.sleep(0.01)


async def test_new_entry_learns_of_an_old_evacuation_from_a_peer() -> None:
    """Guards against a new entry whose first list is out of date."""
    first, second = entries(2)
    first.start_tasks()
    evacuate(first.context, revision=50)
    await asyncio.sleep(0.1)
    second.start_tasks()
    try:
        async with asyncio.timeout(5):
            while ZONE not in second.context.keeper.evacuation.zones:
                await asyncio.sleep(0.01)
    finally:
        await asyncio.gather(first.close(), second.close())


class ListedFeed(QueueFeed):
    """A platform that lists evacuated zones.

    Attributes
    ----------
    failure
        Raised by the next watch, after which the keeper lists again.
    """

    failure: PlatformError = HistoryLostError('no history')

    def list(self, *zones: str, revision: int, epoch: int = 1) -> None:
        """Set the next list."""
        self.fixed = msgspec.structs.replace(
            self.fixed,
            revision=Revision(revision),
            epoch=Epoch(epoch),
            evacuations=tuple(
                EvacuationChanged(ZoneId(zone), Revision(revision), True)
                for zone in zones
            ),
        )

    async def changes(
        self,
        after: Revision,
        wait_seconds: float,
    ) -> ChangeBatch:
        raise self.failure


async def listed_keeper() -> tuple[FleetKeeper, ListedFeed, ManualClock]:
    """Return a keeper whose first list has an evacuated zone."""
    feed = ListedFeed(await listed_snapshot())
    feed.list(ZONE, revision=5)
    clock = ManualClock()
    keeper = FleetKeeper(feed, clock)
    await keeper.read_once()
    assert keeper.evacuation.zones == {ZONE}
    return keeper, feed, clock


async def listed_snapshot() -> FleetSnapshot:
    return await snapshot_of(SAFE, (plain('e1', 'a'),))


async def list_again(keeper: FleetKeeper) -> None:
    await keeper.read_once()
    await keeper.read_once()


async def test_outage_of_the_platform_keeps_the_state() -> None:
    """Guards against requests to an evacuated zone during an outage."""
    keeper, feed, _ = await listed_keeper()
    feed.failure = PlatformError('no answer')
    await keeper.read_once()
    assert keeper.evacuation.zones == {ZONE}


async def test_removal_during_an_outage_is_found_in_the_next_list() -> None:
    """Guards against a zone that stays out of use after an outage."""
    keeper, feed, _ = await listed_keeper()
    feed.list(revision=9)
    await list_again(keeper)
    assert not keeper.evacuation.zones


async def test_restored_copy_restores_no_zone_before_it_settles() -> None:
    """Guards against a zone in use because a copy has lost the item."""
    keeper, feed, clock = await listed_keeper()
    feed.list(revision=3, epoch=2)
    await list_again(keeper)
    assert keeper.evacuation.zones == {ZONE}
    clock.advance(SETTLE_SECONDS)
    await list_again(keeper)
    assert not keeper.evacuation.zones
