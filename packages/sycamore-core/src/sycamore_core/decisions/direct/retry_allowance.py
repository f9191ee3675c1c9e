"""Retry budget: how many requests may be sent to another endpoint.

Load pattern: a third of the endpoints crash at the same moment, and each
request that ran there is retried at endpoints that are already busy.

Without this, retries add to the first attempts, more of them fail in turn, and
the load stays above capacity after the original failure is over. The operator
limits the retries of all entries together. Because entries may be partitioned
from each other, each entry uses only its own share of the limit and needs no
coordination.
"""

from collections import deque

import msgspec

from .fleet_size import FleetSize


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


#: Fraction of the limit that entries use. Their windows begin at other moments
#: than the operator's, and other entries may have joined unnoticed.
_USABLE_FRACTION = 0.7


class RetryBudgetState(msgspec.Struct, frozen=True, kw_only=True):
    """What a decision of a retry budget is based on.

    Attributes
    ----------
    spent
        Retries in the window.
    permitted
        Retries that are permitted in the window.
    first_attempts
        First attempts in the window.
    entries
        Number of entries by which the slack is divided; None if the entry does
        not know them, and the slack is not used.
    """

    spent: int
    permitted: float
    first_attempts: int
    entries: int | None

    @property
    def left(self) -> float:
        """Number of retries left."""
        return max(0, self.permitted - self.spent)

    def log_fields(self) -> dict[str, float | None]:
        """Return the fields of a log line."""
        return {
            'budget_spent': self.spent,
            'budget_permitted': round(self.permitted, 1),
            'budget_first_attempts': self.first_attempts,
            'budget_entries': self.entries,
        }


class SharedRetryBudget:
    """Retries that this entry may send for one service.

    Attributes
    ----------
    bounds
        The operator's limit.
    first_attempts
        Times of the first attempts in the window.
    retries
        Times of the retries in the window.
    fleet
        Number of entries that share the limit.
    started_at
        When the process of the entry started, in seconds.

    Examples
    --------
    >>> fleet = FleetSize()
    >>> fleet.observe(2, is_discovered=True)
    >>> bounds = RetryBudgetLimit(ratio=0, slack=4)
    >>> budget = SharedRetryBudget(bounds, fleet, started_at=0)
    >>> [budget.try_acquire(now=0) for _ in range(2)]
    [True, False]
    """

    def __init__(
        self,
        bounds: RetryBudgetLimit,
        fleet: FleetSize,
        started_at: float,
    ) -> None:
        self.bounds = bounds
        self.fleet = fleet
        self.started_at = started_at
        self.first_attempts: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_first_attempt(self, now: float) -> None:
        """Record the first attempt of a request."""
        self.first_attempts.append(now)
        self._drop_expired(now)

    def try_acquire(self, now: float) -> bool:
        """Consume one retry of the budget; return whether one was left."""
        has_capacity = self.has_capacity(now)
        if has_capacity:
            self.retries.append(now)
        return has_capacity

    def has_capacity(self, now: float) -> bool:
        """Return whether a retry would be permitted, without consuming it."""
        state = self.state(now)
        return state.spent + 1 <= state.permitted

    def state(self, now: float) -> RetryBudgetState:
        """Return what the next decision is based on."""
        self._drop_expired(now)
        entries = self.fleet.divisor
        slack = 0 if entries is None else self.bounds.slack / entries
        max_retries = slack + self.bounds.ratio * len(self.first_attempts)
        return RetryBudgetState(
            spent=len(self.retries),
            permitted=max_retries * _USABLE_FRACTION,
            first_attempts=len(self.first_attempts),
            entries=entries,
        )

    def _drop_expired(self, now: float) -> None:
        start = now - self.bounds.window
        for times in (self.first_attempts, self.retries):
            while times and times[0] < start:
                times.popleft()
