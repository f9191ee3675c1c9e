"""Background tasks whose defects show in the log.

A task that nobody awaits ends in silence if it raises: its process goes on,
looks healthy, and no longer does what the task did.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Coroutine, Iterable

from .errors import SycamoreError
from .telemetry import Log, error_fields

#: Pause before a failed task is started again, in seconds. A task that fails
#: at once each time then writes two lines a second.
RESTART_SECONDS = 0.5
#: Longest time for the ends of tasks that are cancelled, in seconds. They end
#: within milliseconds, unless a cancellation is lost.
CANCEL_SECONDS = 0.5
#: Number of times that tasks are cancelled until they have ended.
_CANCEL_ATTEMPTS = 5

Failed = Callable[[], None]


class TaskEndedError(SycamoreError):
    """A task that should run until it is cancelled has returned."""


def start_logged(
    coroutine: Coroutine[None, None, None], name: str, log: Log
) -> asyncio.Task[None]:
    """Start a task; log the error with which it ends, if any."""
    task = asyncio.create_task(coroutine, name=name)
    task.add_done_callback(functools.partial(_log_failure, log))
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
            return await action()
        except (Exception, asyncio.CancelledError) as error:
            _check_cancelled(error)
            log.error('task_failed', task=name, **error_fields(error))
        if on_failure is not None:
            on_failure()
        await asyncio.sleep(RESTART_SECONDS)


def start_running(
    action: Callable[[], Awaitable[None]],
    name: str,
    log: Log,
    on_failure: Failed | None = None,
) -> asyncio.Task[None]:
    """Start a task that goes on after a defect, as by `keep_running`."""
    running = keep_running(action, name, log, on_failure)
    return asyncio.create_task(running, name=name)


async def never_ending(action: Callable[[], Awaitable[None]]) -> None:
    """Run an action that should run until it is cancelled.

    Raises
    ------
    TaskEndedError
        If it returns.
    """
    await action()
    raise TaskEndedError


async def cancel_all(
    tasks: Iterable[asyncio.Task[None]], seconds: float, log: Log
) -> None:
    """Cancel tasks repeatedly until they have ended, for a bounded time.

    A library may lose the cancellation of a call that completes at the same
    moment, as pynng does. The task then continues with its next call, and a
    process that waited for it after a single cancellation would never exit.

    Parameters
    ----------
    seconds
        Time after which those that have not ended are logged and left.
    """
    pending = set(tasks)
    attempts = 0
    while pending and attempts < _CANCEL_ATTEMPTS:
        attempts += 1
        for task in pending:
            task.cancel()
        timeout = seconds / _CANCEL_ATTEMPTS
        _, pending = await asyncio.wait(pending, timeout=timeout)
    if pending:
        names = sorted(left.get_name() for left in pending)
        log.warning('tasks_left', tasks=names, seconds=seconds)


async def run_until(
    action: Coroutine[None, None, None], event: asyncio.Event
) -> bool:
    """Run an action until it returns or an event is set.

    Returns
    -------
    bool
        Whether the action has returned; otherwise it is cancelled.
    """
    running = asyncio.create_task(action)
    waiting = asyncio.create_task(event.wait())
    tasks = (running, waiting)
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
    if not running.done():
        return False
    running.result()
    return True


def _check_cancelled(error: BaseException) -> None:
    """Raise an error that cancels this task, not what the task awaited."""
    task = asyncio.current_task()
    is_cancelled = task is not None and task.cancelling() > 0
    if is_cancelled and isinstance(error, asyncio.CancelledError):
        raise error


def _log_failure(log: Log, task: asyncio.Task[None]) -> None:
    error = None if task.cancelled() else task.exception()
    if error is not None:
        log.error('task_failed', task=task.get_name(), **error_fields(error))
