"""First attempts that have earned retries which are not used yet."""

import heapq
from collections import deque
from collections.abc import Iterable
from operator import attrgetter

import msgspec


class AttemptPart(msgspec.Struct, frozen=True):
    """A part of a first attempt whose retries are not used.

    Attributes
    ----------
    at
        Time of the first attempt, in seconds.
    part
        From 0 to 1.
    """

    at: float
    part: float = 1


class UnusedAttempts:
    """Parts of first attempts in the order of their times.

    Attributes
    ----------
    count
        Sum of the parts.

    Examples
    --------
    >>> unused = UnusedAttempts()
    >>> for at in (1, 2):
    ...     unused.add(at)
    >>> taken = unused.take(1.5)
    >>> [(one.at, one.part) for one in taken], unused.count
    ([(1, 1), (2, 0.5)], 0.5)
    >>> unused.put_back(taken)
    >>> unused.drop_before(2)
    >>> unused.count
    1.0
    """

    def __init__(self) -> None:
        self.count: float = 0
        self._parts: deque[AttemptPart] = deque()

    def add(self, at: float) -> None:
        """Add a first attempt that is not older than the others."""
        self._parts.append(AttemptPart(at))
        self.count += 1

    def take(self, count: float) -> tuple[AttemptPart, ...]:
        """Remove and return the oldest parts up to a sum."""
        taken = []
        while count > 0 and self._parts:
            oldest = self._parts.popleft()
            used = min(count, oldest.part)
            taken.append(AttemptPart(oldest.at, used))
            if used < oldest.part:
                rest = AttemptPart(oldest.at, oldest.part - used)
                self._parts.appendleft(rest)
            count -= used
            self._subtract(used)
        return tuple(taken)

    def put_back(self, parts: Iterable[AttemptPart]) -> None:
        """Add parts that were taken, each at its place."""
        merged = heapq.merge(parts, self._parts, key=attrgetter('at'))
        self._parts = deque(merged)
        self.count = sum(one.part for one in self._parts)

    def drop_before(self, start: float) -> None:
        """Remove the first attempts before a time, in seconds."""
        while self._parts and self._parts[0].at < start:
            self._subtract(self._parts.popleft().part)

    def _subtract(self, part: float) -> None:
        # Rounding errors must not add up while there is nothing left.
        self.count = self.count - part if self._parts else 0
