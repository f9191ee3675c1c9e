"""Attempts that are given up while their endpoints may still run them."""

import asyncio

import logbook
from sycamore_core.routing import RouteKind

from .builders import (
    RawEndpoint,
    TestEntry,
    full_answer,
    never_reply,
    reply_with,
    route,
    running_entry,
)

SAFE = route(RouteKind.SAFE)


def abandoned_count(entry: TestEntry) -> int:
    metrics = entry.context.metrics.suspects
    return metrics.abandoned_attempts.counts.total()


async def test_attempt_whose_caller_left_is_logged() -> None:
    """Guards against a crash whose cause no entry can name."""
    endpoint = RawEndpoint('e1', never_reply)
    handler = logbook.TestHandler()
    with handler.applicationbound():
        async with running_entry(SAFE, endpoint) as entry:
            asking = asyncio.create_task(entry.ask(Id='q1'))
            while not endpoint.requests:
                await asyncio.sleep(0.01)
            asking.cancel()
            while not abandoned_count(entry):
                await asyncio.sleep(0.01)
    lines = [one for one in handler.records if one.msg == 'attempt_abandoned']
    assert [line.extra['endpoint'] for line in lines] == ['e1']


async def test_answered_attempt_is_not_logged_as_abandoned() -> None:
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    async with running_entry(SAFE, endpoint) as entry:
        await entry.ask(Id='q1')
        assert not abandoned_count(entry)
