"""Requests that run at most once, are refused, or are retried."""

import asyncio

from sycamore_core.routing import RouteKind

from .builders import (
    RawEndpoint,
    full_answer,
    never_reply,
    reply_with,
    route,
    running_entry,
)
from .builders_answers import reply_in_sequence

SAFE = route(RouteKind.SAFE)
UNSAFE = route(RouteKind.UNSAFE)
NOT_RUN = full_answer('', 503, 'Not-Run: 1\r\n')


def run_count(*endpoints: RawEndpoint) -> int:
    return sum(len(endpoint.requests) for endpoint in endpoints)


async def test_unsafe_request_uses_new_connection() -> None:
    """Guards against unsafe requests on a reused connection.

    If the endpoint closed the connection at that moment, it would be unknown
    whether the request ran, and a retry could run it twice.
    """
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    async with running_entry(UNSAFE, endpoint) as entry:
        for _ in range(3):
            assert (await entry.ask()).startswith(b'HTTP/1.1 200')
        assert entry.context.pool.opened == 3


async def test_unsafe_request_with_lost_answer_fails() -> None:
    """Guards against running an unsafe request twice after a lost answer.

    The caller must see a failure, not a refusal, because the request ran.
    """
    one = RawEndpoint('e1', reply_with(close=True))
    two = RawEndpoint('e2', reply_with(close=True))
    async with running_entry(UNSAFE, one, two) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 502')
    assert b'Retry-After' not in answer
    assert run_count(one, two) == 1


async def test_safe_request_with_lost_answer_is_retried() -> None:
    """Guards against failing a safe request whose answer is lost."""
    answers = iter((b'', full_answer('found')))

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        answer = next(answers)
        if not answer:
            raise ConnectionError
        writer.write(answer)

    endpoints = (RawEndpoint('e1', script), RawEndpoint('e2', script))
    async with running_entry(SAFE, *endpoints) as entry:
        answer = await entry.ask()
    assert answer.endswith(b'found')


async def test_unsafe_request_that_did_not_run_is_retried() -> None:
    """Guards against failing an unsafe request that a full replica refused."""
    script = reply_in_sequence(NOT_RUN, full_answer('recorded'))
    endpoints = (RawEndpoint('e1', script), RawEndpoint('e2', script))
    async with running_entry(UNSAFE, *endpoints) as entry:
        answer = await entry.ask()
    assert answer.endswith(b'recorded')


async def test_request_is_refused_if_all_replicas_are_full() -> None:
    """Guards against a failure, or no retry time, if all replicas refuse."""
    endpoints = [
        RawEndpoint(f'e{one}', reply_with(NOT_RUN)) for one in range(3)
    ]
    async with running_entry(UNSAFE, *endpoints) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 503')
    # 0.4 s, spread by the request id so that callers do not retry together.
    assert b'Retry-After: 0.51' in answer


async def test_request_that_may_have_run_is_not_refused() -> None:
    """Guards against refusing a request that may have run.

    The only replica runs the request and its answer is lost. A refusal would
    state wrongly that the request has not run.
    """
    only = RawEndpoint('e1', reply_with(close=True))
    async with running_entry(SAFE, only) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 502')
    assert b'Retry-After' not in answer


async def test_failure_of_endpoint_is_forwarded() -> None:
    """Guards against replacing an endpoint's own failure."""
    failed = full_answer('no such guest', 500)
    async with running_entry(
        UNSAFE, RawEndpoint('e1', reply_with(failed))
    ) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 500')
    assert answer.endswith(b'no such guest')


async def test_failed_safe_request_is_retried_at_only_replica() -> None:
    """Guards against losing requests if the only replica fails sometimes.

    Two of three replicas have left. Without a retry at the third one, one
    request in seven would be lost until the others return.
    """
    script = reply_in_sequence(full_answer('busy', 500), full_answer('found'))
    async with running_entry(SAFE, RawEndpoint('e1', script)) as entry:
        answer = await entry.ask()
    assert answer.endswith(b'found')


async def test_repeated_failure_of_only_replica_is_forwarded() -> None:
    """Guards against replacing the only replica's failure by a refusal."""
    endpoint = RawEndpoint('e1', reply_with(full_answer('no such guest', 500)))
    async with running_entry(SAFE, endpoint) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 500')
    assert run_count(endpoint) == 2


async def test_refusal_without_not_run_mark_is_not_forwarded() -> None:
    """Guards against forwarding a 503 that does not state "not run".

    The status would imply that the request has not run, and the caller would
    send the unsafe request again.
    """
    ambiguous = full_answer('busy', 503)
    async with running_entry(
        UNSAFE, RawEndpoint('e1', reply_with(ambiguous))
    ) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 502')


async def test_request_is_answered_at_time_limit() -> None:
    """Guards against a caller that waits beyond its time limit."""
    hanging = RawEndpoint('e1', never_reply)
    hanging_seconds = 0.3
    made = route(RouteKind.UNSAFE, time_limit=hanging_seconds)
    async with running_entry(made, hanging) as entry:
        began = entry.context.clock.monotonic()
        answer = await entry.ask()
        passed = entry.context.clock.monotonic() - began
    assert answer.startswith(b'HTTP/1.1 504')
    assert passed > hanging_seconds / 2
    assert passed < hanging_seconds * 3


async def test_unknown_route_or_key_is_refused() -> None:
    """Guards against forwarding requests that cannot be admitted."""
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    async with running_entry(SAFE, endpoint) as entry:
        for headers, line, status in (
            ({'Host': 'other.example'}, 'GET /a/x HTTP/1.1', b'404'),
            ({}, 'GET /b/x HTTP/1.1', b'404'),
            ({'Key': 'unknown'}, 'GET /a/x HTTP/1.1', b'401'),
            ({'Patience': 'soon'}, 'GET /a/x HTTP/1.1', b'400'),
        ):
            answer = await entry.ask(line, **headers)
            assert answer.split(b' ')[1] == status, line
    assert not endpoint.requests


async def test_smuggled_request_is_refused() -> None:
    """Guards against request smuggling by both a length and chunks.

    If the entry and an endpoint disagreed on the end of the request, the
    remainder would run as a separate request.
    """
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    async with running_entry(SAFE, endpoint) as entry:
        answer = await entry.ask(
            'POST /a/x HTTP/1.1',
            'Transfer-Encoding: chunked',
            body=b'0\r\n\r\nGET /a/smuggled HTTP/1.1\r\n\r\n',
        )
    assert b'400' in answer.partition(b'\r\n')[0]
    assert not endpoint.requests
