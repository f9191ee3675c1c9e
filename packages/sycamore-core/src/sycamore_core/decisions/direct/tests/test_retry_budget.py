"""Largest numbers of retries that budgets permit in a window."""

from itertools import repeat

import pytest

from ..fleet_size import FleetSize
from ..retry_budget import RetryBudgetLimit, SharedRetryBudget
from .builders_budgets import BudgetResult

WITHOUT_SLACK = RetryBudgetLimit(ratio=0.2, slack=0, window=10)
WITHOUT_RATIO = RetryBudgetLimit(ratio=0, slack=100, window=10)
STEP_SECONDS = 0.05


def known(entries: int) -> FleetSize:
    size = FleetSize()
    size.observe(entries, is_discovered=True)
    return size


def spend(budget: SharedRetryBudget, now: float) -> int:
    """Return the number of retries that a budget grants at a time."""
    granted = 0
    while budget.try_acquire(now):
        granted += 1
    return granted


def spend_until(
    budget: SharedRetryBudget,
    begin: float,
    end: float,
) -> list[float]:
    """Use a budget up again and again; return the times of the retries."""
    times = []
    for step in range(int((end - begin) / STEP_SECONDS) + 1):
        now = begin + step * STEP_SECONDS
        times += repeat(now, spend(budget, now))
    return times


def test_two_bursts_of_requests_earn_the_ratio_of_one() -> None:
    """Guards against retries of two bursts that arrive in one window.

    The retries of the first burst are decided as late as possible and delayed
    as long as possible.
    """
    budget = SharedRetryBudget(WITHOUT_SLACK, known(1), started_at=0)
    for _ in range(100):
        budget.record_first_attempt(100)
    late = list(repeat(110, spend(budget, 106)))
    for _ in range(100):
        budget.record_first_attempt(120)
    early = list(repeat(120, spend(budget, 120)))
    result = BudgetResult(
        first_attempts=[*repeat(100, 100), *repeat(120, 100)],
        retries=late + early,
        wanted=0,
    )
    assert len(late) == len(early) == 10
    assert result.largest_excess(WITHOUT_SLACK) <= 0


@pytest.mark.parametrize('lifetime_seconds', [0.5, 3, 100])
def test_reserves_of_all_processes_stay_within_the_slack(
    lifetime_seconds: float,
) -> None:
    """Guards against reserves that are used up, held back and filled again.

    Three entries know each other. A fourth one knows them, but they have not
    heard of it. Retries decided in the first four seconds arrive together
    with those of the next ten.
    """
    retries = []
    for entries in (3, 3, 3, 4):
        begin: float = 100
        started_at: float = 0
        while begin < 114:
            end = min(114, begin + lifetime_seconds)
            budget = SharedRetryBudget(
                WITHOUT_RATIO, known(entries), started_at
            )
            retries += spend_until(budget, begin, end)
            begin = end
            started_at = end
    assert len(retries) <= WITHOUT_RATIO.slack


def test_small_share_permits_retries_together_with_earned_ones() -> None:
    """Guards against a large fleet in which no entry may ever retry."""
    limit = RetryBudgetLimit(ratio=0.2, slack=100, window=10)
    budget = SharedRetryBudget(limit, known(350), started_at=0)
    for _ in range(10):
        budget.record_first_attempt(100)
    assert spend(budget, 100) == 1


def test_unused_earned_retries_expire() -> None:
    budget = SharedRetryBudget(WITHOUT_SLACK, known(1), started_at=0)
    for _ in range(100):
        budget.record_first_attempt(100)
    assert spend(budget, 106.1) == 0


def test_reserve_is_empty_at_the_start_of_a_process() -> None:
    """Guards against a new share for each start of a process."""
    budget = SharedRetryBudget(WITHOUT_RATIO, known(4), started_at=100)
    assert spend(budget, 100) == 0
    assert spend(budget, 110) > 0
