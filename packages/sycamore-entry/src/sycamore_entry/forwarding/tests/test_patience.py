"""Timeouts after which a request moves away from a silent endpoint."""

import asyncio

import msgspec
import pytest
from sycamore_core.decisions.direct import Assignment, RetryBudgetLimit
from sycamore_core.ids import EndpointId, RequestId
from sycamore_core.routing import RouteKind

from .builders import (
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    TestEntry,
    chunk,
    event,
    never_reply,
    route,
    running_entry,
    stream_head,
)

STREAM = route(RouteKind.RESUMABLE_STREAM, MODEL)
#: A stream whose callers would wait for half a minute at a silent engine.
LONG_STREAM = msgspec.structs.replace(STREAM, objective=20, time_limit=60)
#: Prompt lengths in tokens: about those of a report and of an archive.
MEDIUM_PROMPT = '40000'
LONG_PROMPT = '100000'
#: Longer than a short request waits before it may move, in seconds.
SHORT_DELAY_SECONDS = 1.3
#: More than twice the expected time of a prompt of 100,000 tokens, in seconds.
LONG_DELAY_SECONDS = 5.0


async def answer_after_short_delay(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(SHORT_DELAY_SECONDS)
    writer.write(stream_head() + chunk(event(0)) + LAST_CHUNK)


async def answer_after_long_delay(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(LONG_DELAY_SECONDS)
    writer.write(stream_head() + chunk(event(0)) + LAST_CHUNK)


async def pause_in_answer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(stream_head() + chunk(event(0)))
    await asyncio.sleep(SHORT_DELAY_SECONDS)
    writer.write(chunk(event(1)) + LAST_CHUNK)


async def answer_at_once(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(stream_head() + chunk(event(0)) + LAST_CHUNK)


def start_long_prompt(entry: TestEntry, name: str) -> None:
    """Record a long prompt in progress at an engine."""
    assignment = Assignment(read_ms=9000)
    request = RequestId(f'long at {name}')
    entry.context.dispatcher.begin(request, {EndpointId(name): assignment})


def end_long_prompt(entry: TestEntry, name: str) -> None:
    """Record the end of the long prompt at an engine."""
    request = RequestId(f'long at {name}')
    entry.context.dispatcher.loads.end(request, [EndpointId(name)])


async def test_short_request_stays_if_all_engines_are_busy() -> None:
    """Guards against moving short requests between busy engines.

    All engines read long prompts for a second. Each short request would be
    read repeatedly, and one second of delay would become ten.
    """
    one = RawEndpoint('e1', answer_after_short_delay)
    two = RawEndpoint('e2', answer_after_short_delay)
    async with running_entry(STREAM, one, two) as entry:
        start_long_prompt(entry, 'e1')
        start_long_prompt(entry, 'e2')
        answer = await entry.ask(Prompt='4000')
    assert answer.endswith(LAST_CHUNK)
    assert len(one.requests) + len(two.requests) == 1


async def test_short_request_moves_to_free_engine() -> None:
    """Guards against waiting at a hung engine while another one is idle."""
    hanging = RawEndpoint('e1', never_reply)
    idle = RawEndpoint('e2', answer_at_once)
    async with running_entry(STREAM, hanging, idle) as entry:
        start_long_prompt(entry, 'e2')
        asking = asyncio.create_task(entry.ask(Prompt='4000'))
        while not hanging.requests:
            await asyncio.sleep(0.01)
        name = EndpointId('e2')
        dispatcher = entry.context.dispatcher
        dispatcher.loads.end(RequestId('long at e2'), [name])
        answer = await asking
    assert answer.endswith(LAST_CHUNK)
    assert len(idle.requests) == 1


@pytest.mark.parametrize('is_alive', [True, False])
async def test_only_silent_engine_counts_as_faulty(
    is_alive: bool,
) -> None:
    """Guards against treating a busy engine as faulty.

    A short request moves away from an engine that still sends events of other
    requests. If the engine counted as faulty, the other engines would have to
    do its work as well.
    """
    busy = RawEndpoint('e1', never_reply)
    idle = RawEndpoint('e2', answer_at_once)
    async with running_entry(STREAM, busy, idle) as entry:
        start_long_prompt(entry, 'e2')
        dispatcher = entry.context.dispatcher
        asking = asyncio.create_task(entry.ask(Prompt='4000'))
        while not busy.requests:
            await asyncio.sleep(0.01)
        if is_alive:
            dispatcher.record_activity(EndpointId('e1'))
        name = EndpointId('e2')
        dispatcher.loads.end(RequestId('long at e2'), [name])
        await asking
    assert (EndpointId('e1') in dispatcher.failures.streaks) is not is_alive


async def test_short_request_stays_without_retry_allowance() -> None:
    """Guards against moving a request if the budget permits no retry.

    The request could not be sent again. Its caller would see a failure just
    before the answer of the late engine.
    """
    late = RawEndpoint('e1', answer_after_short_delay)
    idle = RawEndpoint('e2', answer_at_once)
    async with running_entry(STREAM, late, idle) as entry:
        budget = entry.context.retry_budget(MODEL)
        budget.bounds = RetryBudgetLimit(ratio=0, slack=0)
        start_long_prompt(entry, 'e2')
        asking = asyncio.create_task(entry.ask(Prompt='4000'))
        while not late.requests:
            await asyncio.sleep(0.01)
        name = EndpointId('e2')
        entry.context.dispatcher.loads.end(RequestId('long at e2'), [name])
        answer = await asking
    assert answer.endswith(LAST_CHUNK)
    assert not idle.requests


async def test_stream_that_has_begun_stays_without_retry_allowance() -> None:
    """Guards against cutting a stream that pauses and cannot be resumed."""
    fleet = [RawEndpoint(name, pause_in_answer) for name in ('e1', 'e2')]
    async with running_entry(STREAM, *fleet) as entry:
        budget = entry.context.retry_budget(MODEL)
        budget.bounds = RetryBudgetLimit(ratio=0, slack=0)
        answer = await entry.ask(Prompt='4000')
    assert answer.endswith(LAST_CHUNK)
    assert sum(len(one.requests) for one in fleet) == 1


async def ask_while_e2_is_busy(
    entry: TestEntry,
    expected: RawEndpoint,
    prompt: str,
) -> asyncio.Task[bytes]:
    """Send a request while e2 is busy; wait until another engine has it."""
    start_long_prompt(entry, 'e2')
    asking = asyncio.create_task(entry.ask(Prompt=prompt))
    while not expected.requests:
        await asyncio.sleep(0.01)
    return asking


async def test_medium_prompt_leaves_unresponsive_engine() -> None:
    """Guards against long waits at an engine that accepts but never answers.

    A prompt of 40,000 tokens that should take half a second would wait for
    nearly half of its time limit, although another engine is free.
    """
    silent = RawEndpoint('e1', never_reply)
    idle = RawEndpoint('e2', answer_at_once)
    async with running_entry(LONG_STREAM, silent, idle) as entry:
        asking = await ask_while_e2_is_busy(entry, silent, MEDIUM_PROMPT)
        end_long_prompt(entry, 'e2')
        async with asyncio.timeout(15):
            answer = await asking
    assert answer.endswith(LAST_CHUNK)
    assert len(idle.requests) == 1


async def test_medium_prompt_stays_behind_later_part() -> None:
    """Guards against moving a prompt because a later part is read first.

    The prompt would be read twice, although its engine meets the objective.
    """
    busy = RawEndpoint('e1', answer_after_long_delay)
    idle = RawEndpoint('e2', answer_at_once)
    async with running_entry(LONG_STREAM, busy, idle) as entry:
        asking = await ask_while_e2_is_busy(entry, busy, MEDIUM_PROMPT)
        part = Assignment(read_ms=9000, is_ahead=True, is_primary=False)
        dispatcher = entry.context.dispatcher
        dispatcher.begin(RequestId('later'), {EndpointId('e1'): part})
        end_long_prompt(entry, 'e2')
        answer = await asking
    assert answer.endswith(LAST_CHUNK)
    assert not idle.requests


async def test_long_prompt_is_not_read_twice() -> None:
    """Guards against reading long prompts twice when a forecast is missed.

    Long prompts arrive together, and each is read later than forecast. Reading
    each a second time elsewhere would occupy engines for seconds and delay the
    others as well.
    """
    busy = RawEndpoint('e1', answer_after_long_delay)
    idle = RawEndpoint('e2', answer_at_once)
    async with running_entry(LONG_STREAM, busy, idle) as entry:
        asking = await ask_while_e2_is_busy(entry, busy, LONG_PROMPT)
        end_long_prompt(entry, 'e2')
        answer = await asking
    assert answer.endswith(LAST_CHUNK)
    assert not idle.requests
