"""Retry budget: how many requests may be sent to another endpoint.

Load pattern: a third of the endpoints crash at the same moment, and each
request that ran there is retried at endpoints that are already busy. Entries
restart meanwhile, are cut off from each other, or are added.

Without this, retries add to the first attempts, more of them fail in turn, and
the load stays above capacity after the original failure is over. The operator
limits the retries of all entries together: in each window, a ratio of the
requests, counted in the window or in the one before it, plus a slack.

Entries may be partitioned from each other and may restart at any time, so a
process uses only what it has gained since its own start, without coordination:

- Each first attempt earns half of the ratio, for six tenths of a window.
- A reserve is filled over time from the entry's share of the slack. It is
  empty at the start, because an earlier process of the entry may have used its
  share.

The retries of all processes of all entries stay within the limit. Those that
arrive in a window were decided in it or up to four tenths of a window before.

- They are earned by first attempts from one window before the window to its
  end. These span two windows, so the requests of one of them are at least half
  of them.
- From the reserves, they take what the processes had in reserve at the first
  of these moments, the capacity of each entry at most, and what was filled in
  after it. The processes of one entry live one after the other, so this is
  what 1.4 windows fill in at most, for any number of starts. Capacity and
  filling add up to the share of the entry.
"""

from collections import deque

import msgspec

from .fleet_size import FleetSize

#: Longest time from the decision of a retry to its arrival, in windows. Within
#: 4 s of a window of 10 s it waits for a place, connects, and is delivered or
#: given up by the operating system.
MAX_DELAY_FRACTION = 0.4
#: Fraction of the slack that entries use. The rest is for entries that were
#: added and that the others have not heard of: up to one for each three.
_USABLE_FRACTION = 0.8
#: Fraction of an entry's share that it may use at once. The rest is filled in
#: over time.
_CAPACITY_FRACTION = 0.6


class RetryBudgetLimit(msgspec.Struct, frozen=True, kw_only=True):
    """The operator's limit on retries, for all entries together.

    Attributes
    ----------
    ratio
        Retries for each first attempt in a window.
    slack
        Additional retries in a window.
    window
        Length of the window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 100
    window: float = 10

    @property
    def earned_per_request(self) -> float:
        """Return the retries that one first attempt earns."""
        return self.ratio / 2

    @property
    def earned_seconds(self) -> float:
        """Return how long earned retries may be used, in seconds."""
        return self.window * (1 - MAX_DELAY_FRACTION)

    def reserve_capacity(self, entries: int) -> float:
        """Return the retries that an entry may hold in reserve."""
        return self._share(entries) * _CAPACITY_FRACTION

    def reserve_rate(self, entries: int) -> float:
        """Return the retries per second by which a reserve is filled.

        Retries of a window may be decided in it or in the longest delay before
        it, so that what is filled in during both may arrive in that window.
        """
        filled = self._share(entries) * (1 - _CAPACITY_FRACTION)
        return filled / (self.window * (1 + MAX_DELAY_FRACTION))

    def _share(self, entries: int) -> float:
        return self.slack * _USABLE_FRACTION / entries


class RetryBudgetState(msgspec.Struct, frozen=True, kw_only=True):
    """What a decision of a retry budget is based on.

    Attributes
    ----------
    earned
        Retries left that first attempts have earned.
    reserve
        Retries left in the reserve.
    capacity
        Largest possible reserve.
    entries
        Number of entries by which the slack is divided; None if the entry does
        not know them, and the slack is not used.
    """

    earned: float
    reserve: float
    capacity: float
    entries: int | None

    @property
    def left(self) -> float:
        """Number of retries left."""
        return self.earned + self.reserve

    def log_fields(self) -> dict[str, float | None]:
        """Return the fields of a log line."""
        return {
            'budget_earned': round(self.earned, 2),
            'budget_reserve': round(self.reserve, 2),
            'budget_capacity': round(self.capacity, 2),
            'budget_entries': self.entries,
        }


class SharedRetryBudget:
    """Retries that this entry may send for one service.

    Parameters
    ----------
    started_at
        When the process of the entry started, in seconds.

    Attributes
    ----------
    bounds
        The operator's limit.
    fleet
        Number of entries that share the limit.
    reserve
        Retries in the reserve.
    filled_at
        Time up to which the reserve is filled, in seconds.

    Examples
    --------
    >>> fleet = FleetSize()
    >>> fleet.observe(2, is_discovered=True)
    >>> bounds = RetryBudgetLimit(ratio=0, slack=5)
    >>> budget = SharedRetryBudget(bounds, fleet, started_at=0)
    >>> budget.try_acquire(now=0), budget.try_acquire(now=20)
    (False, True)
    """

    def __init__(
        self,
        bounds: RetryBudgetLimit,
        fleet: FleetSize,
        started_at: float,
    ) -> None:
        self.bounds = bounds
        self.fleet = fleet
        self.reserve: float = 0
        self.filled_at = started_at
        self._first_attempts: deque[float] = deque()
        # Part of the oldest first attempt whose retries are used, below 1.
        self._used: float = 0

    def record_first_attempt(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._drop_expired(now)
        self._first_attempts.append(now)

    def try_acquire(self, now: float) -> bool:
        """Consume one retry of the budget; return whether one was left."""
        has_capacity = self.has_capacity(now)
        if has_capacity:
            self._consume()
        return has_capacity

    def has_capacity(self, now: float) -> bool:
        """Return whether a retry would be permitted, without consuming it."""
        self._drop_expired(now)
        self._fill(now)
        return self._earned + self.reserve >= 1

    def state(self, now: float) -> RetryBudgetState:
        """Return what the next decision is based on."""
        self._drop_expired(now)
        self._fill(now)
        entries = self.fleet.divisor
        return RetryBudgetState(
            earned=self._earned,
            reserve=self.reserve,
            capacity=self._capacity,
            entries=entries,
        )

    @property
    def _earned(self) -> float:
        return self.bounds.earned_per_request * (
            len(self._first_attempts) - self._used
        )

    @property
    def _capacity(self) -> float:
        entries = self.fleet.divisor
        return 0 if entries is None else self.bounds.reserve_capacity(entries)

    def _consume(self) -> None:
        """Use what was earned before the reserve, because it expires."""
        earned = min(1, self._earned)
        self.reserve = max(0, self.reserve - (1 - earned))
        if earned:
            self._used += earned / self.bounds.earned_per_request
        while self._used >= 1:
            self._first_attempts.popleft()
            self._used -= 1

    def _fill(self, now: float) -> None:
        """Fill the reserve for the time since the last call, or the start."""
        entries = self.fleet.divisor
        if entries is None or now < self.filled_at:
            return
        added = (now - self.filled_at) * self.bounds.reserve_rate(entries)
        self.reserve = min(self._capacity, self.reserve + added)
        self.filled_at = now

    def _drop_expired(self, now: float) -> None:
        start = now - self.bounds.earned_seconds
        while self._first_attempts and self._first_attempts[0] < start:
            self._first_attempts.popleft()
            self._used = max(0, self._used - 1)
