"""Attempts that are given up although no other endpoint may run the request."""

import asyncio

import msgspec
import pytest
from sycamore_core.routing import RouteKind

from .builders import (
    MODEL,
    SERVICE,
    RawEndpoint,
    route,
    running_entry,
)
from .builders_answers import answer_late
from .builders_silence import PausingEndpoint, is_whole, patient
from .test_held_permits import report_end
from .test_resumption import SHORT_PROMPT, fill


@pytest.mark.parametrize('service', [MODEL, SERVICE])
async def test_stream_stays_at_the_last_endpoint_that_is_not_excluded(
    service: str,
) -> None:
    """Guards against giving up a stream for an endpoint that was given up."""
    served = msgspec.structs.replace(
        patient(route(RouteKind.RESUMABLE_STREAM, service), 6), max_attempts=3
    )
    fleet = [PausingEndpoint(name) for name in ('e1', 'e2')]
    async with running_entry(served, *fleet) as entry:
        answer = await entry.ask(Id='q', Prompt=SHORT_PROMPT)
    assert is_whole(answer)


async def test_call_stays_at_the_only_replica() -> None:
    """Guards against giving up a call that no other replica can run."""
    endpoint = RawEndpoint('e1', answer_late)
    async with running_entry(route(RouteKind.SAFE), endpoint) as entry:
        answer = await entry.ask()
    assert answer.endswith(b'recorded')


@pytest.mark.parametrize('service', [MODEL, SERVICE])
async def test_stream_stays_at_the_only_endpoint(service: str) -> None:
    """Guards against giving up a stream that no other endpoint can resume."""
    served = patient(route(RouteKind.RESUMABLE_STREAM, service), 6)
    endpoint = PausingEndpoint('e1')
    async with running_entry(served, endpoint) as entry:
        answer = await entry.ask(Id='q', Prompt=SHORT_PROMPT)
    assert is_whole(answer)


@pytest.mark.parametrize('service', [MODEL, SERVICE])
async def test_unanswered_stream_stays_at_the_only_endpoint(
    service: str,
) -> None:
    """Guards against giving up a first event that no other engine can send."""
    served = patient(route(RouteKind.RESUMABLE_STREAM, service), 6)
    endpoint = PausingEndpoint('e1', sends_first=False)
    async with running_entry(served, endpoint) as entry:
        answer = await entry.ask(Id='q', Prompt=SHORT_PROMPT)
    assert is_whole(answer)


async def test_stream_stays_at_a_doubtful_end_while_others_are_full() -> None:
    """Guards against giving up a stream on a peer's word without a slot."""
    served = patient(route(RouteKind.RESUMABLE_STREAM, MODEL), 6)
    first = PausingEndpoint('e1')
    other = PausingEndpoint('e2')
    async with running_entry(served, first, other) as entry:
        fill(entry, 'e2')
        asking = asyncio.create_task(entry.ask(Id='q', Prompt=SHORT_PROMPT))
        while not first.requests:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        report_end(entry, first)
        answer = await asking
    assert is_whole(answer)
