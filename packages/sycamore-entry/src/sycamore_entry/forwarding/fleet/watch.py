"""The watch of the platform for changes, whose answer may be lost."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from sycamore_core.clock import Clock
from sycamore_core.telemetry import Log

from .feed import ChangeBatch

#: Least time between two calls of one watch, in seconds. Peers repeat every
#: quarter of a second that they have a newer configuration.
REPEAT_SECONDS = 0.75

Call = Callable[[], Coroutine[Any, Any, ChangeBatch]]


class PlatformWatch:
    """Waits for the next changes, and calls again if peers know of them.

    A connection whose answer was lost may stay open. Without another call, the
    entry would hear of the change only after the end of its watch.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.log = Log('fleet')
        self._must_repeat = asyncio.Event()
        self._called_at: float = 0

    def repeat(self) -> None:
        """Call again, as a peer has a newer configuration."""
        if self.clock.monotonic() - self._called_at >= REPEAT_SECONDS:
            self._must_repeat.set()

    async def run(self, call: Call) -> ChangeBatch:
        """Return the answer of the first call that is answered.

        Parameters
        ----------
        call
            Makes one call.

        Raises
        ------
        PlatformError
            If all calls have failed; the last error.
        """
        self._must_repeat.clear()
        calls = {self._start(call)}
        repeating = asyncio.create_task(self._must_repeat.wait())
        try:
            while True:
                done, _ = await asyncio.wait(
                    {*calls, repeating}, return_when=asyncio.FIRST_COMPLETED
                )
                if repeating in done:
                    self._must_repeat.clear()
                    self.log.info('watch_repeated')
                    calls.add(self._start(call))
                    repeating = asyncio.create_task(self._must_repeat.wait())
                answered = _first_answer(calls)
                if answered is not None:
                    return answered
        finally:
            await _cancel({*calls, repeating})

    def _start(self, call: Call) -> asyncio.Task[ChangeBatch]:
        self._called_at = self.clock.monotonic()
        return asyncio.create_task(call())


def _first_answer(calls: set[asyncio.Task[ChangeBatch]]) -> ChangeBatch | None:
    """Return an answer, if there is one; drop failed calls but the last.

    Raises
    ------
    PlatformError
        If all calls have failed.
    """
    for call in tuple(calls):
        if not call.done():
            continue
        if call.exception() is None or len(calls) == 1:
            return call.result()
        calls.discard(call)
    return None


async def _cancel(tasks: set[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
