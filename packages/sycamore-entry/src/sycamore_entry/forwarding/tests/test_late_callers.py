"""Requests of callers that lie in the socket as the event loop is late."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from sycamore_core.routing import CallerLimits, RouteKind

from ..callers import caller_sweep
from .builders import (
    HOST,
    RawEndpoint,
    TestEntry,
    full_answer,
    reply_with,
    request_bytes,
    route,
    running_entry,
)
from .builders_silence import block_loop

IDLE_SECONDS = 0.4
#: Size of a body that takes many turns of the event loop to read.
BODY_BYTES = 1_000_000
SERVED = route(RouteKind.SAFE, time_limit=30)


@pytest.fixture(autouse=True)
def short_idle_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep idle connections for a short time."""
    monkeypatch.setattr(caller_sweep, 'IDLE_TIMEOUT_SECONDS', IDLE_SECONDS)


@asynccontextmanager
async def late_entry() -> AsyncIterator[TestEntry]:
    """Run an entry whose connections are checked as in a process."""
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    async with running_entry(SERVED, endpoint) as entry:
        limits = CallerLimits(idle_timeout=IDLE_SECONDS)
        entry.context.keeper.table.limits = limits
        sweep = caller_sweep.CallerSweep(
            entry.context, entry.connections, entry.server
        )
        sweeping = asyncio.create_task(sweep.run())
        await asyncio.sleep(0)
        yield entry
        sweeping.cancel()


async def answer_on(sock: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    return await asyncio.wait_for(loop.sock_recv(sock, 65_536), 2)


async def connected(entry: TestEntry) -> socket.socket:
    sock = socket.socket()
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (HOST, entry.port))
    return sock


async def test_request_that_came_before_the_idle_timeout_is_served() -> None:
    """Guards against a kept connection that is closed with its request."""
    request = request_bytes(Connection='keep-alive')
    async with late_entry() as entry:
        with await connected(entry) as sock:
            sock.send(request)
            first = await answer_on(sock)
            await asyncio.sleep(IDLE_SECONDS / 2)
            sock.send(request)
            block_loop(2 * IDLE_SECONDS)
            second = await answer_on(sock)
    assert first.startswith(b'HTTP/1.1 200')
    assert second.startswith(b'HTTP/1.1 200')


async def test_connection_without_a_request_is_closed() -> None:
    """Guards against connections that are kept for callers that are gone."""
    async with late_entry() as entry:
        with await connected(entry) as sock:
            sock.send(request_bytes(Connection='keep-alive'))
            await answer_on(sock)
            began = time.monotonic()
            assert not await answer_on(sock)
            assert time.monotonic() - began >= IDLE_SECONDS
            assert not entry.connections.open


async def test_body_that_came_in_time_is_taken() -> None:
    """Guards against a 408 although the whole body lies in the socket."""
    body = b'x' * BODY_BYTES
    request = request_bytes(body=body)
    head_size = len(request) - len(body)
    async with late_entry() as entry:
        with await connected(entry) as sock:
            sock.send(request[:head_size])
            await asyncio.sleep(IDLE_SECONDS / 2)
            reading = next(iter(entry.connections.reading))
            reading.arrived_at -= (
                caller_sweep.BODY_TIMEOUT_SECONDS - IDLE_SECONDS
            )
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, request[head_size:])
            block_loop(2 * IDLE_SECONDS)
            answer = await answer_on(sock)
    assert answer.startswith(b'HTTP/1.1 200')
