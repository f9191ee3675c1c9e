"""When a request is taken from an endpoint that sends nothing."""

import asyncio

import msgspec
import pytest
from sycamore_core.decisions.direct import AllowanceBounds, Assignment
from sycamore_core.ids import EndpointId, RequestId
from sycamore_core.routing import RouteKind

from .builders import (
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    TestEntry,
    chunk,
    entry_before,
    event,
    route,
    say_nothing,
    stream_head,
)

STREAM = route(RouteKind.RESUMABLE_STREAM, MODEL)
#: Its callers would wait for half a minute at an engine that never answers.
LONG_STREAM = msgspec.structs.replace(STREAM, objective=20, time_limit=60)
#: Tokens of a report and of an archive.
REPORT = '40000'
ARCHIVE = '100000'
#: Longer than a turn waits at an engine that may be left.
BUSY_SECONDS = 1.3
#: Longer than an archive of 100,000 tokens is expected to take, twice over.
FAR_SECONDS = 5.0


async def answer_late(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(BUSY_SECONDS)
    writer.write(stream_head() + chunk(event(0)) + LAST_CHUNK)


async def answer_late_by_far(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(FAR_SECONDS)
    writer.write(stream_head() + chunk(event(0)) + LAST_CHUNK)


async def answer_at_once(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(stream_head() + chunk(event(0)) + LAST_CHUNK)


def occupy(entry: TestEntry, name: str) -> None:
    """Have an engine read a long prompt of which the entry knows."""
    assignment = Assignment(read_ms=9000)
    request = RequestId(f'long at {name}')
    entry.context.dispatcher.begin(request, {EndpointId(name): assignment})


def free(entry: TestEntry, name: str) -> None:
    """Have an engine end the long prompt that it reads."""
    request = RequestId(f'long at {name}')
    entry.context.dispatcher.book.end(request, [EndpointId(name)])


async def test_turn_stays_where_all_engines_are_busy() -> None:
    """All engines read long prompts for a second, and guests send turns.

    Taken from one engine and given to the next, each turn would be read
    again and again, and the second would become ten.
    """
    one = RawEndpoint('e1', answer_late)
    two = RawEndpoint('e2', answer_late)
    async with entry_before(STREAM, one, two) as entry:
        occupy(entry, 'e1')
        occupy(entry, 'e2')
        answer = await entry.ask(Prompt='4000')
    assert answer.endswith(LAST_CHUNK)
    assert len(one.requests) + len(two.requests) == 1


async def test_turn_moves_to_an_engine_that_is_free() -> None:
    """An engine hangs, and another one beside it is idle."""
    hanging = RawEndpoint('e1', say_nothing)
    idle = RawEndpoint('e2', answer_at_once)
    async with entry_before(STREAM, hanging, idle) as entry:
        occupy(entry, 'e2')
        asking = asyncio.create_task(entry.ask(Prompt='4000'))
        while not hanging.requests:
            await asyncio.sleep(0.01)
        name = EndpointId('e2')
        dispatcher = entry.context.dispatcher
        dispatcher.book.end(RequestId('long at e2'), [name])
        answer = await asking
    assert answer.endswith(LAST_CHUNK)
    assert len(idle.requests) == 1


@pytest.mark.parametrize('is_alive', [True, False])
async def test_busy_engine_is_not_taken_for_a_faulty_one(
    is_alive: bool,
) -> None:
    """A turn is taken from an engine that gives others their events.

    Taken for faulty, it would be left by all, and the others would have to
    do its work as well.
    """
    busy = RawEndpoint('e1', say_nothing)
    idle = RawEndpoint('e2', answer_at_once)
    async with entry_before(STREAM, busy, idle) as entry:
        occupy(entry, 'e2')
        dispatcher = entry.context.dispatcher
        asking = asyncio.create_task(entry.ask(Prompt='4000'))
        while not busy.requests:
            await asyncio.sleep(0.01)
        if is_alive:
            dispatcher.sent_something(EndpointId('e1'))
        name = EndpointId('e2')
        dispatcher.book.end(RequestId('long at e2'), [name])
        await asking
    assert (EndpointId('e1') in dispatcher.failures.streaks) is not is_alive


async def test_turn_is_not_taken_away_where_no_repeat_is_left() -> None:
    """An engine is late, and the entry has used up its part of the repeats.

    Taken away all the same, the turn has nowhere to go: its caller is told
    that it failed, while the answer was about to come.
    """
    late = RawEndpoint('e1', answer_late)
    idle = RawEndpoint('e2', answer_at_once)
    async with entry_before(STREAM, late, idle) as entry:
        allowance = entry.context.allowance(MODEL)
        allowance.bounds = AllowanceBounds(ratio=0, slack=0)
        occupy(entry, 'e2')
        asking = asyncio.create_task(entry.ask(Prompt='4000'))
        while not late.requests:
            await asyncio.sleep(0.01)
        name = EndpointId('e2')
        entry.context.dispatcher.book.end(RequestId('long at e2'), [name])
        answer = await asking
    assert answer.endswith(LAST_CHUNK)
    assert not idle.requests


async def asked_while_other_reads(
    entry: TestEntry,
    taken: RawEndpoint,
    prompt: str,
) -> asyncio.Task[bytes]:
    """Ask while e2 reads a long prompt, until the other engine has it."""
    occupy(entry, 'e2')
    asking = asyncio.create_task(entry.ask(Prompt=prompt))
    while not taken.requests:
        await asyncio.sleep(0.01)
    return asking


async def test_report_leaves_an_engine_that_never_answers() -> None:
    """An engine takes requests and answers none, though it looks well.

    A report that was expected in half a second waits there for nearly half
    of its caller's time, while another engine would have read it long ago.
    """
    mute = RawEndpoint('e1', say_nothing)
    idle = RawEndpoint('e2', answer_at_once)
    async with entry_before(LONG_STREAM, mute, idle) as entry:
        asking = await asked_while_other_reads(entry, mute, REPORT)
        free(entry, 'e2')
        async with asyncio.timeout(15):
            answer = await asking
    assert answer.endswith(LAST_CHUNK)
    assert len(idle.requests) == 1


async def test_report_stays_behind_a_part_that_came_later() -> None:
    """A part of a longer prompt goes ahead of a report that is promised.

    Taken away, the report would be read twice, although its engine keeps the
    promise.
    """
    busy = RawEndpoint('e1', answer_late_by_far)
    idle = RawEndpoint('e2', answer_at_once)
    async with entry_before(LONG_STREAM, busy, idle) as entry:
        asking = await asked_while_other_reads(entry, busy, REPORT)
        part = Assignment(read_ms=9000, is_ahead=True, is_home=False)
        dispatcher = entry.context.dispatcher
        dispatcher.begin(RequestId('later'), {EndpointId('e1'): part})
        free(entry, 'e2')
        answer = await asking
    assert answer.endswith(LAST_CHUNK)
    assert not idle.requests


async def test_archive_is_not_read_twice_while_its_engine_may_answer() -> None:
    """Archives come together, and each is read later than was forecast.

    Read a second time elsewhere, each takes some seconds of engines from the
    others, which are late as well then.
    """
    busy = RawEndpoint('e1', answer_late_by_far)
    idle = RawEndpoint('e2', answer_at_once)
    async with entry_before(LONG_STREAM, busy, idle) as entry:
        asking = await asked_while_other_reads(entry, busy, ARCHIVE)
        free(entry, 'e2')
        answer = await asking
    assert answer.endswith(LAST_CHUNK)
    assert not idle.requests
