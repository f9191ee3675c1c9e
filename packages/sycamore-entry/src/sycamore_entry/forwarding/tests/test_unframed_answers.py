"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio

import pytest
from sycamore_core.routing import RouteKind

from .builders import (
    MODEL,
    RawEndpoint,
    Script,
    event,
    route,
    running_entry,
)
from .builders_broken import UNFRAMED_HEAD, unframed

SAFE = route(RouteKind.SAFE)
STREAM = route(RouteKind.RESUMABLE_STREAM, MODEL)
UNSAFE_STREAM = route(RouteKind.STREAM, MODEL)
HEAD = b'HTTP/1.1 200 OK\r\nSigned: yes\r\n'
STREAM_HEAD = b'%sContent-Type: text/event-stream\r\n\r\n' % HEAD
#: End of an answer in chunks, as entries send streams.
LAST_CHUNK = b'0\r\n\r\n'


def events(*numbers: int) -> bytes:
    return ''.join(map(event, numbers)).encode()


def in_turn(first: Script, second: Script) -> list[RawEndpoint]:
    """Return endpoints of which the first one asked runs the first script."""
    asked: list[str] = []

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        asked.append('')
        chosen = first if len(asked) == 1 else second
        await chosen(reader, writer)

    return [RawEndpoint(name, script) for name in ('e1', 'e2')]


async def test_answer_that_ends_with_its_connection_is_complete() -> None:
    endpoint = RawEndpoint('e1', unframed(UNFRAMED_HEAD, b'half', b' whole'))
    async with running_entry(SAFE, endpoint) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 200')
    assert answer.endswith(b'half whole')


async def test_stream_that_ends_with_its_connection_is_complete() -> None:
    endpoint = RawEndpoint('e1', unframed(STREAM_HEAD, events(0), events(1)))
    async with running_entry(STREAM, endpoint) as entry:
        answer = await entry.ask(Prompt='1000')
    assert answer.endswith(LAST_CHUNK)
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize(
    'broken',
    [
        unframed(STREAM_HEAD, events(0), b'id: 1\nda'),
        unframed(STREAM_HEAD, events(0), is_reset=True),
        unframed(STREAM_HEAD, events(0), b'id: 1\nda', is_reset=True),
    ],
    ids=['within an event', 'reset', 'reset within an event'],
)
async def test_stream_without_an_orderly_end_is_resumed(
    broken: Script,
) -> None:
    """Guards against half a stream that looks complete."""
    fleet = in_turn(broken, unframed(STREAM_HEAD, events(1, 2)))
    async with running_entry(STREAM, *fleet) as entry:
        answer = await entry.ask(Prompt='1000')
    requests = [one for endpoint in fleet for one in endpoint.requests]
    assert sorted(one['after'] for one in requests) == ['', '0']
    assert answer.count(b'id: 1\n') == 1
    assert answer.endswith(LAST_CHUNK)


@pytest.mark.parametrize('is_reset', [False, True])
async def test_stream_that_cannot_be_resumed_looks_cut(is_reset: bool) -> None:
    """Guards against half a stream that looks complete to its caller."""
    broken = unframed(STREAM_HEAD, events(0), b'id: 1\nda', is_reset=is_reset)
    endpoint = RawEndpoint('e1', broken)
    async with running_entry(UNSAFE_STREAM, endpoint) as entry:
        answer = await entry.ask(Prompt='1000')
    assert b'id: 0\n' in answer
    assert not answer.endswith(LAST_CHUNK)
    assert len(endpoint.requests) == 1


async def test_reset_answer_without_a_length_is_not_forwarded() -> None:
    """Guards against half an answer that looks complete to its caller."""
    broken = unframed(UNFRAMED_HEAD, b'half', is_reset=True)
    fleet = in_turn(broken, unframed(UNFRAMED_HEAD, b'whole'))
    async with running_entry(SAFE, *fleet) as entry:
        answer = await entry.ask()
    assert answer.endswith(b'whole')
    assert b'half' not in answer
