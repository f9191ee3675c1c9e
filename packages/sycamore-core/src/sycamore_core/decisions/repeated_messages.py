"""Which of many equal messages are written to the log.

Load pattern: a faulty input makes a library report the same error dozens of
times a second, for as long as the input is there.

Without this, such messages fill the log and displace the lines about requests.
"""

#: Longest time without a line while messages arrive, in seconds.
INTERVAL_SECONDS = 60.0
#: Kinds of messages that are counted separately. Those beyond count together.
MAX_KINDS = 100
_OTHER_KINDS = 'others'


class RepeatedMessages:
    """Counts messages by kind, and selects those that are written.

    These are the first, the second, the fourth, and so on, and the first one
    after each interval.

    Examples
    --------
    >>> messages = RepeatedMessages()
    >>> [messages.record('closed', now=second) for second in range(1, 10)]
    [1, 2, 0, 4, 0, 0, 0, 8, 0]
    >>> messages.record('closed', now=8 + INTERVAL_SECONDS)
    10
    """

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._written_at: dict[str, float] = {}

    def record(self, kind: str, now: float) -> int:
        """Count a message.

        Parameters
        ----------
        now
            Time on the monotonic clock, in seconds.

        Returns
        -------
        int
            Number of messages of this kind so far if this one is written, or
            else 0.
        """
        counted = self._counted_kind(kind)
        count = self._counts.get(counted, 0) + 1
        self._counts[counted] = count
        if not self._is_written(counted, count, now):
            return 0
        self._written_at[counted] = now
        return count

    def _counted_kind(self, kind: str) -> str:
        if kind in self._counts or len(self._counts) < MAX_KINDS:
            return kind
        return _OTHER_KINDS

    def _is_written(self, kind: str, count: int, now: float) -> bool:
        is_power_of_two = count.bit_count() == 1
        written_at = self._written_at.get(kind, now)
        return is_power_of_two or now - written_at >= INTERVAL_SECONDS
