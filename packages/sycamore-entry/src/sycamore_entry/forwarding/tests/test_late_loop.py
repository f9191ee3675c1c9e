"""Endpoints that answer while the event loop of the entry is late.

What they have sent lies in the socket when the checks for silence run.
"""

import asyncio

import pytest
from sycamore_core.ids import EndpointId, PeerId
from sycamore_core.routing import RouteKind

from .builders import LAST_CHUNK, Script, full_answer, route
from .builders_ended import CHAT, asked
from .builders_silence import (
    SteadyStream,
    ThreadedEndpoint,
    block_loop,
    block_loop_after_request,
    entry_of_threads,
    patient,
)
from .test_patience import LONG_STREAM, MEDIUM_PROMPT

#: Time for which the event loop is blocked, in seconds. It is longer than the
#: permitted silence of streams and short requests.
BLOCK_SECONDS = 1.2
#: Time from the request to the answer of a late endpoint, in seconds. The event
#: loop of the entry is blocked then.
ANSWER_SECONDS = 0.5
EVENTS = 40
#: Size of an answer that takes several turns of the event loop to read.
BODY_BYTES = 400_000
STREAM = patient(CHAT, 6)
PEERS = tuple(PeerId(name) for name in ('entry-7', 'entry-8'))


def requests_of(fleet: list[ThreadedEndpoint]) -> int:
    return sum(len(one.requests) for one in fleet)


async def answer_late(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(ANSWER_SECONDS)
    writer.write(full_answer('x' * BODY_BYTES))


@pytest.mark.parametrize(
    'script',
    [
        SteadyStream(EVENTS),
        SteadyStream(EVENTS, delay=ANSWER_SECONDS),
    ],
    ids=['begun', 'first-event'],
)
async def test_late_event_loop_does_not_end_a_stream(script: Script) -> None:
    """Guards against a stream that moves as nobody read what it has sent."""
    async with (
        entry_of_threads(STREAM, script) as (entry, fleet),
        asked(entry, Prompt='4000') as answer,
    ):
        await block_loop_after_request(fleet, 0.2, BLOCK_SECONDS)
        text = await answer
    assert text.count(b'data') == EVENTS
    assert text.endswith(LAST_CHUNK)
    assert requests_of(fleet) == 1


async def test_late_event_loop_does_not_end_a_call() -> None:
    """Guards against a call that runs twice though its answer had arrived."""
    served = route(RouteKind.SAFE)
    async with (
        entry_of_threads(served, answer_late) as (entry, fleet),
        asked(entry) as answer,
    ):
        await block_loop_after_request(fleet, 0.2, BLOCK_SECONDS)
        text = await answer
    assert text.startswith(b'HTTP/1.1 200')
    assert text.count(b'x') >= BODY_BYTES
    assert requests_of(fleet) == 1


async def test_late_event_loop_does_not_move_a_long_prompt_early() -> None:
    """Guards against moving a long prompt whose first event lies unread."""
    script = SteadyStream(EVENTS, delay=ANSWER_SECONDS)
    async with (
        entry_of_threads(LONG_STREAM, script) as (entry, fleet),
        asked(entry, Prompt=MEDIUM_PROMPT) as answer,
    ):
        while not requests_of(fleet):
            await asyncio.sleep(0.005)
        reports = entry.context.keeper.ended.peer_failures
        now = entry.context.clock.monotonic()
        busy = next(one for one in fleet if one.requests)
        for peer in PEERS:
            reports.record(peer, [EndpointId(busy.name)], now)
        block_loop(2 * ANSWER_SECONDS)
        text = await answer
    assert text.count(b'data') == EVENTS
    assert text.endswith(LAST_CHUNK)
    assert requests_of(fleet) == 1
