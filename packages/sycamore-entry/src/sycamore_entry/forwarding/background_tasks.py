"""The background tasks of the process of a forwarding entry."""

import asyncio
import signal
from collections.abc import Coroutine

from sycamore_core.tasks import log_failure
from sycamore_core.telemetry import Log


class BackgroundTasks:
    """Runs tasks until the process ends."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, coroutine: Coroutine[None, None, None], name: str) -> None:
        """Start a task.

        Parameters
        ----------
        name
            Name of the task in the log.
        """
        task = asyncio.create_task(coroutine, name=name)
        task.add_done_callback(self._record_end)
        self._tasks.append(task)

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their ends."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _record_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        # A defect in the entry. Without this task the process would look ready
        # to the balancer but miss changes, so it stops and is restarted.
        log_failure(self.log, task)
        signal.raise_signal(signal.SIGTERM)
