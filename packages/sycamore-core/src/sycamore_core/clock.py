"""Clocks that are passed as arguments, so that tests can control time."""

import abc
import time


class Clock(abc.ABC):
    """Source of time for all timeouts and expirations."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return the time in seconds on a clock that never goes back."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since 1970.

        This clock may jump and may differ between instances.
        """


class SystemClock(Clock):
    """Reads the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return the time in seconds on the monotonic clock of the system."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since 1970 on the wall clock of the system."""
        return time.time()


class ManualClock(Clock):
    """Clock that moves only when `advance` is called.

    Parameters
    ----------
    start
        First monotonic reading, in seconds.
    wall_offset
        Wall clock minus monotonic clock, in seconds.

    Examples
    --------
    >>> clock = ManualClock(start=10)
    >>> clock.advance(2.5)
    >>> clock.monotonic()
    12.5
    """

    def __init__(self, start: float = 0, wall_offset: float = 0) -> None:
        self.now = start
        self.wall_offset = wall_offset

    def monotonic(self) -> float:
        """Return the current monotonic time, in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the current monotonic time plus the offset, in seconds."""
        return self.now + self.wall_offset

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by `seconds`."""
        self.now += seconds
