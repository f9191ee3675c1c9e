"""Answers to requests that meet a defect of the entry."""

import asyncio
import socket

import pytest
from sycamore_core.routing import RouteKind

from ..callers import exchange
from ..endpoints.relay import AnswerRelay
from .builders import (
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    SimpleWire,
    chunk,
    event,
    full_answer,
    reply_with,
    route,
    running_entry,
    stream_head,
)

UNSAFE = route(RouteKind.UNSAFE)
UNAVAILABLE = b'HTTP/1.1 503 '
BAD_GATEWAY = b'HTTP/1.1 502 '


def fail(*arguments: object) -> None:
    """Fail as a defect does."""
    raise LookupError('defect')


async def test_defect_before_an_attempt_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an empty, closed connection after a defect.

    The caller could not tell whether its request ran.
    """
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    monkeypatch.setattr(exchange, 'admit', fail)
    async with running_entry(UNSAFE, endpoint) as entry:
        answer = await entry.ask()
        outcomes = entry.context.metrics.outcomes
    assert answer.startswith(UNAVAILABLE)
    assert b'Retry-After: ' in answer
    assert not endpoint.requests
    assert outcomes.requests.counts == {'fault': 1}


async def test_defect_after_sending_promises_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against "not run" for a request that an endpoint has received."""
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    monkeypatch.setattr(AnswerRelay, 'relay_whole', fail)
    async with running_entry(UNSAFE, endpoint) as entry:
        answer = await entry.ask()
    assert answer.startswith(BAD_GATEWAY)
    assert len(endpoint.requests) == 1


async def test_defect_before_the_exchange_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that is dropped as its exchange is created."""
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    monkeypatch.setattr(SimpleWire, 'request_id', fail)
    async with running_entry(UNSAFE, endpoint) as entry:
        answer = await entry.ask()
    assert answer.startswith(UNAVAILABLE)
    assert b'Retry-After: ' in answer


async def test_refused_socket_option_does_not_drop_a_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that is dropped for an option of its socket."""
    endpoint = RawEndpoint('e1', reply_with(full_answer('recorded')))
    async with running_entry(UNSAFE, endpoint) as entry:
        monkeypatch.setattr(socket, 'SO_SNDBUF', 9999)
        answer = await entry.ask()
    assert answer.endswith(b'recorded')


async def test_defect_while_failing_ends_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a caller that waits after a second defect."""
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    monkeypatch.setattr(exchange, 'admit', fail)
    monkeypatch.setattr(SimpleWire, 'own_headers', fail)
    async with running_entry(UNSAFE, endpoint) as entry:
        assert not await entry.ask()
        while entry.connections.tasks:
            await asyncio.sleep(0.01)
        outcomes = entry.context.metrics.outcomes
    assert outcomes.unanswered.counts == {'defect': 1}


async def test_defect_within_a_stream_truncates_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a second head within a stream that has begun."""
    endpoint = RawEndpoint(
        'e1', reply_with(stream_head(), chunk(event(0)), LAST_CHUNK)
    )
    monkeypatch.setattr(AnswerRelay, '_finish', fail)
    async with running_entry(route(RouteKind.STREAM, MODEL), endpoint) as entry:
        answer = await entry.ask()
    assert event(0).encode() in answer
    assert answer.count(b'HTTP/1.1 ') == 1
    assert not answer.endswith(LAST_CHUNK)
