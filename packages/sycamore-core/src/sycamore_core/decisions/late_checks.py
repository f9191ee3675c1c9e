"""Checks of the silence of others, by a process that may itself be late.

Load pattern: a process is frozen, or computes, for longer than the silence
after which it gives up others.

Without this, its first check finds that everybody has been silent, although
their words lie unread in its sockets.
"""

#: Time for which a late process reads what has arrived before it judges the
#: silence of others, in seconds.
READING_SECONDS = 0.2


class LateChecks:
    """Decides whether a check that is made at intervals may judge others.

    Parameters
    ----------
    usual_seconds
        Longest interval between two checks of a process that is in time.

    Examples
    --------
    >>> checks = LateChecks(usual_seconds=0.5)
    >>> checks.record(now=10), checks.record(now=10.25)
    (True, True)
    >>> checks.record(now=14), checks.is_in_time(now=14.1)
    (False, False)
    >>> checks.record(now=14.25)
    True
    """

    def __init__(self, usual_seconds: float) -> None:
        self.usual_seconds = usual_seconds
        self._checked_at: float | None = None
        self._judges_at: float = 0

    def record(self, now: float) -> bool:
        """Record a check; return whether it may judge others.

        A process that is late each time judges at every other check.
        """
        was_reading = self._checked_at is not None and (
            self._checked_at < self._judges_at
        )
        if not was_reading and not self.is_in_time(now):
            self._judges_at = now + READING_SECONDS
        self._checked_at = now
        return now >= self._judges_at

    def is_in_time(self, now: float) -> bool:
        """Return whether the last check was recent and could judge."""
        checked_at = self._checked_at
        if checked_at is None:
            return True
        is_reading = checked_at < self._judges_at
        return not is_reading and now - checked_at <= self.usual_seconds
