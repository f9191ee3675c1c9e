"""Connections of callers to an entry that cannot keep up."""

import asyncio

from sycamore_core.decisions.direct import CONNECTION_CHECK_SECONDS
from sycamore_core.decisions.direct.connection_limit import (
    LATE_CHECKS,
    MIN_ACCEPTED,
)

from .builders import (
    HOST,
    RawEndpoint,
    TestEntry,
    full_answer,
    reply_with,
    request_bytes,
    running_entry,
)
from .builders_answers import is_answered
from .builders_server import SAFE, gated_entry

LATE_SECONDS = 0.4
CALLERS = 6


async def ask(entry: TestEntry) -> bytes:
    """Return the answer on a new connection; empty if it was closed."""
    try:
        return await entry.ask()
    except (OSError, EOFError):
        return b''


async def test_overloaded_entry_closes_connections_without_reading() -> None:
    """Guards against an entry that reads more requests than it can serve."""
    async with gated_entry() as (entry, gate):
        for _ in range(LATE_CHECKS):
            gate.record_check(LATE_SECONDS)
        answers = await asyncio.gather(*(ask(entry) for _ in range(CALLERS)))
        refusals = entry.context.metrics.refusals.counts
    assert sum(map(is_answered, answers)) == MIN_ACCEPTED
    assert refusals['connection_closed_unread'] == CALLERS - MIN_ACCEPTED


async def test_gate_checks_until_the_event_loop_is_in_time() -> None:
    """Guards against refusals that go on because nobody checks again."""
    async with gated_entry() as (entry, gate):
        checking = asyncio.create_task(gate.run())
        for _ in range(LATE_CHECKS):
            gate.record_check(LATE_SECONDS)
        gate.observe(LATE_SECONDS)
        async with asyncio.timeout(5):
            while gate.limit.has_late_checks:
                await asyncio.sleep(CONNECTION_CHECK_SECONDS)
        checking.cancel()
        assert is_answered(await ask(entry))


async def test_entry_accepts_connections_once_it_keeps_up() -> None:
    """Guards against refusals after the load is over."""
    async with gated_entry() as (entry, gate):
        for late_seconds in (LATE_SECONDS,) * LATE_CHECKS + (0, 0):
            gate.record_check(late_seconds)
        answers = await asyncio.gather(*(ask(entry) for _ in range(CALLERS)))
    assert all(map(is_answered, answers))


async def test_idle_connections_that_end_are_forgotten() -> None:
    """Guards against an entry that keeps each connection in its memory."""
    endpoint = RawEndpoint('e0', reply_with(full_answer()))
    async with running_entry(SAFE, endpoint) as entry:
        for _ in range(CALLERS):
            reader, writer = await asyncio.open_connection(HOST, entry.port)
            writer.write(request_bytes(Connection='keep-alive'))
            await reader.readuntil(b'done')
            writer.close()
        async with asyncio.timeout(2):
            while entry.connections.open:
                await asyncio.sleep(0.01)
        assert not entry.connections.idle


async def test_body_that_takes_too_long_is_refused() -> None:
    """Guards against closing a connection without the promise "not run"."""
    endpoint = RawEndpoint('e0', reply_with(full_answer()))
    async with running_entry(SAFE, endpoint) as entry:
        reader, writer = await asyncio.open_connection(HOST, entry.port)
        sent = request_bytes(body=b'deposit 100')
        writer.write(sent[:-5])
        while not entry.connections.reading:
            await asyncio.sleep(0.01)
        entry.connections.refuse_incomplete(
            408, entry.context.clock.monotonic()
        )
        writer.write(sent[-5:])
        answer = await asyncio.wait_for(reader.read(), 2)
        writer.close()
        held = entry.context.flow.held.count
    assert answer.startswith(b'HTTP/1.1 408 ')
    assert b'Connection: close' in answer
    assert not endpoint.requests
    assert not held
