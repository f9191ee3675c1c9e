"""Attempts that are given up together while few retries are left."""

import asyncio

import pytest
from sycamore_core.ids import EndpointId
from sycamore_core.routing import RouteKind

from .builders import (
    MODEL,
    SERVICE,
    RawEndpoint,
    TestEntry,
    route,
    running_entry,
)
from .builders_answers import answer_late
from .builders_ended import CHAT
from .builders_silence import (
    BEFORE_TIMEOUT_SECONDS,
    SHORT_BLOCK_SECONDS,
    PausingEndpoint,
    ask_together,
    block_loop,
    is_whole,
    leave_one_retry,
    patient,
    pausing_pair,
    report_end,
    request_count,
    wait_for_requests,
)

REQUESTS = 3
STREAM = patient(CHAT, 6)
#: The longest silence that is permitted is shorter than an answer takes.
CALL = route(RouteKind.SAFE)


@pytest.mark.parametrize('has_begun', [True, False])
async def test_one_retry_moves_one_of_three_silent_streams(
    has_begun: bool,
) -> None:
    """Guards against streams that are all cut for the one retry that is left.

    The checks of three streams are due in one turn of the event loop.
    """
    fleet = pausing_pair(sends_first=has_begun)
    async with running_entry(STREAM, *fleet) as entry:
        leave_one_retry(entry, MODEL)
        asking = asyncio.create_task(ask_together(entry, REQUESTS))
        await wait_for_requests(fleet, REQUESTS)
        await asyncio.sleep(BEFORE_TIMEOUT_SECONDS)
        block_loop(SHORT_BLOCK_SECONDS)
        answers = await asking
    assert all(map(is_whole, answers))
    assert request_count(fleet) == REQUESTS + 1


async def test_one_retry_moves_one_of_three_silent_calls() -> None:
    """Guards against calls that fail although their replica answers later."""
    fleet = [RawEndpoint(name, answer_late) for name in ('e1', 'e2')]
    async with running_entry(CALL, *fleet) as entry:
        leave_one_retry(entry, SERVICE)
        answers = await ask_together(entry, REQUESTS)
    assert all(answer.endswith(b'recorded') for answer in answers)
    assert request_count(fleet) == REQUESTS + 1


async def test_one_retry_moves_one_of_three_streams_with_a_doubtful_end() -> (
    None
):
    """Guards against streams that a peer's report cuts for one retry left."""
    fleet = [PausingEndpoint('e1')]
    other = PausingEndpoint('e2')
    other.begun = fleet[0].begun
    async with running_entry(STREAM, *fleet, other) as entry:
        leave_one_retry(entry, MODEL)
        exclude(entry, other)
        asking = asyncio.create_task(ask_together(entry, REQUESTS))
        await wait_for_requests(fleet, REQUESTS)
        await asyncio.sleep(0.2)
        include(entry, other)
        report_end(entry, fleet[0])
        answers = await asking
    assert all(map(is_whole, answers))
    assert len(other.requests) == 1


def exclude(entry: TestEntry, endpoint: PausingEndpoint) -> None:
    """Let the entry take an endpoint for a failed one."""
    entry.context.dispatcher.record_failure(EndpointId(endpoint.name))


def include(entry: TestEntry, endpoint: PausingEndpoint) -> None:
    """Let the entry use an endpoint again."""
    failures = entry.context.dispatcher.failures
    failures.record_answer(EndpointId(endpoint.name))
