"""Answers whose status HTTP does not define, and interim answers."""

import asyncio

import msgspec
import pytest
from sycamore_core.routing import Route, RouteKind

from .builders import (
    LAST_CHUNK,
    MODEL,
    PAUSE_SECONDS,
    RawEndpoint,
    chunk,
    event,
    full_answer,
    reply_with,
    route,
    running_entry,
    stream_head,
)
from .builders_answers import reply_in_sequence
from .builders_broken import (
    ODD_STATUSES,
    answer_with_status,
    forwarded,
    is_own_failure,
)
from .builders_engines import ANSWER, HUGE, STREAM, engines

SAFE = route(RouteKind.SAFE)
UNSAFE = route(RouteKind.UNSAFE)
RESUMABLE = route(RouteKind.RESUMABLE_STREAM, MODEL)
ROUTES = (SAFE, UNSAFE, route(RouteKind.STREAM, MODEL), RESUMABLE)
SIGNED = 'Signed: yes'
#: Reports of an endpoint about itself.
REPORTS = ('Limit: 0', 'Leaving: 1', 'Rest: 30')
SOUND = full_answer('sound')


@pytest.mark.parametrize('status', ODD_STATUSES)
@pytest.mark.parametrize('framing', ['length', 'chunks', 'close', 'empty'])
@pytest.mark.parametrize('lines', [(), (SIGNED,)], ids=['unsigned', 'signed'])
async def test_status_beyond_http_is_no_answer(
    status: str, framing: str, lines: tuple[str, ...]
) -> None:
    """Guards against a status that no client knows, or a refusal as not run."""
    broken = answer_with_status(status, framing, *lines)
    assert is_own_failure(await forwarded(UNSAFE, broken))


@pytest.mark.parametrize('served', ROUTES, ids=lambda one: one.kind.value)
@pytest.mark.parametrize('status', ODD_STATUSES)
async def test_status_beyond_http_is_no_answer_on_any_route(
    served: Route, status: str
) -> None:
    """Guards against a broken answer that only some kinds of route refuse."""
    broken = answer_with_status(status, 'length', SIGNED)
    assert is_own_failure(await forwarded(served, broken))


@pytest.mark.parametrize('status', ODD_STATUSES)
async def test_other_endpoint_answers_in_place_of_odd_status(
    status: str,
) -> None:
    """Guards against a caller that pays for an endpoint in trouble."""
    broken = answer_with_status(status, 'length', SIGNED)
    fleet = (
        RawEndpoint('e1', reply_with(broken)),
        RawEndpoint('e2', reply_with(SOUND)),
    )
    async with running_entry(SAFE, *fleet) as entry:
        answers = [await entry.ask() for _ in range(3)]
    assert all(answer.endswith(b'sound') for answer in answers)


@pytest.mark.parametrize('status', ODD_STATUSES)
async def test_unsafe_request_runs_once_beside_an_odd_status(
    status: str,
) -> None:
    """Guards against a second run of a request that may have run."""
    broken = reply_with(answer_with_status(status, 'length', SIGNED))
    fleet = [RawEndpoint(name, broken) for name in ('e1', 'e2')]
    async with running_entry(UNSAFE, *fleet) as entry:
        assert is_own_failure(await entry.ask())
    assert sum(len(endpoint.requests) for endpoint in fleet) == 1


@pytest.mark.parametrize('report', REPORTS)
@pytest.mark.parametrize('status', ODD_STATUSES)
async def test_report_of_no_answer_is_not_applied(
    status: str, report: str
) -> None:
    """Guards against an endpoint that is left for what no answer said."""
    script = reply_in_sequence(
        answer_with_status(status, 'length', SIGNED, report), SOUND
    )
    async with running_entry(UNSAFE, RawEndpoint('e1', script)) as entry:
        assert is_own_failure(await entry.ask())
        assert (await entry.ask()).endswith(b'sound')


async def test_report_in_no_answer_to_an_order_is_not_applied() -> None:
    """Guards against an engine that is left for what no answer said."""
    broken = answer_with_status('000', 'length', SIGNED, 'Leaving: 1')
    fleet = engines(ANSWER, reply_with(broken))
    async with running_entry(STREAM, *fleet) as entry:
        refusal = await entry.ask(Prompt=HUGE)
        assert not entry.context.keeper.leaving.all_known()
    assert any(engine.orders for engine in fleet)
    assert not refusal.startswith(b'HTTP/1.1 200 ')


async def test_stream_is_resumed_after_an_odd_status() -> None:
    """Guards against the end of a stream for an endpoint in trouble."""
    script = reply_in_sequence(
        b''.join((stream_head(), chunk(event(0)), b'no chunk\r\n')),
        answer_with_status('000', 'length', SIGNED),
        b''.join((stream_head(), chunk(event(1)), LAST_CHUNK)),
    )
    served = msgspec.structs.replace(RESUMABLE, max_attempts=3)
    fleet = [RawEndpoint(name, script) for name in ('e1', 'e2', 'e3')]
    async with running_entry(served, *fleet) as entry:
        answer = await entry.ask(Prompt='1000')
    assert answer.count(b'HTTP/1.1') == 1
    assert b'id: 1\n' in answer
    assert answer.endswith(LAST_CHUNK)


@pytest.mark.parametrize('status', [299, 399, 499, 599])
async def test_unusual_status_of_http_is_forwarded(status: int) -> None:
    """Guards against a sound answer that is taken for a broken one."""
    answer = await forwarded(UNSAFE, full_answer('sound', status))
    assert answer.startswith(f'HTTP/1.1 {status} '.encode())
    assert answer.endswith(b'sound')


@pytest.mark.parametrize('served', ROUTES, ids=lambda one: one.kind.value)
@pytest.mark.parametrize('status', [100, 103])
async def test_interim_answer_is_not_the_answer(
    served: Route, status: int
) -> None:
    """Guards against a caller that gets the status of an interim answer."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(f'HTTP/1.1 {status} Wait\r\n{SIGNED}\r\n\r\n'.encode())
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(full_answer('sound', 404))

    async with running_entry(served, RawEndpoint('e1', script)) as entry:
        answer = await entry.ask(Prompt='1000')
    assert answer.startswith(b'HTTP/1.1 404 ')
    assert answer.endswith(b'sound')
