"""Memory that is set aside is given back in every ending."""

import asyncio

import pytest

from ..endpoints.reservations import RENEW_SECONDS
from .builders import (
    HOST,
    LAST_CHUNK,
    MODEL,
    Talk,
    TestEntry,
    entry_before,
    request_bytes,
    say_nothing,
    saying,
    whole,
)
from .builders_engines import ANSWER, HUGE, STREAM, Engine, engines

REFUSED = saying(whole('', 409))


async def released(fleet: list[Engine]) -> None:
    """Wait until each engine that was asked to reserve was asked to release."""
    async with asyncio.timeout(5):
        while not all(balanced(one) for one in fleet):
            await asyncio.sleep(0.02)


def balanced(engine: Engine) -> bool:
    return not engine.orders or engine.orders[-1] == 'release'


def reserved(fleet: list[Engine]) -> int:
    return sum('reserve' in one.orders for one in fleet)


async def ask(entry: TestEntry) -> bytes:
    return await entry.ask(Prompt=HUGE)


async def test_after_the_answer() -> None:
    fleet = engines(ANSWER)
    async with entry_before(STREAM, *fleet) as entry:
        answer = await ask(entry)
        await released(fleet)
    assert answer.endswith(LAST_CHUNK)
    assert reserved(fleet)


async def test_after_a_broken_answer() -> None:
    """The engine that reads a whole archive dies before its first event.

    Memory that stayed set aside at the others would be lost to everybody
    until its lease ends.
    """
    fleet = engines(saying(close=True))
    async with entry_before(STREAM, *fleet) as entry:
        await ask(entry)
        await released(fleet)
    assert reserved(fleet)


async def test_after_the_caller_left() -> None:
    """The auditing committee closes the page while its archive is read."""
    fleet = engines(say_nothing)
    async with entry_before(STREAM, *fleet) as entry:
        _, writer = await asyncio.open_connection(HOST, entry.port)
        writer.write(request_bytes(Prompt=HUGE))
        while not reserved(fleet):
            await asyncio.sleep(0.02)
        writer.close()
        await released(fleet)


async def test_one_engine_refuses() -> None:
    """One of two engines has no memory; what the other one set aside goes."""
    fleet = engines(ANSWER)
    fleet[1].order = REFUSED
    fleet[2].order = REFUSED
    async with entry_before(STREAM, *fleet) as entry:
        await ask(entry)
        await released(fleet)


@pytest.mark.parametrize('order', [REFUSED, saying(close=True)])
async def test_no_engine_sets_memory_aside(order: Talk) -> None:
    """Nothing has run, and the caller is told so."""
    fleet = engines(ANSWER, order)
    async with entry_before(STREAM, *fleet) as entry:
        answer = await ask(entry)
        await released(fleet)
    assert answer.startswith(b'HTTP/1.1 503')


async def test_lease_is_renewed_while_the_request_runs() -> None:
    """An archive takes longer to read than a lease lasts.

    Cut off when its memory expires, it would be read for nothing.
    """

    async def slow(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(RENEW_SECONDS * 2.3)
        await ANSWER(reader, writer)

    fleet = engines(slow)
    async with entry_before(STREAM, *fleet) as entry:
        await ask(entry)
        await released(fleet)
    assert max(one.orders.count('reserve') for one in fleet) == 3


async def test_orders_count_against_the_rate_that_an_engine_names() -> None:
    """Guards against an engine in need that gets orders beside requests."""
    fleet = engines(ANSWER)
    async with entry_before(STREAM, *fleet) as entry:
        await ask(entry)
        await released(fleet)
        assert all(counted(entry, one) >= len(one.requests) for one in fleet)


def counted(entry: TestEntry, engine: Engine) -> int:
    """Return the sends to an engine that peers would be told of."""
    limits = entry.context.dispatcher.limits
    now = entry.context.clock.monotonic()
    record = engine.record(MODEL)
    limits.said(record.lifetime, 1, now)
    told = limits.reports({record.endpoint}, now)
    return sum(told[0].sends)
