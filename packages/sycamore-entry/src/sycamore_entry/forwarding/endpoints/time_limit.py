"""Time limits that do not count the time for which the event loop stood still.

An event loop that was late finds a timer and the answer to which it belongs in
the same turn. With a plain timeout, a connection that was made while the
process was frozen would count as failed, and the endpoint as gone.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Coroutine
from typing import Any, TypeVar

from sycamore_core.decisions.late_checks import READING_SECONDS

#: Turns of the event loop in which a short answer gets from the socket to the
#: caller, after the turn in which a timer has fired: it becomes readable, is
#: parsed, taken, and written.
_READ_TURNS = 8

_Result = TypeVar('_Result')


async def wait_within(
    future: asyncio.Future[_Result],
    seconds: float,
    longest_grant: float = math.inf,
) -> _Result:
    """Return the result of a future; it is not cancelled.

    The time by which the timer was late is granted once more, up to the time
    limit: the event loop did not look at the answer meanwhile.

    Parameters
    ----------
    longest_grant
        Longest time that is granted, in seconds.

    Raises
    ------
    TimeoutError
        If there is no result in time.
    """
    if not await is_done_within(future, seconds, longest_grant):
        raise TimeoutError
    return future.result()


async def is_done_within(
    future: asyncio.Future[Any],
    seconds: float,
    longest_grant: float = math.inf,
) -> bool:
    """Return whether a future has a result or an error in time.

    Lateness is granted as by `wait_within`.
    """
    loop = asyncio.get_running_loop()
    due = loop.time() + seconds
    await asyncio.wait((future,), timeout=seconds)
    if not future.done():
        late_seconds = max(0, loop.time() - due)
        grant = min(late_seconds, seconds, longest_grant)
        await asyncio.wait((future,), timeout=grant)
    return future.done()


async def let_loop_read() -> None:
    """Let the event loop read and take what arrived before this call."""
    for _ in range(_READ_TURNS):
        await asyncio.sleep(0)


async def run_within(
    action: Coroutine[Any, Any, _Result],
    seconds: float,
) -> _Result:
    """Return the result of a coroutine, which is cancelled if it is late.

    Raises
    ------
    TimeoutError
        If there is no result in time, as in `wait_within`.
    """
    task = asyncio.create_task(action)
    try:
        return await wait_within(task, seconds)
    finally:
        if not task.cancel() and not task.cancelled():
            # An error that nobody waits for any more needs no trace.
            task.exception()


@contextlib.asynccontextmanager
async def ending_within(seconds: float) -> AsyncIterator[None]:
    """Run a block that is cancelled after a time limit.

    The block may first take what arrived until then: it goes on for some turns
    of the event loop, and for the time by which the timer was late, up to
    `READING_SECONDS`.

    Raises
    ------
    TimeoutError
        If the block was cancelled.
    """
    async with asyncio.timeout(None) as timeout:
        limit = _ReadingLimit(timeout, seconds)
        try:
            yield
        finally:
            limit.handle.cancel()


class _ReadingLimit:
    """Ends a block after its time limit, once the event loop has read.

    Attributes
    ----------
    due
        The time limit, on the clock of the event loop, in seconds.
    handle
        The next call of this limit.
    """

    def __init__(self, timeout: asyncio.Timeout, seconds: float) -> None:
        self.timeout = timeout
        self.loop = asyncio.get_running_loop()
        self.due = self.loop.time() + seconds
        self.handle: asyncio.Handle = self.loop.call_at(self.due, self._begin)

    def _begin(self) -> None:
        now = self.loop.time()
        ends_at = now + min(now - self.due, READING_SECONDS)
        self._let_read(_READ_TURNS, ends_at)

    def _let_read(self, turns: int, ends_at: float) -> None:
        if turns:
            self.handle = self.loop.call_soon(
                self._let_read, turns - 1, ends_at
            )
        else:
            self.timeout.reschedule(ends_at)
