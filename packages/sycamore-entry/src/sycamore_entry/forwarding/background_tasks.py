"""The background tasks of the process of a forwarding entry.

A task that meets a defect starts again, and the process goes on: it serves
callers by what it knows. If it ended itself instead, an input that meets the
defect would end each entry of the fleet, and each again after its start, for as
long as the input is there.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable

from sycamore_core.decisions.stop_schedule import EXIT_SECONDS
from sycamore_core.tasks import cancel_all, never_ending, start_running
from sycamore_core.telemetry import Log
from sycamore_core.telemetry.tallies import Tally

#: Longest time for the ends of the tasks of a process that ends, in seconds,
#: and again for those of its exchange with peers.
TASKS_END_SECONDS = EXIT_SECONDS / 4


class BackgroundTasks:
    """Runs tasks until the process ends.

    Attributes
    ----------
    failed
        Counts of errors and unexpected ends, by task.
    """

    def __init__(self, log: Log, failed: Tally) -> None:
        self.log = log
        self.failed = failed
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, action: Callable[[], Awaitable[None]], name: str) -> None:
        """Start a task that runs until it is cancelled.

        Parameters
        ----------
        name
            Name of the task in the log and the metrics.
        """
        task = start_running(
            functools.partial(never_ending, action),
            name,
            self.log,
            functools.partial(self.failed.add, name),
        )
        self._tasks.append(task)

    async def cancel(self) -> None:
        """Cancel all tasks, and wait for their ends for a bounded time."""
        await cancel_all(self._tasks, TASKS_END_SECONDS, self.log)
