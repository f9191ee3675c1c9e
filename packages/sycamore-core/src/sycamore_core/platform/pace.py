"""How often the platform's services are read."""

import msgspec


class ReadPace(msgspec.Struct, frozen=True, kw_only=True):
    """Times between reads of the settings service, in seconds.

    Attributes
    ----------
    wait
        How long one watch waits. It bounds the age of a confirmed view, and
        with the number of readers gives the reads a second.
    interval
        Least time between the starts of two reads, so that a service that
        answers every watch at once is not read in a loop.
    recheck
        Time between reads of the version in force itself, which find another
        tree published under its number, or a valid one in place of one that
        was refused. Each costs one body, up to a megabyte, hence so rarely.
    first_back_off, longest_back_off
        Bounds of the time to the next try after failures; it doubles.
    """

    wait: float = 5
    interval: float = 0.2
    recheck: float = 60
    first_back_off: float = 0.25
    longest_back_off: float = 10

    def back_off(self, failures: int, draw: float) -> float:
        """Return how long to wait after `failures` in a row, in seconds.

        Parameters
        ----------
        draw
            A random number from 0 to 1. Without it all processes that saw
            the service go would come back in step.

        Examples
        --------
        >>> ReadPace().back_off(1, 1), ReadPace().back_off(3, 0)
        (0.25, 0.5)
        """
        longest = self.first_back_off
        for _ in range(failures - 1):
            longest = min(longest * 2, self.longest_back_off)
        return longest * (1 + draw) / 2
