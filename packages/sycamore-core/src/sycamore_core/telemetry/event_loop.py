"""Detects that an event loop runs its callbacks late.

An entry whose loop is late answers late, although each of its decisions was
made in time. The log line says whether the process used the processor itself,
or what it waited for.
"""

import asyncio
from collections.abc import Callable

from ..clock import Clock
from .logs import Log
from .process_times import ProcessTimes

#: Interval of the checks, in seconds.
CHECK_SECONDS = 0.25
#: Lateness that is logged, in seconds.
LATE_SECONDS = 0.25


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

    async def run(self) -> None:
        """Check the event loop at regular intervals, until cancelled."""
        while True:
            began = self.clock.monotonic()
            before = self.read_times()
            await asyncio.sleep(CHECK_SECONDS)
            self._check(self.clock.monotonic() - began, before)

    def _check(self, seconds: float, before: ProcessTimes) -> None:
        late_seconds = max(0, seconds - CHECK_SECONDS)
        self.worst_seconds = max(self.worst_seconds, late_seconds)
        self.observe(late_seconds)
        if late_seconds < LATE_SECONDS:
            return
        period = self.read_times().since(before)
        self.log.warning(
            'event_loop_late',
            late_seconds=round(late_seconds, 3),
            cause=period.main_cause(late_seconds),
            **period.log_fields(),
        )
