"""Endpoints that ask for rest with a refusal get none of this entry's work."""

import asyncio

import pytest
from sycamore_core.ids import EndpointId
from sycamore_core.routing import RouteKind

from ..process import ForwardingProcess
from .builders import (
    MODEL,
    SERVICE,
    RawEndpoint,
    Talk,
    TestEntry,
    entry_before,
    route,
    saying,
    snapshot_of,
    whole,
)
from .builders_answers import in_turn, is_answered, retry_after
from .builders_crash import asked_at
from .builders_engines import ANSWER, HUGE, STREAM, engines
from .builders_mesh import entries, running

SAFE = route(RouteKind.SAFE, time_limit=60)
CHAT = route(RouteKind.RESUMABLE_STREAM, MODEL)
ASKED = 8
LONG_REST = 30
SHORT_REST = 0.4


def refusal(seconds: float) -> bytes:
    """Return an answer that asks for rest."""
    return whole('', 503, f'Not-Run: 1\r\nRest: {seconds}\r\n')


def refusing(seconds: float) -> Talk:
    """Return a script that asks for rest with each answer."""
    return saying(refusal(seconds))


def resting(name: str = 'e1', seconds: float = LONG_REST) -> RawEndpoint:
    return RawEndpoint(name, refusing(seconds))


def well(name: str = 'e2', talk: Talk | None = None) -> RawEndpoint:
    return RawEndpoint(name, talk or saying(whole()))


async def test_endpoint_that_asked_for_rest_gets_nothing_meanwhile() -> None:
    """Guards against a full endpoint that gets more as it looks idle."""
    full = resting()
    async with entry_before(SAFE, full, well()) as entry:
        for number in range(ASKED):
            assert is_answered(await entry.ask(Id=f'q{number}'))
    assert len(full.requests) <= 1


async def test_engine_that_asked_for_rest_gets_no_streams_meanwhile() -> None:
    """Guards against turns that are turned away again and again."""
    full = resting()
    async with entry_before(CHAT, full, well(talk=ANSWER)) as entry:
        for number in range(ASKED):
            answer = await entry.ask(Id=f'q{number}', Prompt='5000')
            assert is_answered(answer)
    assert len(full.requests) <= 1


async def test_rest_that_only_an_order_is_told_is_heard() -> None:
    """Guards against a rest that is lost as an order's answer is a status."""
    fleet = engines(ANSWER, refusing(LONG_REST))
    async with entry_before(STREAM, *fleet) as entry:
        await entry.ask(Prompt=HUGE)
        ordered = [engine for engine in fleet if engine.orders]
        before = sum(orders_taken(engine.orders) for engine in ordered)
        await entry.ask(Prompt=HUGE)
        after = sum(orders_taken(engine.orders) for engine in ordered)
    assert ordered
    assert after == before


def orders_taken(orders: list[str]) -> int:
    return orders.count('reserve')


async def test_callers_are_refused_at_once_where_all_endpoints_rest() -> None:
    """Guards against attempts that are known to be turned away."""
    fleet = (resting('e1', LONG_REST), resting('e2', 2))
    async with entry_before(SAFE, *fleet) as entry:
        await entry.ask(Patience='60')
        answer = await entry.ask(Patience='60')
    assert [len(endpoint.requests) for endpoint in fleet] == [1, 1]
    assert retry_after(answer) == pytest.approx(2, rel=0.4)


async def test_caller_is_told_the_rest_of_whoever_turned_it_away() -> None:
    """Guards against callers that come back while everybody rests."""
    async with entry_before(SAFE, resting(seconds=2)) as entry:
        answer = await entry.ask(Patience='60')
    assert retry_after(answer) == pytest.approx(2, rel=0.4)


async def test_endpoint_is_used_again_after_its_rest() -> None:
    """Guards against an endpoint that is lost once it was full."""
    talk = in_turn(refusal(SHORT_REST), whole(), whole())
    async with entry_before(SAFE, RawEndpoint('e1', talk)) as entry:
        assert not is_answered(await entry.ask())
        assert not is_answered(await entry.ask())
        await asyncio.sleep(SHORT_REST)
        assert is_answered(await entry.ask())
        assert is_answered(await entry.ask())


async def test_one_request_goes_first_after_a_rest() -> None:
    """Guards against a crowd that comes at the end of a rest."""
    full = resting(seconds=SHORT_REST)
    async with entry_before(SAFE, full) as entry:
        await entry.ask()
        await asyncio.sleep(SHORT_REST)
        asked = [entry.ask(Id=f'q{number}') for number in range(ASKED)]
        await asyncio.gather(*asked)
    assert len(full.requests) == 2


async def test_request_that_waits_to_be_sent_hears_of_a_rest() -> None:
    """Guards against requests placed before the word that arrive after it."""
    full = resting()
    async with entry_before(SAFE, full) as entry:
        slow_connections(entry)
        asked = [entry.ask(Id=f'q{number}') for number in range(ASKED)]
        answers = await asyncio.gather(*asked)
    assert len(full.requests) == 1
    assert not any(map(is_answered, answers))


def slow_connections(entry: TestEntry) -> None:
    """Let each connection but the first take longer than an answer."""
    pool = entry.context.pool
    take = pool.take
    taken = iter((0, *((0.2,) * ASKED)))

    async def take_slowly(record, *, fresh):
        await asyncio.sleep(next(taken))
        return await take(record, fresh=fresh)

    pool.take = take_slowly


async def test_rest_binds_the_entry_that_was_asked_alone() -> None:
    """Guards against a fleet that leaves an endpoint, and comes back, at once.

    An endpoint names a rest to each entry that it turns away.
    """
    full = resting()
    listed = await snapshot_of(SAFE, (full,))
    async with running(entries(2, snapshot=listed)) as (first, second):
        async with asked_at(first) as one, asked_at(second) as other:
            await one.ask()
            await told(first, second)
            await other.ask()
    assert len(full.requests) == 2


async def told(first: ForwardingProcess, second: ForwardingProcess) -> None:
    """Wait until one entry has told the other all that it has."""
    heard_at = second.context.peer_heard_at
    first.context.dispatcher.tell_at_once(EndpointId('e1'))
    while second.context.peer_heard_at == heard_at:
        await asyncio.sleep(0.01)


async def test_failed_replica_is_tried_again_where_all_others_rest() -> None:
    """Guards against a look-up that is lost though its replica lives."""
    talk = in_turn(whole('', 500), whole())
    failing = RawEndpoint('e1', talk)
    full = resting('e2')
    async with entry_before(SAFE, failing, full) as entry:
        dispatcher = entry.context.dispatcher
        now = entry.context.clock.monotonic()
        dispatcher.rests.said(full.record(SERVICE).lifetime, LONG_REST, now)
        assert is_answered(await entry.ask())
    assert len(failing.requests) == 2
    assert not full.requests
