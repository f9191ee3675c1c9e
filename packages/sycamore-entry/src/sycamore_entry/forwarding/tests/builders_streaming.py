"""A stream that goes on while the event loop of the entry is held up."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from sycamore_core.routing import EndpointRecord, RouteKind

from .builders import (
    LAST_CHUNK,
    MODEL,
    TestEntry,
    chunk,
    event,
    route,
    running_entry,
    stream_head,
)
from .builders_ended import StartedEndpoint
from .builders_late import other_loop, run_elsewhere

SERVED = route(RouteKind.RESUMABLE_STREAM, MODEL, time_limit=12)
EVENTS = 50
EVENT_SECONDS = 0.1
#: Time for which the entry has read the stream, in seconds.
BEGUN_SECONDS = 0.4


async def send_events(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send an event at a time."""
    writer.write(stream_head())
    for number in range(EVENTS):
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(LAST_CHUNK)


@contextlib.asynccontextmanager
async def streaming_elsewhere() -> AsyncIterator[
    tuple[TestEntry, EndpointRecord]
]:
    """Run an entry that reads a stream; its endpoint has a loop of its own."""
    endpoint = StartedEndpoint('e1', send_events)
    with other_loop() as loop:
        run_elsewhere(loop, endpoint)
        async with running_entry(SERVED, endpoint) as entry:
            expiring = asyncio.create_task(entry.context.keeper.expire())
            asking = asyncio.create_task(entry.ask())
            while not endpoint.requests:
                await asyncio.sleep(0.01)
            await asyncio.sleep(BEGUN_SECONDS)
            yield entry, endpoint.record(MODEL)
            expiring.cancel()
            asking.cancel()
