"""Connections that wait to be accepted as an entry stops listening.

The system completes a connection and acknowledges its bytes before the entry
accepts it. An event loop that is late leaves it waiting for that long.
"""

import asyncio
import socket
import time

from sycamore_core.decisions.direct.connection_limit import LATE_CHECKS

from .builders import (
    HOST,
    RawEndpoint,
    full_answer,
    reply_with,
    request_bytes,
    running_entry,
)
from .builders_answers import is_answered, retry_after
from .builders_process import running_process
from .builders_server import SAFE, gated_entry

CALLERS = 20
LATE_SECONDS = 0.2
#: Time from the signal to the close of the listening socket, in seconds.
LISTENING_SECONDS = 2.8


def ask_unaccepted(port: int) -> socket.socket:
    """Connect and send a request before the entry can accept."""
    caller = socket.create_connection((HOST, port))
    caller.sendall(request_bytes())
    caller.setblocking(False)
    return caller


async def answer_to(caller: socket.socket) -> bytes:
    """Return what a caller receives; empty if its connection was reset."""
    try:
        reader, writer = await asyncio.open_connection(sock=caller)
        answer = await asyncio.wait_for(reader.read(), 3)
    except ConnectionError:
        return b''
    writer.close()
    return answer


async def test_waiting_connections_are_served_as_listening_ends() -> None:
    """Guards against a reset of requests that the system has acknowledged."""
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    async with running_entry(SAFE, endpoint) as entry:
        callers = [ask_unaccepted(entry.port) for _ in range(CALLERS)]
        entry.server.stop()
        answers = await asyncio.gather(*map(answer_to, callers))
    assert all(map(is_answered, answers))


async def test_waiting_connections_keep_to_the_limit_of_the_gate() -> None:
    """Guards against a stop that takes more than the entry can serve."""
    async with gated_entry() as (entry, gate):
        for _ in range(LATE_CHECKS):
            gate.record_check(LATE_SECONDS)
        callers = [ask_unaccepted(entry.port) for _ in range(CALLERS)]
        entry.server.stop()
        answers = await asyncio.gather(*map(answer_to, callers))
        refusals = entry.context.metrics.refusals.counts
    answered = sum(map(is_answered, answers))
    assert answered > 0
    assert refusals['connection_closed_unread'] == CALLERS - answered


async def test_late_stop_answers_what_came_meanwhile() -> None:
    """Guards against a late event loop that closes before it accepts.

    The timer of the stop and a long step run in the same turn; a connection
    that is made in this step is accepted only in the next turn, after the close
    of the listening socket.
    """
    loop = asyncio.get_running_loop()
    callers: list[socket.socket] = []
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    async with running_process(SAFE, endpoint) as entry:
        entry.stop()
        while not entry.process.context.is_stopping:
            await asyncio.sleep(0)
        closed_at = loop.time() + LISTENING_SECONDS

        def ask_in_a_long_step() -> None:
            callers.append(ask_unaccepted(entry.port))
            time.sleep(LATE_SECONDS)

        # Both are due after this, whenever it runs.
        loop.call_at(closed_at - LATE_SECONDS / 2, time.sleep, LATE_SECONDS)
        loop.call_at(closed_at, ask_in_a_long_step)
        await asyncio.sleep(LISTENING_SECONDS + 2 * LATE_SECONDS)
        answer = await answer_to(callers[0])
    assert is_answered(answer) or retry_after(answer)
