"""Intervals between reads of the platform's settings service."""

import msgspec


class ReadSchedule(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals between reads of the settings service, in seconds.

    Attributes
    ----------
    watch_seconds
        Time for which one watch waits for a change. It bounds the age of a
        confirmed view. Together with the number of readers it determines the
        reads per second.
    min_interval_seconds
        Minimum time between the starts of two reads. It prevents a tight
        loop when the service answers every watch immediately.
    recheck_seconds
        Time between reads of the version in force itself. These reads detect
        another tree published under the same number, or a valid tree that
        replaces a refused one. Each read transfers one body of up to a
        megabyte, so they are rare.
    min_backoff_seconds, max_backoff_seconds
        Bounds of the delay before the next attempt after failures. The delay
        doubles with each failure.
    """

    watch_seconds: float = 5
    min_interval_seconds: float = 0.2
    recheck_seconds: float = 60
    min_backoff_seconds: float = 0.25
    max_backoff_seconds: float = 10

    def backoff_seconds(self, failures: int, jitter: float) -> float:
        """Return the delay after consecutive failures, in seconds.

        Parameters
        ----------
        failures
            Number of failures in a row, at least 1.
        jitter
            A random number from 0 to 1. Without jitter, all processes that
            saw the service fail would retry at the same time.

        Examples
        --------
        >>> schedule = ReadSchedule()
        >>> schedule.backoff_seconds(1, 1), schedule.backoff_seconds(3, 0)
        (0.25, 0.5)
        """
        upper_bound = self.min_backoff_seconds
        for _ in range(failures - 1):
            upper_bound = min(upper_bound * 2, self.max_backoff_seconds)
        return upper_bound * (1 + jitter) / 2
