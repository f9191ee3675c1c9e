"""Time of an engine, which stands still while the engine does."""

from sycamore_core.clock import Clock

#: A driver that comes this late was paused, and so was the engine.
PAUSE_SECONDS = 1.0


class EngineClock:
    """Monotonic time without the time in which the engine stood still.

    Examples
    --------
    >>> from sycamore_core.clock import ManualClock
    >>> manual = ManualClock()
    >>> clock = EngineClock(manual)
    >>> manual.advance(5)
    >>> clock.skip(4)
    >>> clock.now()
    1.0
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.skipped: float = 0
        self.stopped_at: float | None = None

    def now(self) -> float:
        """Return the seconds that the engine worked."""
        if self.stopped_at is not None:
            return self.stopped_at
        return float(self.clock.monotonic() - self.skipped)

    def stop(self) -> None:
        """Let the engine stand still."""
        self.stopped_at = self.now()

    def go_on(self) -> None:
        """Let the engine work again if it stood still."""
        if self.stopped_at is not None:
            self.skipped = self.clock.monotonic() - self.stopped_at
        self.stopped_at = None

    def skip(self, seconds: float) -> None:
        """Leave out a time in which the engine stood still."""
        self.skipped += max(seconds, 0)
