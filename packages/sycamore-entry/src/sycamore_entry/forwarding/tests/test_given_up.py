"""Attempts that are given up for something that is not in hand."""

import asyncio

import pytest
from sycamore_core.decisions.direct import RetryBudgetLimit
from sycamore_core.ids import ServiceId
from sycamore_core.routing import RouteKind

from ..callers.refusals import Refusal, RefusalCause
from ..placement.dispatcher import DirectDispatcher
from ..placement.plain_admission import PlainAdmission
from .builders import (
    LAST_CHUNK,
    MODEL,
    SERVICE,
    RawEndpoint,
    TestEntry,
    chunk,
    event,
    route,
    running_entry,
    stream_head,
)
from .builders_silence import (
    BEFORE_TIMEOUT_SECONDS,
    SHORT_BLOCK_SECONDS,
    PausingEndpoint,
    ask_together,
    block_loop,
    is_whole,
    patient,
    wait_for_requests,
)
from .test_resumption import SHORT_PROMPT, break_off, empty, fill, resume

STREAM = patient(route(RouteKind.RESUMABLE_STREAM, MODEL), 5)
PLAIN_STREAM = patient(route(RouteKind.RESUMABLE_STREAM, SERVICE), 2)
#: It ends before another retry is filled in.
SHORT_STREAM = patient(route(RouteKind.RESUMABLE_STREAM, MODEL), 3.5)
REQUESTS = 3
#: A limit that leaves one retry, and fills in no other within two windows.
ONE_RETRY = RetryBudgetLimit(ratio=0, slack=2.1, window=2)
NO_RETRY = RetryBudgetLimit(ratio=0, slack=0)
#: Time that a resumed stream takes, in seconds.
LONG_SECONDS = 2


async def resume_slowly(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(stream_head() + chunk(event(1)))
    await asyncio.sleep(LONG_SECONDS / 2)
    writer.write(chunk(': still here\n\n'))
    await asyncio.sleep(LONG_SECONDS / 2)
    writer.write(LAST_CHUNK)


def limit_retries(
    entry: TestEntry, service: ServiceId, limit: RetryBudgetLimit, left: float
) -> None:
    """Set the limit on the retries of a service, and how many are left."""
    budget = entry.context.retry_budget(service)
    budget.bounds = limit
    budget.reserve = left
    budget.filled_at = entry.context.clock.monotonic()


async def test_one_free_slot_moves_one_of_three_pausing_streams() -> None:
    """Guards against streams that are all given up for one free slot.

    The checks of three streams are due in one turn of the event loop.
    """
    first = PausingEndpoint('e1')
    other = RawEndpoint('e2', resume_slowly)
    async with running_entry(STREAM, first, other) as entry:
        requests = fill(entry, 'e2')
        asking = asyncio.create_task(ask_together(entry, REQUESTS))
        while len(first.requests) < REQUESTS:
            await asyncio.sleep(0.01)
        empty(entry, 'e2', requests[:1])
        await asyncio.sleep(BEFORE_TIMEOUT_SECONDS)
        block_loop(SHORT_BLOCK_SECONDS)
        answers = await asking
    assert len(other.requests) == 1
    assert all(map(is_whole, answers))


async def test_retry_that_waited_for_a_slot_needs_a_retry_that_is_left() -> (
    None
):
    """Guards against retries that wait and arrive in a later window."""
    first = RawEndpoint('e1', break_off)
    other = RawEndpoint('e2', resume)
    async with running_entry(SHORT_STREAM, first, other) as entry:
        limit_retries(entry, MODEL, ONE_RETRY, 1)
        requests = fill(entry, 'e2')
        asking = asyncio.create_task(entry.ask(Prompt=SHORT_PROMPT))
        await asyncio.sleep(ONE_RETRY.window)
        empty(entry, 'e2', requests)
        await asking
    assert not other.requests


async def test_plain_stream_that_pauses_is_kept_without_a_retry() -> None:
    """Guards against cutting a stream that has no other attempt."""
    first = PausingEndpoint('e1')
    other = PausingEndpoint('e2')
    async with running_entry(PLAIN_STREAM, first, other) as entry:
        limit_retries(entry, SERVICE, NO_RETRY, 0)
        answer = await entry.ask(Id='q')
    assert is_whole(answer)


async def test_plain_stream_that_has_begun_is_not_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against cutting a stream because replicas are busy."""
    first = RawEndpoint('e1', break_off)
    other = RawEndpoint('e2', resume)

    def refuse(*arguments: object) -> None:
        raise Refusal(RefusalCause.PLAIN_FULL, retry_after=1)

    async with running_entry(PLAIN_STREAM, first, other) as entry:
        asking = asyncio.create_task(entry.ask())
        while not (first.requests or other.requests):
            await asyncio.sleep(0.01)
        monkeypatch.setattr(PlainAdmission, 'check', refuse)
        await asyncio.sleep(0.5)
        monkeypatch.undo()
        answer = await asking
    assert answer.endswith(LAST_CHUNK)


async def test_pausing_streams_search_no_engine_without_a_retry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry whose processor only looks for engines.

    Each search compares all engines.
    """
    fleet = [PausingEndpoint('e1'), PausingEndpoint('e2')]
    searches: list[object] = []

    def search(*arguments: object) -> None:
        searches.append(arguments)

    async with running_entry(STREAM, *fleet) as entry:
        limit_retries(entry, MODEL, NO_RETRY, 0)
        asking = asyncio.create_task(ask_together(entry, REQUESTS))
        await wait_for_requests(fleet, REQUESTS)
        monkeypatch.setattr(DirectDispatcher, 'place_model', search)
        answers = await asking
    assert all(map(is_whole, answers))
    assert not searches
