"""Reserved memory is released however the request ends."""

import asyncio

import pytest

from ..endpoints.reservations import RENEW_SECONDS
from .builders import (
    HOST,
    LAST_CHUNK,
    MODEL,
    Script,
    TestEntry,
    full_answer,
    never_reply,
    reply_with,
    request_bytes,
    running_entry,
)
from .builders_engines import ANSWER, HUGE, STREAM, Engine, engines

NO_MEMORY = reply_with(full_answer('', 409))


async def wait_released(fleet: list[Engine]) -> None:
    """Wait until each engine that got a reserve order got a release order."""
    async with asyncio.timeout(5):
        while not all(is_released(one) for one in fleet):
            await asyncio.sleep(0.02)


def is_released(engine: Engine) -> bool:
    return not engine.orders or engine.orders[-1] == 'release'


def reserve_count(fleet: list[Engine]) -> int:
    return sum('reserve' in one.orders for one in fleet)


async def ask(entry: TestEntry) -> bytes:
    return await entry.ask(Prompt=HUGE)


async def test_released_after_the_answer() -> None:
    fleet = engines(ANSWER)
    async with running_entry(STREAM, *fleet) as entry:
        answer = await ask(entry)
        await wait_released(fleet)
    assert answer.endswith(LAST_CHUNK)
    assert reserve_count(fleet)


async def test_released_after_a_broken_answer() -> None:
    """Guards against memory that stays reserved until its lease expires.

    The engine that serves a long prompt dies before its first event.
    """
    fleet = engines(reply_with(close=True))
    async with running_entry(STREAM, *fleet) as entry:
        await ask(entry)
        await wait_released(fleet)
    assert reserve_count(fleet)


async def test_released_after_the_caller_disconnects() -> None:
    """Guards against reserved memory of a request that has no caller."""
    fleet = engines(never_reply)
    async with running_entry(STREAM, *fleet) as entry:
        _, writer = await asyncio.open_connection(HOST, entry.port)
        writer.write(request_bytes(Prompt=HUGE))
        while not reserve_count(fleet):
            await asyncio.sleep(0.02)
        writer.close()
        await wait_released(fleet)


async def test_released_if_one_engine_refuses() -> None:
    """Guards against memory that one helper keeps if another refuses."""
    fleet = engines(ANSWER)
    fleet[1].order = NO_MEMORY
    fleet[2].order = NO_MEMORY
    async with running_entry(STREAM, *fleet) as entry:
        await ask(entry)
        await wait_released(fleet)


@pytest.mark.parametrize('order', [NO_MEMORY, reply_with(close=True)])
async def test_caller_is_refused_if_no_engine_reserves_memory(
    order: Script,
) -> None:
    """Guards against an answer that does not show that nothing has run."""
    fleet = engines(ANSWER, order)
    async with running_entry(STREAM, *fleet) as entry:
        answer = await ask(entry)
        await wait_released(fleet)
    assert answer.startswith(b'HTTP/1.1 503')


async def test_lease_is_renewed_while_the_request_runs() -> None:
    """Guards against a lease that expires while a long prompt is read.

    The request would be cancelled and the work on it lost.
    """

    async def slow(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(RENEW_SECONDS * 2.3)
        await ANSWER(reader, writer)

    fleet = engines(slow)
    async with running_entry(STREAM, *fleet) as entry:
        await ask(entry)
        await wait_released(fleet)
    assert max(one.orders.count('reserve') for one in fleet) == 3


async def test_orders_count_against_the_rate_limit_of_an_engine() -> None:
    """Guards against orders that exceed the rate limit of an engine."""
    fleet = engines(ANSWER)
    async with running_entry(STREAM, *fleet) as entry:
        await ask(entry)
        await wait_released(fleet)
        assert all(
            reported_sends(entry, one) >= len(one.requests) for one in fleet
        )


def reported_sends(entry: TestEntry, engine: Engine) -> int:
    """Return how many requests to an engine are reported to peers.

    The engine first states a rate limit, as no sends are reported without one.
    """
    limits = entry.context.dispatcher.limits
    now = entry.context.clock.monotonic()
    record = engine.record(MODEL)
    limits.said(record.lifetime, 1, now)
    reports = limits.reports({record.endpoint}, now)
    return sum(reports[0].sends)
