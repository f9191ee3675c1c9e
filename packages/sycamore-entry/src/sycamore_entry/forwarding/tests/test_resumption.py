"""Streams that have begun and are resumed at another engine."""

import asyncio

import pytest
from sycamore_core.decisions.direct import Assignment
from sycamore_core.ids import EndpointId, RequestId
from sycamore_core.routing import RouteKind

from .builders import (
    COSTS,
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    Script,
    TestEntry,
    chunk,
    event,
    route,
    running_entry,
    stream_head,
)

STREAM = route(RouteKind.RESUMABLE_STREAM, MODEL)
#: Longer than an engine may pause in a stream, in seconds.
PAUSE_SECONDS = 1.3
#: Longer than a request that may be refused waits for a slot, in seconds.
BUSY_SECONDS = 0.4
SHORT_PROMPT = '4000'


async def pause_in_answer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(stream_head() + chunk(event(0)))
    await asyncio.sleep(PAUSE_SECONDS)
    writer.write(chunk(event(1)) + LAST_CHUNK)


async def break_off(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(stream_head() + chunk(event(0)))
    await asyncio.sleep(0.1)
    writer.transport.abort()
    raise ConnectionError


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


@pytest.mark.parametrize('script', [pause_in_answer, break_off])
async def test_stream_that_has_begun_is_not_cut_while_engines_are_full(
    script: Script,
) -> None:
    """Guards against a begun stream that ends for want of a free slot."""
    first = RawEndpoint('e1', script)
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
    first = RawEndpoint('e1', pause_in_answer)
    other = RawEndpoint('e2', resume)
    async with running_entry(STREAM, first, other) as entry:
        fill(entry, 'e2')
        answer = await entry.ask(Prompt=SHORT_PROMPT)
    assert answer.endswith(LAST_CHUNK)
    assert not other.requests
