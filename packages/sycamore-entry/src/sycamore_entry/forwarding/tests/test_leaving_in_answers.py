"""Endpoints that say in their answers that they leave get nothing more."""

import asyncio
from types import MappingProxyType

import pytest
from sycamore_core.routing import RouteKind

from ..fleet import leaving
from .builders import (
    LAST_CHUNK,
    MODEL,
    SERVICE,
    RawEndpoint,
    Talk,
    chunk,
    entry_before,
    event,
    route,
    saying,
    snapshot_of,
    whole,
)
from .builders_crash import asked_at
from .builders_engines import ANSWER, HUGE, STREAM, engines
from .builders_mesh import entries, running

SAFE = route(RouteKind.SAFE)
CHAT = route(RouteKind.RESUMABLE_STREAM, MODEL)
LEAVING = 'Leaving: 1\r\n'
ASKED = 8
ANSWERS = MappingProxyType(
    {
        'success': saying(whole(extra=LEAVING)),
        'failure': saying(whole('', 500, LEAVING)),
        'refusal': saying(whole('', 503, f'Not-Run: 1\r\n{LEAVING}')),
    }
)
LEAVING_STREAM = saying(
    b'HTTP/1.1 200 OK\r\nSigned: yes\r\nLeaving: 1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n',
    chunk(event(0)),
    LAST_CHUNK,
)


def plain(name: str, talk: Talk | None = None) -> RawEndpoint:
    return RawEndpoint(name, talk or saying(whole()))


@pytest.mark.parametrize('kind', ANSWERS)
async def test_endpoint_that_says_it_leaves_gets_nothing_more(
    kind: str,
) -> None:
    """Guards against requests that are cut off when their endpoint ends."""
    ending = plain('e1', ANSWERS[kind])
    async with entry_before(SAFE, ending, plain('e2')) as entry:
        for number in range(ASKED):
            answer = await entry.ask(Id=f'q{number}')
            assert answer.startswith(b'HTTP/1.1 200')
    assert len(ending.requests) <= 1


async def test_engine_that_says_it_leaves_gets_no_more_streams() -> None:
    """Guards against streams that are cut off when their engine ends."""
    ending = plain('e1', LEAVING_STREAM)
    async with entry_before(CHAT, ending, plain('e2', ANSWER)) as entry:
        for number in range(ASKED):
            await entry.ask(Id=f'q{number}', Prompt='5000')
    assert len(ending.requests) <= 1


async def test_leaving_that_only_an_order_is_told_is_heard() -> None:
    """Guards against a word that is lost as an order's answer is a status."""
    fleet = engines(ANSWER, saying(whole('{}', extra=LEAVING)))
    async with entry_before(STREAM, *fleet) as entry:
        await entry.ask(Prompt=HUGE)
        usable = entry.context.keeper.directory.usable(MODEL)
    ordered = {engine.name for engine in fleet if engine.orders}
    assert ordered
    assert not ordered & {one.endpoint for one in usable}


async def test_callers_are_refused_at_once_where_all_endpoints_leave() -> None:
    """Guards against requests to endpoints that end, for want of others."""
    ending = plain('e1', ANSWERS['success'])
    async with entry_before(SAFE, ending) as entry:
        await entry.ask()
        answer = await entry.ask()
    assert len(ending.requests) == 1
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in answer


async def test_leaving_is_told_to_other_entries() -> None:
    """Guards against entries that each send once to an endpoint that ends."""
    ending = plain('e1', ANSWERS['success'])
    listed = await snapshot_of(SAFE, (ending,))
    async with running(entries(2, snapshot=listed)) as (first, second):
        async with asked_at(first) as caller:
            await caller.ask()
        directory = second.context.keeper.directory
        async with asyncio.timeout(5):
            while directory.usable(SERVICE):
                await asyncio.sleep(0.01)


async def test_newcomer_is_told_of_endpoints_that_said_so_long_ago(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry that starts while the platform is behind."""
    monkeypatch.setattr(leaving, 'LEAVING_SECONDS', 0)
    endpoint = plain('e1')
    listed = await snapshot_of(SAFE, (endpoint,))
    first, second = entries(2, snapshot=listed)
    first.start_tasks()
    while not first.context.keeper.is_ready:
        await asyncio.sleep(0.01)
    first.context.keeper.leaving.said(endpoint.record(SERVICE).lifetime)
    second.start_tasks()
    keeper = second.context.keeper
    try:
        async with asyncio.timeout(5):
            while not keeper.is_ready or keeper.directory.usable(SERVICE):
                await asyncio.sleep(0.01)
    finally:
        await asyncio.gather(first.close(), second.close())


async def test_answer_of_another_instance_tells_nothing_of_an_endpoint() -> (
    None
):
    """Guards against a word of whoever has an endpoint's address now."""
    endpoint = plain('e1', saying(whole('', 421, LEAVING)))
    async with entry_before(SAFE, endpoint) as entry:
        await entry.ask()
        usable = entry.context.keeper.directory.usable(SERVICE)
    assert len(usable) == 1
