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

A retry may be reserved by a permit before it is decided, so that an attempt is
given up only if another one can follow. The proof holds for the moment at which
a permit is used, whenever it was taken: what first attempts earned expires for
permits as well, and what permits have taken from the reserve still counts
against its capacity. A permit that is given back leaves the budget as if it had
never been taken.
"""

import msgspec

from .fleet_size import FleetSize
from .unused_attempts import AttemptPart, UnusedAttempts

#: Longest time from the decision of a retry to its arrival, in windows. Within
#: 4 s of a window of 10 s it waits for a place, connects, and is delivered or
#: given up by the operating system.
MAX_DELAY_FRACTION = 0.4
#: Part of that time in which the request waits for a place, in windows. The
#: rest is for the connection and the operating system.
_PLACING_FRACTION = 0.05
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

    @property
    def placing_seconds(self) -> float:
        """Return how long a retry may wait for a place, in seconds.

        A retry that has waited for longer needs another retry of the budget.
        """
        return self.window * _PLACING_FRACTION

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
    held
        Number of permits that are neither used nor given back. Their retries
        are not among those left.
    """

    earned: float
    reserve: float
    capacity: float
    entries: int | None
    held: int = 0

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
            'budget_held': self.held,
        }


class RetryPermit(msgspec.Struct, frozen=True, kw_only=True):
    """One retry that is reserved for an attempt.

    Attributes
    ----------
    earned
        First attempts that have earned a part of the retry.
    from_reserve
        Part of the retry that is taken from the reserve, from 0 to 1.
    """

    earned: tuple[AttemptPart, ...]
    from_reserve: float

    def unexpired(self, start: float) -> tuple[AttemptPart, ...]:
        """Return the first attempts from a time on, in seconds."""
        return tuple(one for one in self.earned if one.at >= start)


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
    held
        Permits that are neither used nor given back.

    Examples
    --------
    >>> fleet = FleetSize()
    >>> fleet.observe(2, is_discovered=True)
    >>> bounds = RetryBudgetLimit(ratio=0, slack=5)
    >>> budget = SharedRetryBudget(bounds, fleet, started_at=0)
    >>> budget.try_acquire(now=0), budget.try_acquire(now=20)
    (False, True)
    >>> permit = budget.acquire(now=40)
    >>> budget.acquire(now=40) is None, budget.use(permit, now=41)
    (True, True)
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
        self.held: list[RetryPermit] = []
        self._unused = UnusedAttempts()

    def record_first_attempt(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._drop_expired(now)
        self._unused.add(now)

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

    def acquire(self, now: float) -> RetryPermit | None:
        """Reserve one retry; return None if none is left.

        Each permit must be used or given back once.
        """
        if not self.has_capacity(now):
            return None
        permit = self._consume()
        self.held.append(permit)
        return permit

    def use(self, permit: RetryPermit, now: float) -> bool:
        """Consume a reserved retry; return whether it is still permitted.

        What the permit stands for may have expired, or the share of the entry
        may have become smaller. Another retry is consumed then if one is left.
        """
        self._drop_expired(now)
        self._fill(now)
        is_covered = self._held_reserve <= self._capacity
        is_unexpired = permit.unexpired(self._earned_from(now)) == permit.earned
        if is_covered and is_unexpired:
            self.held.remove(permit)
            return True
        self.give_back(permit, now)
        return self.try_acquire(now)

    def give_back(self, permit: RetryPermit, now: float) -> None:
        """Return a reserved retry that is not used.

        What has expired meanwhile, or exceeds the capacity, is lost.
        """
        self._drop_expired(now)
        self._fill(now)
        self.held.remove(permit)
        self._unused.put_back(permit.unexpired(self._earned_from(now)))
        self.reserve = min(self._room, self.reserve + permit.from_reserve)

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
            held=len(self.held),
        )

    @property
    def _earned(self) -> float:
        return self.bounds.earned_per_request * self._unused.count

    @property
    def _capacity(self) -> float:
        entries = self.fleet.divisor
        return 0 if entries is None else self.bounds.reserve_capacity(entries)

    @property
    def _held_reserve(self) -> float:
        """Return what permits have taken from the reserve."""
        return sum(permit.from_reserve for permit in self.held)

    @property
    def _room(self) -> float:
        """Return the largest reserve beside the permits."""
        return max(0, self._capacity - self._held_reserve)

    def _consume(self) -> RetryPermit:
        """Use what was earned before the reserve, because it expires."""
        earned = min(1, self._earned)
        from_reserve = min(self.reserve, 1 - earned)
        self.reserve -= from_reserve
        parts: tuple[AttemptPart, ...] = ()
        if earned:
            parts = self._unused.take(earned / self.bounds.earned_per_request)
        return RetryPermit(earned=parts, from_reserve=from_reserve)

    def _fill(self, now: float) -> None:
        """Fill the reserve for the time since the last call, or the start."""
        entries = self.fleet.divisor
        if entries is None or now < self.filled_at:
            return
        added = (now - self.filled_at) * self.bounds.reserve_rate(entries)
        self.reserve = min(self._room, self.reserve + added)
        self.filled_at = now

    def _drop_expired(self, now: float) -> None:
        self._unused.drop_before(self._earned_from(now))

    def _earned_from(self, now: float) -> float:
        """Return the time from which first attempts earn retries."""
        return now - self.bounds.earned_seconds
