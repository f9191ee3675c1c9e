"""Reports of requests that were read whole and have no complete answer."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from sycamore_core.routing import RouteKind

from ..endpoints.relay import AnswerRelay
from .builders import (
    HOST,
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    TestEntry,
    chunk,
    event,
    reply_with,
    request_bytes,
    route,
    running_entry,
    stream_head,
)
from .builders_ended import one_event

STREAM = route(RouteKind.STREAM, MODEL)


@contextlib.asynccontextmanager
async def reading_caller() -> AsyncIterator[
    tuple[TestEntry, asyncio.StreamReader, asyncio.StreamWriter]
]:
    """Run an entry whose caller has received the first event of a stream."""
    async with running_entry(STREAM, RawEndpoint('e1', one_event)) as entry:
        reader, writer = await asyncio.open_connection(HOST, entry.port)
        writer.write(request_bytes())
        await reader.readuntil(event(0).encode())
        yield entry, reader, writer
        writer.close()


async def counts_of(entry: TestEntry) -> dict[str, int]:
    """Return the counts by reason once the exchanges have ended."""
    while entry.connections.tasks:
        await asyncio.sleep(0.01)
    outcomes = entry.context.metrics.outcomes
    return dict(outcomes.unanswered.counts)


async def test_caller_that_left_is_told_apart_from_forced_stop() -> None:
    """Guards against a log in which a forced stop looks like a caller's end."""
    async with reading_caller() as (entry, _, writer):
        writer.close()
        assert await counts_of(entry) == {'caller_left': 1}
    async with reading_caller() as (entry, reader, _):
        for task in tuple(entry.connections.tasks):
            task.cancel()
        assert not (await reader.read()).endswith(LAST_CHUNK)
        assert await counts_of(entry) == {'forced_stop': 1}


async def test_answer_that_a_defect_ended_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that ends unanswered without a reason."""
    whole = RawEndpoint(
        'e1', reply_with(stream_head(), chunk(event(0)), LAST_CHUNK)
    )
    monkeypatch.setattr(AnswerRelay, '_finish', None)
    async with running_entry(STREAM, whole) as entry:
        assert not (await entry.ask()).endswith(LAST_CHUNK)
        assert await counts_of(entry) == {'defect': 1}
