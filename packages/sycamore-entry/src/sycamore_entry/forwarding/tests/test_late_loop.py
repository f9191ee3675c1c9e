"""Endpoints that answer while the event loop of the entry is late.

What they have sent lies in the socket when the checks for silence run.
"""

import asyncio

import pytest
from sycamore_core.ids import EndpointId, PeerId
from sycamore_core.routing import RouteKind

from ..endpoints.unread_bytes import UnreadBytes
from .builders import (
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    Script,
    chunk,
    event,
    full_answer,
    never_reply,
    reply_with,
    route,
    running_entry,
    stream_head,
)
from .builders_ended import CHAT, asked, first_asked
from .builders_silence import (
    SteadyStream,
    ThreadedEndpoint,
    block_loop,
    block_loop_after_request,
    entry_of_threads,
    is_whole,
    patient,
    report_end,
)
from .test_patience import LONG_STREAM, MEDIUM_PROMPT

#: Time for which the event loop is blocked, in seconds. It is longer than the
#: permitted silence of streams and short requests.
BLOCK_SECONDS = 1.2
#: Time from the request to the answer of a late endpoint, in seconds. The event
#: loop of the entry is blocked then.
ANSWER_SECONDS = 0.5
EVENTS = 40
#: Size of an answer that takes several turns of the event loop to read, and is
#: forwarded only once it is complete.
BODY_BYTES = 120_000
STREAM = patient(CHAT, 6)
PEERS = tuple(PeerId(name) for name in ('entry-7', 'entry-8'))


def requests_of(fleet: list[ThreadedEndpoint]) -> int:
    return sum(len(one.requests) for one in fleet)


class LateAnswer:
    """Sends the head and the body of an answer, each after some seconds."""

    def __init__(self, head_delay: float, body_delay: float) -> None:
        self.delays = (head_delay, body_delay)

    async def __call__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head, end, body = full_answer('x' * BODY_BYTES).partition(b'\r\n\r\n')
        for part, delay in zip((head + end, body), self.delays, strict=True):
            await asyncio.sleep(delay)
            writer.write(part)


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


@pytest.mark.parametrize(
    'script',
    [
        LateAnswer(ANSWER_SECONDS, 0),
        # The body comes after the event loop has read the head.
        LateAnswer(ANSWER_SECONDS, BLOCK_SECONDS),
        # The head comes before the event loop is blocked.
        LateAnswer(0, ANSWER_SECONDS),
    ],
    ids=['whole', 'head', 'body'],
)
async def test_late_event_loop_does_not_end_a_call(script: Script) -> None:
    """Guards against a call that runs twice though its answer had arrived."""
    served = route(RouteKind.SAFE)
    async with (
        entry_of_threads(served, script) as (entry, fleet),
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


class HalfRead:
    """A connection whose bytes lie unread, or not."""

    def __init__(self, *, has_unread_bytes: bool) -> None:
        self.has_unread_bytes = has_unread_bytes
        self.is_complete = False


def test_unread_bytes_speak_for_an_endpoint_for_some_checks() -> None:
    """Guards against a silent endpoint that has sent a part of a line."""
    unread = UnreadBytes()
    channel = HalfRead(has_unread_bytes=True)
    assert [unread.check(channel) for _ in range(4)] == [
        True,
        True,
        True,
        False,
    ]
    channel.has_unread_bytes = False
    assert not unread.check(channel)
    channel.has_unread_bytes = True
    assert unread.check(channel)
    channel.is_complete = True
    assert all(unread.check(channel) for _ in range(4))


async def test_doubtful_end_does_not_end_a_stream_with_unread_events() -> None:
    """Guards against a stream that ends as its events wait for a late loop."""
    async with (
        entry_of_threads(STREAM, SteadyStream(EVENTS)) as (entry, fleet),
        asked(entry, Prompt='4000') as answer,
    ):
        await block_loop_after_request(fleet, 0.2, 2 * ANSWER_SECONDS)
        report_end(entry, next(one for one in fleet if one.requests))
        text = await answer
    assert text.count(b'data') == EVENTS
    assert requests_of(fleet) == 1


@pytest.mark.parametrize('kind', [RouteKind.STREAM, RouteKind.RESUMABLE_STREAM])
async def test_lost_connection_does_not_end_a_stream_with_unread_events(
    kind: RouteKind,
) -> None:
    """Guards against cut streams as an endpoint gives up one long request.

    That connection breaks in the turn in which a late event loop goes on, so
    that nothing was heard of the endpoint for a while.
    """
    served = patient(route(kind, MODEL), 6)
    async with (
        entry_of_threads(served, SteadyStream(EVENTS)) as (entry, fleet),
        asked(entry, Prompt='4000') as answer,
    ):
        await block_loop_after_request(fleet, 0.2, BLOCK_SECONDS)
        busy = next(one for one in fleet if one.requests)
        keeper = entry.context.keeper
        record = keeper.directory.find(EndpointId(busy.name))
        keeper.ended.record_lost_connection(record.lifetime)
        text = await answer
    assert text.count(b'data') == EVENTS
    assert text.endswith(LAST_CHUNK)
    assert requests_of(fleet) == 1


async def half_a_line(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Begin a stream, and hang within the length of its second chunk."""
    writer.write(b''.join((stream_head(), chunk(event(0)), b'1')))
    await never_reply(reader, writer)


async def test_half_a_line_does_not_keep_a_stream_at_its_endpoint() -> None:
    """Guards against waiting for the rest of a line that lies unread."""
    rest = reply_with(stream_head(), chunk(event(1)), LAST_CHUNK)
    fleet = [RawEndpoint(name, rest) for name in ('e1', 'e2')]
    async with running_entry(STREAM, *fleet) as entry:
        for endpoint in fleet:
            endpoint.talk = half_a_line
        async with asked(entry, Prompt='4000') as answer:
            first = await first_asked(fleet)
            for endpoint in fleet:
                if endpoint is not first:
                    endpoint.talk = rest
            text = await answer
    assert is_whole(text)
