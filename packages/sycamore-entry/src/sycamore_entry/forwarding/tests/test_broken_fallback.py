"""Streams that were given up and whose connection breaks meanwhile."""

import asyncio

from sycamore_core.decisions.direct import RetryBudgetLimit

from ..socket_state import reset_at_close
from .builders import (
    LAST_CHUNK,
    MODEL,
    Script,
    chunk,
    event,
    full_answer,
    reply_with,
    stream_head,
)
from .builders_broken import UNFRAMED_HEAD
from .builders_ended import StartedEndpoint, one_event
from .builders_fallback import (
    SOON_SECONDS,
    begun_stream,
    engine_pair,
    is_rest_whole,
    read_rest,
    wait_until,
)
from .test_given_up import limit_retries
from .test_resumption import empty, fill

#: One for the pause, one for the rejection.
RETRIES = 2
#: An entry that is alone may hold two retries, and gets no more in the test.
BOUNDS = RetryBudgetLimit(ratio=0, slack=4.2, window=200)
REJECT = reply_with(full_answer('', 503, 'Not-Run: 1\r\n'))
RESUME = reply_with(stream_head() + chunk(event(1) + event(2)) + LAST_CHUNK)


async def reject_late(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Reject a request after a while."""
    await asyncio.sleep(SOON_SECONDS)
    await REJECT(reader, writer)


def unframed_event(is_over: asyncio.Event) -> Script:
    """Return a script that sends one event, and resets once it is over."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b''.join((UNFRAMED_HEAD, event(0).encode())))
        await is_over.wait()
        reset_at_close(writer.get_extra_info('socket'))
        raise ConnectionError

    return script


async def test_broken_fallback_does_not_replace_the_wait_for_a_slot() -> None:
    """Guards against a cut of a stream that has a retry and only lacks a slot.

    Going on at an engine that has crashed would need yet another retry.
    """
    fleet = engine_pair(one_event, reject_late)
    full = StartedEndpoint('e3', RESUME)
    async with begun_stream(*fleet, full) as (entry, reader):
        limit_retries(entry, MODEL, BOUNDS, RETRIES)
        requests = fill(entry, 'e3')
        await wait_until(lambda: bool(fleet[1].requests))
        fleet[0].reset()
        await asyncio.sleep(2 * SOON_SECONDS)
        empty(entry, 'e3', requests)
        assert is_rest_whole(await read_rest(reader))
    assert full.requests[0]['after'] == '0'


async def test_reset_fallback_without_a_length_replaces_no_wait() -> None:
    """Guards against a reset that counts as the end of the kept stream."""
    is_over = asyncio.Event()
    fleet = engine_pair(unframed_event(is_over), reject_late)
    full = StartedEndpoint('e3', RESUME)
    async with begun_stream(*fleet, full) as (entry, reader):
        limit_retries(entry, MODEL, BOUNDS, RETRIES)
        requests = fill(entry, 'e3')
        await wait_until(lambda: bool(fleet[1].requests))
        is_over.set()
        await asyncio.sleep(2 * SOON_SECONDS)
        empty(entry, 'e3', requests)
        assert is_rest_whole(await read_rest(reader))
    assert full.requests[0]['after'] == '0'
