"""What a stopping process measures and logs about its stop."""

import asyncio

from sycamore_core.clock import Clock
from sycamore_core.telemetry import Log

from .callers.caller import CallerConnections


class StopRecord:
    """Measures a stop.

    Parameters
    ----------
    began
        When the stop signal arrived, on the monotonic clock, in seconds.

    Attributes
    ----------
    late_seconds
        The greatest lateness of the event loop during the stop.
    answered
        Exchanges without an answer that the forced end has answered.
    answer_seconds
        Time in which their answers were written.
    cut
        Exchanges whose answers had begun and were cut.
    """

    def __init__(self, clock: Clock, began: float) -> None:
        self.clock = clock
        self.began = began
        self.log = Log('process')
        self.late_seconds: float = 0
        self.answered = 0
        self.answer_seconds: float = 0
        self.cut = 0

    @property
    def seconds(self) -> float:
        """Return the time since the stop signal, in seconds."""
        return self.clock.monotonic() - self.began

    async def pause(self, seconds: float) -> None:
        """Sleep, and measure how late the event loop wakes up."""
        due = self.clock.monotonic() + seconds
        await asyncio.sleep(seconds)
        late_seconds = self.clock.monotonic() - due
        self.late_seconds = max(self.late_seconds, late_seconds)

    def count_answers(self, answers: int, seconds: float) -> None:
        """Count answers of the forced end, and the time that they took."""
        self.answered += answers
        self.answer_seconds += seconds

    def log_begin(self, connections: CallerConnections) -> None:
        """Log that the stop begins, and how late the signal was handled."""
        self.log.info(
            'stopping',
            exchanges=len(connections.tasks),
            connections=len(connections.open),
            signal_late_seconds=_rounded(self.seconds),
        )

    def log_forced(self, connections: CallerConnections) -> None:
        """Log that the requests which are open are ended."""
        self.log.info(
            'stop_forced',
            exchanges=len(connections.tasks),
            incomplete_bodies=len(connections.reading),
            connections=len(connections.open),
            **self._times(),
        )

    def log_end(self, entry: str, connections: CallerConnections) -> None:
        """Log that the process ends, and what it leaves open."""
        self.log.info(
            'stopped',
            entry=entry,
            answered=self.answered,
            answer_seconds=_rounded(self.answer_seconds),
            cut=self.cut,
            exchanges=len(connections.tasks),
            connections=len(connections.open),
            **self._times(),
        )

    def _times(self) -> dict[str, float]:
        return {
            'seconds': _rounded(self.seconds),
            'late_seconds': _rounded(self.late_seconds),
        }


def _rounded(seconds: float) -> float:
    return round(seconds, 3)
