"""Detects that an event loop runs its callbacks late.

An entry whose loop is late answers late, although each of its decisions was
made in time. The log line says whether the process used the processor itself,
or what it waited for.
"""

import asyncio
import signal
from collections.abc import Callable

from ..clock import Clock
from .logs import Log
from .process_times import DelayCause, ProcessTimes

#: Interval of the checks, in seconds.
CHECK_SECONDS = 0.25
#: Lateness that is logged, in seconds.
LATE_SECONDS = 0.25
#: Time in which the handlers of signals that have arrived run, in seconds.
_SIGNAL_SECONDS = 0.01


class EventLoopWatch:
    """Measures how late the event loop of a process is.

    Parameters
    ----------
    observe
        Called with the lateness of each check, in seconds.

    Attributes
    ----------
    worst_seconds
        The greatest lateness so far.
    """

    def __init__(
        self,
        clock: Clock,
        log: Log,
        observe: Callable[[float], None],
        read_times: Callable[[], ProcessTimes] = ProcessTimes.read,
    ) -> None:
        self.clock = clock
        self.log = log
        self.observe = observe
        self.read_times = read_times
        self.worst_seconds: float = 0
        self._was_stopped = False

    async def run(self) -> None:
        """Check the event loop at regular intervals, until cancelled."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGCONT, self._record_continued)
        while True:
            self._was_stopped = False
            began = self.clock.monotonic()
            before = self.read_times()
            await asyncio.sleep(CHECK_SECONDS)
            seconds = self.clock.monotonic() - began
            await self._check(max(0, seconds - CHECK_SECONDS), before)

    async def _check(self, late_seconds: float, before: ProcessTimes) -> None:
        self.worst_seconds = max(self.worst_seconds, late_seconds)
        self.observe(late_seconds)
        if late_seconds < LATE_SECONDS:
            return
        period = self.read_times().since(before)
        # Timers that are due run before the handlers of signals.
        await asyncio.sleep(_SIGNAL_SECONDS)
        cause = period.main_cause(late_seconds)
        if self._was_stopped:
            cause = DelayCause.WAS_STOPPED
        self.log.warning(
            'event_loop_late',
            late_seconds=round(late_seconds, 3),
            cause=cause,
            **period.log_fields(),
        )

    def _record_continued(self) -> None:
        self._was_stopped = True
