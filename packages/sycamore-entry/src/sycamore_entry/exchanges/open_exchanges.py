"""The tasks of the exchanges in progress, and their end by a stop."""

import asyncio
from collections.abc import Coroutine


class OpenExchanges:
    """Runs exchanges until the process waits for them no longer.

    Attributes
    ----------
    tasks
        The exchanges in progress.
    is_ended
        Whether the process waits no longer. An exchange that is cancelled then
        answers its caller.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_ended = False

    def start(
        self, exchange: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        """Start the task of an exchange."""
        task = asyncio.create_task(exchange)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def end(self, timeout: float) -> None:
        """Have all exchanges answer their callers.

        Parameters
        ----------
        timeout
            Longest time for the answers to be sent, in seconds. Callers that
            do not read may not delay the end of the process.
        """
        self.is_ended = True
        # A task that is cancelled before its first step never runs.
        await asyncio.sleep(0)
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout)
