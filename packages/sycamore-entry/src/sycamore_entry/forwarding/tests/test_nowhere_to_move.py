"""Silent endpoints of requests that no other endpoint accepts."""

import asyncio

from sycamore_core.routing import RouteKind

from .builders import (
    RawEndpoint,
    full_answer,
    route,
    running_entry,
)
from .builders_ended import CHAT, asked, first_asked
from .builders_silence import PausingEndpoint, is_whole, patient, report_end

STREAM = patient(CHAT, 6)


async def answer_late(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(1.4)
    writer.write(full_answer())


async def test_stream_stays_if_no_other_endpoint_accepts_it() -> None:
    """Guards against cutting a stream that pauses at the only endpoint."""
    endpoint = PausingEndpoint('e1')
    async with running_entry(STREAM, endpoint) as entry:
        answer = await entry.ask(Prompt='4000')
    assert is_whole(answer)


async def test_doubtful_end_of_the_only_endpoint_ends_no_stream() -> None:
    """Guards against cutting a stream for an end that one peer reports."""
    endpoint = PausingEndpoint('e1')
    async with running_entry(STREAM, endpoint) as entry:
        async with asked(entry, Prompt='4000') as answer:
            await first_asked([endpoint])
            await asyncio.sleep(0.2)
            report_end(entry, endpoint)
            text = await answer
    assert is_whole(text)


async def test_call_stays_if_no_other_endpoint_accepts_it() -> None:
    """Guards against a 502 just before the answer of the only endpoint."""
    endpoint = RawEndpoint('e1', answer_late)
    async with running_entry(route(RouteKind.SAFE), endpoint) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 200')
