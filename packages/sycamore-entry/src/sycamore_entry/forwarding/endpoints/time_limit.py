"""Time limits that do not count the time for which the event loop stood still.

An event loop that was late finds a timer and the answer to which it belongs in
the same turn. With a plain timeout, a connection that was made while the
process was frozen would count as failed, and the endpoint as gone.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar('_Result')


async def wait_within(
    future: asyncio.Future[_Result],
    seconds: float,
) -> _Result:
    """Return the result of a future; it is not cancelled.

    The time by which the timer was late is granted once more, up to the time
    limit: the event loop did not look at the answer meanwhile.

    Raises
    ------
    TimeoutError
        If there is no result in time.
    """
    loop = asyncio.get_running_loop()
    due = loop.time() + seconds
    await asyncio.wait((future,), timeout=seconds)
    if not future.done():
        late_seconds = max(0, loop.time() - due)
        await asyncio.wait((future,), timeout=min(late_seconds, seconds))
    if not future.done():
        raise TimeoutError
    return future.result()


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
