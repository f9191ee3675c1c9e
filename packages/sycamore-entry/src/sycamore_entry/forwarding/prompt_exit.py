"""The last step of a process that has stopped.

Python ends all tasks of a process, and frees its modules and objects, before it
ends. On a slow machine that takes longer than what is left of the time to stop,
so that the process is killed although its work is done.
"""

import asyncio
import atexit
import os
from collections.abc import Coroutine


class PromptExit:
    """Ends a process after its exit handlers, without ending what it holds.

    Handlers that are registered later, such as that of the log, run before.

    Attributes
    ----------
    is_stopped
        Whether the process has stopped as told. After an error it ends in the
        usual way, which reports the error.
    """

    def __init__(self) -> None:
        self.is_stopped = False
        self._runner = asyncio.Runner()

    def register(self) -> None:
        """Have the process end in this way."""
        atexit.register(self._end)

    def run(self, main: Coroutine[None, None, None]) -> None:
        """Run the process until it has stopped; other tasks are left then."""
        try:
            self._runner.run(main)
        except BaseException:
            self._runner.close()
            raise
        self.is_stopped = True

    def _end(self) -> None:
        if self.is_stopped:
            os._exit(0)
