"""Streams that go on at a paused engine, as the next one gives no event."""

import asyncio

import pytest

from ..fleet.feed import EndpointChanged
from ..placement.rejection import RejectionPolicy
from .builders import (
    LAST_CHUNK,
    MODEL,
    Script,
    chunk,
    event,
    full_answer,
    never_reply,
    reply_with,
    stream_head,
)
from .builders_ended import StartedEndpoint, apply, newer_start, one_event
from .builders_fallback import (
    GO_ON,
    PAUSE_SECONDS,
    SOON_SECONDS,
    begun_stream,
    crash,
    engine_pair,
    is_rest_whole,
    pause_before,
    read_rest,
    refuse_connections,
    wait_until,
)
from .builders_overload import captured_lines
from .builders_silence import report_end
from .test_given_up import ONE_RETRY, limit_retries
from .test_resumption import empty, fill

REJECT = reply_with(full_answer('', 503, 'Not-Run: 1\r\n'))
#: Half an event and its other half.
HALF, OTHER_HALF = event(1)[:9], event(1)[9:]


async def resume_slowly(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send the first event of a resumption, and the rest after a while."""
    writer.write(stream_head() + chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(2 * SOON_SECONDS)
    writer.write(chunk(event(2)) + LAST_CHUNK)


async def break_within_event(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send half an event of a resumption, and reset the connection."""
    writer.write(stream_head() + chunk(HALF))
    await writer.drain()
    await crash(reader, writer)


async def test_stream_goes_on_as_the_next_engine_refuses_connections() -> None:
    """Guards against a cut although the first engine was only paused."""
    fleet = engine_pair(GO_ON, never_reply)
    lines: list[dict[str, object]] = []
    with captured_lines('stream_kept_as_fallback', lines):
        async with begun_stream(*fleet) as (entry, reader):
            refuse_connections(fleet[1])
            assert is_rest_whole(await read_rest(reader))
            outcomes = entry.context.metrics.outcomes
            counts = outcomes.resumed_fallbacks.counts
            assert dict(counts) == {'endpoint_refused': 1}
    assert [line['endpoint'] for line in lines] == ['e1']
    assert len(fleet[0].requests) == 1


@pytest.mark.parametrize('script', [crash, break_within_event])
async def test_stream_goes_on_as_the_next_engine_crashes(
    script: Script,
) -> None:
    """Guards against a cut, and against half an event of another engine.

    The first engine has sent the rest by then.
    """
    fleet = engine_pair(GO_ON, script)
    async with begun_stream(*fleet) as (_, reader):
        assert is_rest_whole(await read_rest(reader))
    assert len(fleet[1].requests) == 1


async def test_stream_goes_on_as_it_is_rejected_without_a_retry() -> None:
    """Guards against a cut because the only retry has been used."""
    fleet = engine_pair(GO_ON, REJECT)
    async with begun_stream(*fleet) as (entry, reader):
        limit_retries(entry, MODEL, ONE_RETRY, 1)
        assert is_rest_whole(await read_rest(reader))
    assert len(fleet[1].requests) == 1


async def test_first_engine_is_left_at_the_first_event_of_the_next() -> None:
    """Guards against an engine that works on for nobody, and repeated events.

    Both engines would send the same events.
    """
    fleet = engine_pair(GO_ON, resume_slowly)
    async with begun_stream(*fleet) as (_, reader):
        await wait_until(lambda: bool(fleet[1].requests))
        received = await reader.readuntil(b'piece 1\n\n')
        await wait_until(lambda: fleet[0].closed == 1, SOON_SECONDS)
        assert is_rest_whole(received + await read_rest(reader))
    assert fleet[1].requests[0]['after'] == '0'


async def test_both_engines_are_left_as_the_caller_leaves() -> None:
    """Guards against engines that work on for a caller that has left."""
    fleet = engine_pair(one_event, never_reply)
    async with begun_stream(*fleet):
        await wait_until(lambda: bool(fleet[1].requests))
        await asyncio.sleep(SOON_SECONDS)
        assert [one.closed for one in fleet] == [0, 0]
    await wait_until(lambda: [one.closed for one in fleet] == [1, 1], 0.3)


async def test_half_an_event_is_completed() -> None:
    """Guards against losing bytes that were read before the interruption."""
    rest = chunk(OTHER_HALF + event(2)) + LAST_CHUNK
    fleet = engine_pair(pause_before(rest, chunk(HALF)), never_reply)
    async with begun_stream(*fleet) as (_, reader):
        refuse_connections(fleet[1])
        assert is_rest_whole(await read_rest(reader))


async def test_stream_does_not_wait_for_a_slot_beside_its_fallback(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stream that waits although its first engine goes on.

    No time is reserved for the return of its caller, who stays.
    """
    returns: list[object] = []

    def schedule(*arguments: object) -> None:
        returns.append(arguments)

    monkeypatch.setattr(RejectionPolicy, 'schedule_return', schedule)
    fleet = engine_pair(GO_ON, never_reply)
    full = StartedEndpoint('e3', never_reply)
    async with begun_stream(*fleet, full) as (entry, reader):
        requests = fill(entry, 'e3')
        refuse_connections(fleet[1])
        async with asyncio.timeout(PAUSE_SECONDS + SOON_SECONDS):
            assert is_rest_whole(await read_rest(reader))
        empty(entry, 'e3', requests)
    assert not full.requests
    assert not returns


async def test_resumed_fallback_moves_once_a_slot_is_free() -> None:
    """Guards against a stream that stays at an engine that does not go on."""
    fleet = engine_pair(one_event, never_reply)
    other = StartedEndpoint('e3', resume_slowly)
    async with begun_stream(*fleet, other) as (entry, reader):
        requests = fill(entry, 'e3')
        refuse_connections(fleet[1])
        await asyncio.sleep(PAUSE_SECONDS)
        empty(entry, 'e3', requests)
        assert is_rest_whole(await read_rest(reader))
    assert other.requests[0]['after'] == '0'
    assert fleet[0].closed == 1


async def test_stream_goes_on_after_doubtful_evidence_of_an_end() -> None:
    """Guards against a cut because a peer has lost its path to an engine."""
    fleet = engine_pair(GO_ON, never_reply)
    async with begun_stream(*fleet) as (entry, reader):
        refuse_connections(fleet[1])
        report_end(entry, fleet[0])
        assert is_rest_whole(await read_rest(reader))


async def test_fallback_whose_engine_has_ended_is_not_resumed() -> None:
    """Guards against a stream that waits for an engine that is gone."""
    fleet = engine_pair(one_event, crash)
    async with begun_stream(*fleet) as (entry, reader):
        await wait_until(lambda: bool(fleet[1].requests))
        record = newer_start(fleet[0].record(MODEL))
        apply(entry, EndpointChanged(record))
        async with asyncio.timeout(PAUSE_SECONDS):
            rest = await read_rest(reader)
    assert not rest.endswith(LAST_CHUNK)


async def test_fallback_counts_as_load_of_its_engine() -> None:
    """Guards against requests that are sent to an engine as if it were free."""
    fleet = engine_pair(one_event, never_reply)
    async with begun_stream(*fleet) as (entry, _):
        await wait_until(lambda: bool(fleet[1].requests))
        own = entry.context.dispatcher.loads.own
        assert {name: len(work.assignments) for name, work in own.items()} == {
            'e1': 1,
            'e2': 1,
        }


async def test_completed_fallback_is_not_suspected_of_a_crash() -> None:
    """Guards against blaming a request that its engine has answered."""
    fleet = engine_pair(GO_ON, never_reply)
    async with begun_stream(*fleet) as (entry, reader):
        refuse_connections(fleet[1])
        assert is_rest_whole(await read_rest(reader))
        record = entry.context.keeper.directory.find(fleet[0].name)
        abandoned = entry.context.suspects.quarantine.abandoned
        now = entry.context.clock.monotonic()
        assert not abandoned.has_any(record.lifetime, now)
