"""Streams that have begun and are resumed at another engine."""

import asyncio
from collections.abc import Callable

import pytest
from sycamore_core.decisions.direct import Assignment
from sycamore_core.ids import EndpointId, RequestId
from sycamore_core.routing import RouteKind

from .builders import (
    COSTS,
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    TestEntry,
    chunk,
    event,
    route,
    running_entry,
    stream_head,
)
from .builders_silence import PAUSE_SECONDS, PausingEndpoint

STREAM = route(RouteKind.RESUMABLE_STREAM, MODEL)
#: Longer than a request that may be refused waits for a slot, in seconds.
BUSY_SECONDS = 0.4
SHORT_PROMPT = '4000'


async def break_off(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(stream_head() + chunk(event(0)))
    await asyncio.sleep(0.1)
    writer.transport.abort()
    raise ConnectionError


def breaking(name: str) -> RawEndpoint:
    """Return an endpoint that breaks off each stream."""
    return RawEndpoint(name, break_off)


async def resume(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(stream_head() + chunk(event(1)) + LAST_CHUNK)


def fill(entry: TestEntry, name: str) -> list[RequestId]:
    """Record requests in all slots of an engine; return them."""
    requests = [RequestId(f'{name} {slot}') for slot in range(COSTS.slots)]
    for request in requests:
        assignment = Assignment(read_ms=10)
        entry.context.dispatcher.begin(request, {EndpointId(name): assignment})
    return requests


def empty(entry: TestEntry, name: str, requests: list[RequestId]) -> None:
    """Record the ends of the requests at an engine."""
    for request in requests:
        entry.context.dispatcher.loads.end(request, [EndpointId(name)])


@pytest.mark.parametrize('first_endpoint', [PausingEndpoint, breaking])
async def test_stream_that_has_begun_is_not_cut_while_engines_are_full(
    first_endpoint: Callable[[str], RawEndpoint],
) -> None:
    """Guards against a begun stream that ends for want of a free slot."""
    first = first_endpoint('e1')
    async with running_entry(STREAM, first, RawEndpoint('e2', resume)) as entry:
        requests = fill(entry, 'e2')
        asking = asyncio.create_task(entry.ask(Prompt=SHORT_PROMPT))
        while not first.requests:
            await asyncio.sleep(0.01)
        await asyncio.sleep(PAUSE_SECONDS + BUSY_SECONDS)
        empty(entry, 'e2', requests)
        answer = await asking
    assert answer.endswith(LAST_CHUNK)
    assert event(1).encode() in answer


async def test_stream_stays_at_pausing_engine_while_others_are_full() -> None:
    """Guards against giving up a stream that no other engine can resume."""
    first = PausingEndpoint('e1')
    other = RawEndpoint('e2', resume)
    async with running_entry(STREAM, first, other) as entry:
        fill(entry, 'e2')
        answer = await entry.ask(Prompt=SHORT_PROMPT)
    assert answer.endswith(LAST_CHUNK)
    assert not other.requests


async def test_comment_does_not_hide_the_events_before_it() -> None:
    """Guards against events that a resumed stream repeats.

    An engine sends a comment as the last block before it breaks off.
    """

    async def comment_and_break_off(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        sent = ''.join((event(0), event(1), ': still here\n\n'))
        writer.write(stream_head() + chunk(sent))
        await asyncio.sleep(0.1)
        writer.transport.abort()
        raise ConnectionError

    async def begin_anew(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        sent = ''.join(map(event, range(3)))
        writer.write(stream_head() + chunk(sent) + LAST_CHUNK)

    first = RawEndpoint('e1', comment_and_break_off)
    second = RawEndpoint('e2', begin_anew)
    async with running_entry(STREAM, first, second) as entry:
        requests = fill(entry, 'e2')
        asking = asyncio.create_task(entry.ask(Prompt=SHORT_PROMPT))
        while not first.requests:
            await asyncio.sleep(0.01)
        empty(entry, 'e2', requests)
        answer = await asking
    for number in range(3):
        assert answer.count(event(number).encode()) == 1
