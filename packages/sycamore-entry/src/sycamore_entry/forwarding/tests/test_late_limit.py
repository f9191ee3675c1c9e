"""Answers that lie ready as the time limit of their request ends late.

The event loop of the entry is blocked across the limit. What its endpoint has
sent meanwhile is unread as the timer fires.
"""

import asyncio
from unittest.mock import patch

import pytest
from sycamore_core.routing import RouteKind

from .builders import (
    LAST_CHUNK,
    RawEndpoint,
    Script,
    full_answer,
    never_reply,
    reply_with,
    route,
    running_entry,
)
from .builders_ended import CHAT, asked
from .builders_silence import (
    SteadyStream,
    ThreadedEndpoint,
    block_loop,
    block_loop_after_request,
    entry_of_threads,
    patient,
)

LIMIT_SECONDS = 1.0
#: Time from the request to its answer, in seconds.
ANSWER_SECONDS = 0.4
#: Time from the request until the event loop is blocked, and for which it is,
#: in seconds.
BLOCKED_AFTER_SECONDS = 0.2
BLOCK_SECONDS = 1.3
#: Time after the end of a block by which a request is over, in seconds.
GRANT_SECONDS = 1.0
EVENTS = 8
STREAM = patient(CHAT, LIMIT_SECONDS)
#: Size of an answer that takes many turns of the event loop to read.
LONG_BODY_BYTES = 1_000_000


class DelayedAnswer:
    """Answers each request after a while."""

    def __init__(self, seconds: float, *parts: bytes) -> None:
        self.seconds = seconds
        self.reply = reply_with(*parts)

    async def __call__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(self.seconds)
        await self.reply(reader, writer)


async def blocked_answer(
    kind: RouteKind, script: Script
) -> tuple[bytes, list[ThreadedEndpoint]]:
    """Return the answer to a request across whose limit the loop is blocked."""
    served = STREAM
    if not kind.is_stream:
        served = route(kind, time_limit=LIMIT_SECONDS)
    async with (
        entry_of_threads(served, script) as (entry, fleet),
        asked(entry, Prompt='4000') as answer,
    ):
        await block_loop_after_request(
            fleet, BLOCKED_AFTER_SECONDS, BLOCK_SECONDS
        )
        async with asyncio.timeout(GRANT_SECONDS):
            return await answer, fleet


@pytest.mark.parametrize('kind', [RouteKind.SAFE, RouteKind.UNSAFE])
async def test_ready_answer_is_delivered(kind: RouteKind) -> None:
    """Guards against a 504 although the complete answer lies in the socket."""
    script = DelayedAnswer(ANSWER_SECONDS, full_answer())
    text, _ = await blocked_answer(kind, script)
    assert text.startswith(b'HTTP/1.1 200')
    assert text.endswith(b'done')


async def test_long_ready_answer_is_delivered() -> None:
    """Guards against an answer whose reading takes many turns of the loop."""
    body = 'x' * LONG_BODY_BYTES
    script = DelayedAnswer(ANSWER_SECONDS, full_answer(body))
    text, _ = await blocked_answer(RouteKind.UNSAFE, script)
    assert text.startswith(b'HTTP/1.1 200')
    assert text.count(b'x') >= LONG_BODY_BYTES


@pytest.mark.parametrize('delay', [0, ANSWER_SECONDS])
async def test_ready_stream_is_not_cut(delay: float) -> None:
    """Guards against a cut stream whose last events lie in the socket."""
    script = SteadyStream(EVENTS, delay=delay)
    text, _ = await blocked_answer(RouteKind.RESUMABLE_STREAM, script)
    assert text.count(b'data') == EVENTS
    assert text.endswith(LAST_CHUNK)


async def test_ready_failure_is_relayed() -> None:
    """Guards against a 504 in place of what the endpoint has answered."""
    script = DelayedAnswer(ANSWER_SECONDS, full_answer('no', 500))
    text, fleet = await blocked_answer(RouteKind.SAFE, script)
    assert text.startswith(b'HTTP/1.1 500')
    assert sum(len(one.requests) for one in fleet) == 1


async def test_request_without_an_answer_ends_after_a_block() -> None:
    """Guards against a late limit that waits for a silent endpoint."""
    text, _ = await blocked_answer(RouteKind.UNSAFE, never_reply)
    assert text.startswith(b'HTTP/1.1 504')


async def test_stream_that_goes_on_is_cut_after_a_block() -> None:
    """Guards against a late limit that lets a stream go on."""
    script = SteadyStream(1000)
    text, _ = await blocked_answer(RouteKind.RESUMABLE_STREAM, script)
    assert text.count(b'data') > 1
    assert not text.endswith(LAST_CHUNK)


async def test_no_attempt_begins_after_a_late_limit() -> None:
    """Guards against another attempt past the deadline of the caller."""
    script = DelayedAnswer(
        ANSWER_SECONDS, full_answer('', 503, 'Not-Run: 1\r\n')
    )
    text, fleet = await blocked_answer(RouteKind.SAFE, script)
    assert text.startswith(b'HTTP/1.1 503')
    assert sum(len(one.requests) for one in fleet) == 1


async def test_connection_made_past_the_limit_sends_nothing() -> None:
    """Guards against a request that is sent once its caller has given up."""
    served = route(RouteKind.UNSAFE, time_limit=LIMIT_SECONDS)
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    async with running_entry(served, endpoint) as entry:
        pool = entry.context.pool
        acquire = pool.acquire

        async def acquire_late(*arguments, **options):
            channel = await acquire(*arguments, **options)
            block_loop(BLOCK_SECONDS)
            return channel

        with patch.object(pool, 'acquire', acquire_late):
            text = await entry.ask()
    assert text.startswith(b'HTTP/1.1 503')
    assert text.endswith(b'time_limit')
    assert endpoint.requests == []
