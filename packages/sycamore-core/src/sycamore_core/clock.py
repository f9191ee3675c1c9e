"""Clocks as arguments, so that tests can turn them by hand."""

import abc
import time


class Clock(abc.ABC):
    """Source of time for everything that waits or expires."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since 1970; may jump, may differ by instance."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds on the monotonic clock of the system."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since 1970 on the wall clock of the system."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when told to.

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
        """Return the reading set by hand, in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the reading set by hand plus the offset, in seconds."""
        return self.now + self.wall_offset

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by `seconds`."""
        self.now += seconds
