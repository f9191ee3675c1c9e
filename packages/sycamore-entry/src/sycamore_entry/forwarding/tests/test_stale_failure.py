"""Failures of endpoints that resume a stream."""

import msgspec
from sycamore_core.routing import RouteKind

from .builders import (
    MODEL,
    RawEndpoint,
    full_answer,
    reply_with,
    route,
    running_entry,
)
from .test_resumption import SHORT_PROMPT, break_off

STREAM = msgspec.structs.replace(
    route(RouteKind.RESUMABLE_STREAM, MODEL), max_attempts=4
)
FAILURE = full_answer('sorry', 500, 'Leaving: yes\r\n')


async def test_failure_of_a_resumption_is_not_written_into_the_stream() -> None:
    """Guards against a second head in the middle of an answer."""
    first = RawEndpoint('e1', break_off)
    other = RawEndpoint('e2', reply_with(FAILURE))
    async with running_entry(STREAM, first, other) as entry:
        answer = await entry.ask(Prompt=SHORT_PROMPT)
    assert other.requests
    assert answer.count(b'HTTP/1.1 ') == 1
    assert b'sorry' not in answer
