"""Backoff that endpoints request with a refusal."""

import asyncio

import pytest
from sycamore_core.ids import EndpointId
from sycamore_core.routing import RouteKind

from ..process import ForwardingProcess
from .builders import (
    MODEL,
    SERVICE,
    RawEndpoint,
    Script,
    TestEntry,
    full_answer,
    reply_with,
    route,
    running_entry,
    snapshot_of,
)
from .builders_answers import (
    LONG_BACKOFF,
    backing_off,
    is_answered,
    refusal,
    refuse_all,
    reply_in_sequence,
    retry_after,
)
from .builders_crash import callers_of
from .builders_engines import ANSWER, HUGE, STREAM, engines
from .builders_mesh import entries, running

SAFE = route(RouteKind.SAFE, time_limit=60)
CHAT = route(RouteKind.RESUMABLE_STREAM, MODEL)
REQUEST_COUNT = 8
SHORT_BACKOFF = 0.4


def healthy(name: str = 'e2', script: Script | None = None) -> RawEndpoint:
    return RawEndpoint(name, script or reply_with(full_answer()))


async def test_no_requests_are_sent_during_requested_backoff() -> None:
    """Guards against more load on a full endpoint because it looks idle."""
    full = backing_off()
    async with running_entry(SAFE, full, healthy()) as entry:
        for number in range(REQUEST_COUNT):
            assert is_answered(await entry.ask(Id=f'q{number}'))
    assert len(full.requests) <= 1


async def test_no_streams_are_sent_to_engine_during_requested_backoff() -> None:
    """Guards against repeated refusals of short requests."""
    full = backing_off()
    async with running_entry(CHAT, full, healthy(script=ANSWER)) as entry:
        for number in range(REQUEST_COUNT):
            answer = await entry.ask(Id=f'q{number}', Prompt='5000')
            assert is_answered(answer)
    assert len(full.requests) <= 1


async def test_backoff_in_answer_to_order_is_applied() -> None:
    """Guards against losing a backoff from an answer to an order."""
    fleet = engines(ANSWER, refuse_all(LONG_BACKOFF))
    async with running_entry(STREAM, *fleet) as entry:
        await entry.ask(Prompt=HUGE)
        ordered = [engine for engine in fleet if engine.orders]
        before = sum(reserve_orders(engine.orders) for engine in ordered)
        await entry.ask(Prompt=HUGE)
        after = sum(reserve_orders(engine.orders) for engine in ordered)
    assert ordered
    assert after == before


def reserve_orders(orders: list[str]) -> int:
    return orders.count('reserve')


async def test_request_is_refused_if_all_endpoints_back_off() -> None:
    """Guards against attempts that are known to be refused."""
    fleet = (backing_off('e1', LONG_BACKOFF), backing_off('e2', 2))
    async with running_entry(SAFE, *fleet) as entry:
        await entry.ask(Patience='60')
        answer = await entry.ask(Patience='60')
    assert [len(endpoint.requests) for endpoint in fleet] == [1, 1]
    assert retry_after(answer) == pytest.approx(2, rel=0.4)


async def test_retry_after_covers_backoff_of_refusing_endpoint() -> None:
    """Guards against callers that retry while all endpoints back off."""
    async with running_entry(SAFE, backing_off(seconds=2)) as entry:
        answer = await entry.ask(Patience='60')
    assert retry_after(answer) == pytest.approx(2, rel=0.4)


async def test_endpoint_is_used_again_after_backoff() -> None:
    """Guards against an endpoint that is never used again after a refusal."""
    script = reply_in_sequence(
        refusal(SHORT_BACKOFF), full_answer(), full_answer()
    )
    async with running_entry(SAFE, RawEndpoint('e1', script)) as entry:
        assert not is_answered(await entry.ask())
        assert not is_answered(await entry.ask())
        await asyncio.sleep(SHORT_BACKOFF)
        assert is_answered(await entry.ask())
        assert is_answered(await entry.ask())


async def test_single_request_is_sent_first_after_backoff() -> None:
    """Guards against a burst of requests at the end of a backoff."""
    full = backing_off(seconds=SHORT_BACKOFF)
    async with running_entry(SAFE, full) as entry:
        await entry.ask()
        await asyncio.sleep(SHORT_BACKOFF)
        asked = [entry.ask(Id=f'q{number}') for number in range(REQUEST_COUNT)]
        await asyncio.gather(*asked)
    assert len(full.requests) == 2


async def test_backoff_applies_to_requests_that_wait_for_connection() -> None:
    """Guards against sending requests that were placed before a backoff."""
    full = backing_off()
    async with running_entry(SAFE, full) as entry:
        delay_connections(entry)
        asked = [entry.ask(Id=f'q{number}') for number in range(REQUEST_COUNT)]
        answers = await asyncio.gather(*asked)
    assert len(full.requests) == 1
    assert not any(map(is_answered, answers))


def delay_connections(entry: TestEntry) -> None:
    """Delay each connection after the first for longer than an answer."""
    pool = entry.context.pool
    acquire = pool.acquire
    delays = iter((0, *((0.2,) * REQUEST_COUNT)))

    async def acquire_delayed(record, *, fresh):
        await asyncio.sleep(next(delays))
        return await acquire(record, fresh=fresh)

    pool.acquire = acquire_delayed


async def test_backoff_applies_only_to_entry_that_received_it() -> None:
    """Guards against a fleet that leaves and rejoins an endpoint together.

    An endpoint requests a backoff from each entry that it refuses.
    """
    full = backing_off()
    listed = await snapshot_of(SAFE, (full,))
    async with running(entries(2, snapshot=listed)) as (first, second):
        async with callers_of(first) as one, callers_of(second) as other:
            await one.ask()
            await wait_for_update(first, second)
            await other.ask()
    assert len(full.requests) == 2


async def wait_for_update(
    first: ForwardingProcess, second: ForwardingProcess
) -> None:
    """Wait until the second entry has received an update of the first."""
    received_at = second.context.last_peer_message_at
    first.context.dispatcher.send_update_now(EndpointId('e1'))
    while second.context.last_peer_message_at == received_at:
        await asyncio.sleep(0.01)


async def test_failed_replica_is_used_again_if_others_back_off() -> None:
    """Guards against losing a request although a replica is available."""
    script = reply_in_sequence(full_answer('', 500), full_answer())
    failing = RawEndpoint('e1', script)
    full = backing_off('e2')
    async with running_entry(SAFE, failing, full) as entry:
        dispatcher = entry.context.dispatcher
        now = entry.context.clock.monotonic()
        dispatcher.backoffs.record_request(
            full.record(SERVICE).lifetime, LONG_BACKOFF, now
        )
        assert is_answered(await entry.ask())
    assert len(failing.requests) == 2
    assert not full.requests
