"""The time at which a stopping entry has ended its connections."""

import asyncio
import time

from sycamore_core.routing import RouteKind

from .builders import MODEL, RawEndpoint, chunk, event, route, stream_head
from .builders_process import STOP_SECONDS, running_process

EVENTS = 400
EVENT_SECONDS = 0.02
#: Time that a process on a small core takes to end after that, in seconds.
EXIT_SECONDS = 0.4
ENDED_SECONDS = STOP_SECONDS - EXIT_SECONDS


async def stream_on(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send events for longer than the entry takes to stop."""
    writer.write(stream_head())
    for number in range(EVENTS):
        writer.write(chunk(event(number)))
        await asyncio.sleep(EVENT_SECONDS)


async def test_stream_that_goes_on_does_not_delay_the_end_of_a_stop() -> None:
    """Guards against a process that is killed at the end of its grace."""
    served = route(RouteKind.STREAM, MODEL, time_limit=30)
    endpoint = RawEndpoint('e1', stream_on)
    async with running_process(served, endpoint) as entry:
        reader, _ = await entry.begin_request()
        began = time.monotonic()
        entry.stop()
        answer = await entry.answer_at_end(reader)
        seconds = time.monotonic() - began
    assert event(0).encode() in answer
    assert seconds < ENDED_SECONDS
