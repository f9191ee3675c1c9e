"""Endpoints whose answers report that they leave get no more requests."""

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
    Script,
    chunk,
    event,
    full_answer,
    reply_with,
    route,
    running_entry,
    snapshot_of,
)
from .builders_crash import callers_of
from .builders_engines import ANSWER, HUGE, STREAM, engines
from .builders_mesh import entries, running

SAFE = route(RouteKind.SAFE)
CHAT = route(RouteKind.RESUMABLE_STREAM, MODEL)
LEAVING = 'Leaving: 1\r\n'
REQUESTS = 8
ANSWERS = MappingProxyType(
    {
        'success': reply_with(full_answer(extra=LEAVING)),
        'failure': reply_with(full_answer('', 500, LEAVING)),
        'refusal': reply_with(full_answer('', 503, f'Not-Run: 1\r\n{LEAVING}')),
    }
)
LEAVING_STREAM = reply_with(
    b'HTTP/1.1 200 OK\r\nSigned: yes\r\nLeaving: 1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n',
    chunk(event(0)),
    LAST_CHUNK,
)


def plain(name: str, script: Script | None = None) -> RawEndpoint:
    return RawEndpoint(name, script or reply_with(full_answer()))


@pytest.mark.parametrize('kind', ANSWERS)
async def test_endpoint_that_reports_leaving_gets_no_more_requests(
    kind: str,
) -> None:
    """Guards against requests that are lost when their endpoint exits."""
    leaving_endpoint = plain('e1', ANSWERS[kind])
    async with running_entry(SAFE, leaving_endpoint, plain('e2')) as entry:
        for number in range(REQUESTS):
            answer = await entry.ask(Id=f'q{number}')
            assert answer.startswith(b'HTTP/1.1 200')
    assert len(leaving_endpoint.requests) <= 1


async def test_engine_that_reports_leaving_gets_no_more_streams() -> None:
    """Guards against streams that break when their engine exits."""
    leaving_endpoint = plain('e1', LEAVING_STREAM)
    async with running_entry(
        CHAT,
        leaving_endpoint,
        plain('e2', ANSWER),
    ) as entry:
        for number in range(REQUESTS):
            await entry.ask(Id=f'q{number}', Prompt='5000')
    assert len(leaving_endpoint.requests) <= 1


async def test_leaving_in_the_answer_to_an_order_is_applied() -> None:
    """Guards against reports that are lost in the answers to orders.

    Of such an answer, the caller of the order reads only the status.
    """
    fleet = engines(ANSWER, reply_with(full_answer('{}', extra=LEAVING)))
    async with running_entry(STREAM, *fleet) as entry:
        await entry.ask(Prompt=HUGE)
        usable = entry.context.keeper.directory.usable(MODEL)
    ordered = {engine.name for engine in fleet if engine.orders}
    assert ordered
    assert not ordered & {record.endpoint for record in usable}


async def test_callers_are_refused_at_once_if_all_endpoints_leave() -> None:
    """Guards against requests to leaving endpoints if there are no others."""
    leaving_endpoint = plain('e1', ANSWERS['success'])
    async with running_entry(SAFE, leaving_endpoint) as entry:
        await entry.ask()
        answer = await entry.ask()
    assert len(leaving_endpoint.requests) == 1
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in answer


async def test_leaving_is_reported_to_other_entries() -> None:
    """Guards against one lost request per entry at a leaving endpoint."""
    leaving_endpoint = plain('e1', ANSWERS['success'])
    snapshot = await snapshot_of(SAFE, (leaving_endpoint,))
    async with running(entries(2, snapshot=snapshot)) as (first, second):
        async with callers_of(first) as caller:
            await caller.ask()
        directory = second.context.keeper.directory
        async with asyncio.timeout(5):
            while directory.usable(SERVICE):
                await asyncio.sleep(0.01)


async def test_new_entry_is_sent_endpoints_that_began_to_leave_long_ago(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a new entry that uses a leaving endpoint.

    The entry starts while the platform does not yet show that it leaves.
    """
    monkeypatch.setattr(leaving, 'LEAVING_SECONDS', 0)
    endpoint = plain('e1')
    snapshot = await snapshot_of(SAFE, (endpoint,))
    first, second = entries(2, snapshot=snapshot)
    first.start_tasks()
    while not first.context.keeper.is_ready:
        await asyncio.sleep(0.01)
    first.context.keeper.leaving.mark_leaving(endpoint.record(SERVICE).lifetime)
    second.start_tasks()
    keeper = second.context.keeper
    try:
        async with asyncio.timeout(5):
            while not keeper.is_ready or keeper.directory.usable(SERVICE):
                await asyncio.sleep(0.01)
    finally:
        await asyncio.gather(first.close(), second.close())


async def test_answer_of_another_instance_does_not_mark_the_endpoint() -> None:
    """Guards against reports of another process at the same address."""
    endpoint = plain('e1', reply_with(full_answer('', 421, LEAVING)))
    async with running_entry(SAFE, endpoint) as entry:
        await entry.ask()
        usable = entry.context.keeper.directory.usable(SERVICE)
    assert len(usable) == 1
