"""Background tasks whose defects show in the log.

A task that nobody awaits ends in silence if it raises: its process goes on,
looks healthy, and no longer does what the task did.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Coroutine

from .telemetry import Log, error_fields

#: Pause before a failed task is started again, in seconds. A task that fails
#: at once each time then writes two lines a second.
RESTART_SECONDS = 0.5

Failed = Callable[[], None]


def start_logged(
    coroutine: Coroutine[None, None, None], name: str, log: Log
) -> asyncio.Task[None]:
    """Start a task; log the error with which it ends, if any."""
    task = asyncio.create_task(coroutine, name=name)
    task.add_done_callback(functools.partial(log_failure, log))
    return task


async def keep_running(
    action: Callable[[], Awaitable[None]],
    name: str,
    log: Log,
    on_failure: Failed | None = None,
) -> None:
    """Run an action until it returns or is cancelled.

    After an error, which is logged, the action is started again.

    Parameters
    ----------
    name
        Name of the task in the log.
    on_failure
        Called after each error.
    """
    while True:
        try:
            await action()
        except Exception as error:
            log.error('task_failed', task=name, **error_fields(error))
            if on_failure is not None:
                on_failure()
        else:
            return
        await asyncio.sleep(RESTART_SECONDS)


def log_failure(log: Log, task: asyncio.Task[None]) -> None:
    """Log the error with which a task has ended, if any."""
    error = None if task.cancelled() else task.exception()
    if error is not None:
        log.error('task_failed', task=task.get_name(), **error_fields(error))
