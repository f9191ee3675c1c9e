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


@pytest.mark.parametrize('limit', [WITHOUT_SLACK, WITHOUT_RATIO])
def test_permit_that_is_given_back_leaves_the_budget_as_it_was(
    limit: RetryBudgetLimit,
) -> None:
    """Guards against retries that are lost with each attempt that stays."""
    budget, untouched = (
        SharedRetryBudget(limit, known(1), started_at=0) for _ in range(2)
    )
    for one in (budget, untouched):
        for number in range(100):
            one.record_first_attempt(100 + number / 100)
    permits = [budget.acquire(101) for _ in range(7)]
    for permit in reversed(permits):
        assert permit is not None
        budget.give_back(permit, 102)
    assert budget.state(102) == untouched.state(102)
    left = spend(untouched, 106.5)
    assert left > 0
    assert spend(budget, 106.5) == left


def test_held_permit_cannot_be_taken_by_another_attempt() -> None:
    """Guards against one retry that is promised to several attempts."""
    budget = SharedRetryBudget(WITHOUT_SLACK, known(1), started_at=0)
    for _ in range(10):
        budget.record_first_attempt(100)
    permit = budget.acquire(100)
    assert permit is not None
    assert budget.acquire(100) is None
    assert not budget.try_acquire(100)
    assert budget.use(permit, 100)
    assert not budget.held


def test_permit_expires_with_the_requests_that_earned_it() -> None:
    """Guards against retries that arrive long after the requests."""
    budget = SharedRetryBudget(WITHOUT_SLACK, known(1), started_at=0)
    for _ in range(20):
        budget.record_first_attempt(100)
    late, unused = budget.acquire(100), budget.acquire(100)
    assert late is not None and unused is not None
    assert not budget.use(late, 106.1)
    budget.give_back(unused, 106.1)
    assert spend(budget, 106.1) == 0


def test_permits_of_three_bursts_stay_within_the_ratio() -> None:
    """Guards against permits that are held and used together."""
    budget = SharedRetryBudget(WITHOUT_SLACK, known(1), started_at=0)
    bursts = (100, 111, 122)
    held = []
    for begin in bursts:
        for _ in range(100):
            budget.record_first_attempt(begin)
        held += [budget.acquire(begin) for _ in range(10)]
    permits = [permit for permit in held if permit is not None]
    result = BudgetResult(
        first_attempts=[at for at in bursts for _ in range(100)],
        retries=[122 for permit in permits if budget.use(permit, 122)],
        wanted=0,
    )
    assert len(permits) == 30
    assert result.largest_excess(WITHOUT_SLACK) <= 0


def test_reserve_does_not_fill_up_beside_held_permits() -> None:
    """Guards against an entry that holds permits and a full reserve."""
    budget = SharedRetryBudget(WITHOUT_RATIO, known(1), started_at=0)
    taken = [budget.acquire(100) for _ in range(100)]
    held = [permit for permit in taken if permit is not None]
    capacity = WITHOUT_RATIO.reserve_capacity(1)
    assert len(held) == int(capacity)
    assert spend(budget, 200) == 0
    for permit in held:
        budget.give_back(permit, 200)
    assert budget.reserve <= capacity


def test_permits_beyond_a_smaller_share_are_not_used() -> None:
    """Guards against permits that outlast the growth of the fleet."""
    fleet = known(1)
    budget = SharedRetryBudget(WITHOUT_RATIO, fleet, started_at=0)
    held = [budget.acquire(100) for _ in range(40)]
    fleet.observe(4, is_discovered=True)
    used = [budget.use(permit, 100) for permit in held if permit is not None]
    assert sum(used) == int(WITHOUT_RATIO.reserve_capacity(4))
