"""The retry budget, and what callers receive when endpoints die at once."""

import math
import random

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from sycamore_core.decisions.retries import (
    BALANCE_SECONDS,
    LONGEST_BACKOFF,
    MAX_ATTEMPTS,
    QUIET_RETRIES,
    RETRY_SHARE,
    RetryBudget,
    RetryVerdict,
)
from sycamore_core.states import Execution, RefusalReason, RetryReason

from .builders_placement import build_request
from .builders_retries import (
    AtOnce,
    Budgeted,
    Never,
    Outage,
    RetryModel,
    build_failure,
)

SIZE = 30
NEARLY_ALL = 0.95
NEARLY_NONE = 0.05
MOST = 0.9
OUTAGE = Outage(30, 50, frozenset(range(SIZE // 3)))


def decide(budget=None, now=0, draw=0.5, **changes):
    budget = RetryBudget() if budget is None else budget
    return budget.decide(build_failure(**changes), now, lambda: draw)


@pytest.mark.parametrize('execution', [Execution.UNKNOWN, Execution.RAN])
def test_non_idempotent_in_doubt_is_never_tried_again(execution):
    """An endpoint dies after it took a deposit, before it answered.

    Tried again elsewhere, the deposit would be charged twice.
    """
    request = build_request(idempotent=False)
    decided = decide(request=request, execution=execution)
    assert decided.verdict == RetryVerdict.IN_DOUBT
    assert decided.refusal == RefusalReason.OUTCOME_UNKNOWN


def test_non_idempotent_that_did_not_run_is_tried_again():
    request = build_request(idempotent=False)
    assert decide(request=request).verdict == RetryVerdict.RETRY


@pytest.mark.parametrize('draw', [0, 0.5, 1])
def test_the_wait_of_the_endpoint_is_kept(draw):
    decided = decide(retry_after=3, draw=draw, now=10)
    assert decided.not_before >= 13


@pytest.mark.parametrize('needed', [0, 5])
def test_never_past_the_deadline(needed):
    request = build_request(deadline=20)
    decided = decide(
        request=request,
        retry_after=19.9 - needed,
        needed_seconds=needed,
        draw=1,
    )
    assert decided.verdict == RetryVerdict.DEADLINE
    assert decided.retry_after >= 14


def test_waits_grow_to_a_bound_and_differ():
    waits = [
        decide(reason=RetryReason.DECLINED, attempt=number, draw=1).not_before
        for number in range(1, 40)
    ]
    assert waits == sorted(waits)
    assert waits[-1] == LONGEST_BACKOFF
    assert decide(draw=0.1).not_before < decide(draw=0.9).not_before


def test_attempts_end():
    assert decide(attempt=MAX_ATTEMPTS).refusal == RefusalReason.BACKEND_FAILED


def test_declined_offers_cost_nothing():
    budget = RetryBudget()
    for _ in range(100):
        decided = decide(budget, reason=RetryReason.DECLINED)
        assert decided.verdict == RetryVerdict.RETRY
    assert budget.left(0) == QUIET_RETRIES


def test_a_quiet_site_gets_its_retries_back():
    budget = RetryBudget()
    verdicts = [decide(budget).verdict for _ in range(4)]
    assert verdicts[-1] == RetryVerdict.BUDGET_SPENT
    assert decide(budget, now=BALANCE_SECONDS).verdict == RetryVerdict.RETRY


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Retries stay within what first tries and time have paid for."""

    def __init__(self):
        super().__init__()
        self.budget = RetryBudget()
        self.now = 0
        self.first_tries = 0
        self.retries = 0

    @stateful.rule(count=st.integers(1, 200))
    def first_try(self, count):
        self.first_tries += count
        for _ in range(count):
            self.budget.first_try(self.now)

    @stateful.rule(count=st.integers(1, 200))
    def answer(self, count):
        for _ in range(count):
            self.budget.answered(self.now)

    @stateful.rule(seconds=st.floats(0, 60))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(
        count=st.integers(1, 60),
        execution=st.sampled_from(Execution),
        idempotent=st.booleans(),
        draw=st.floats(0, 1),
        left=st.floats(-1, 10),
    )
    def fail(self, count, execution, idempotent, draw, left):
        request = build_request(
            idempotent=idempotent,
            deadline=self.now + left,
        )
        for _ in range(count):
            decided = decide(
                self.budget,
                self.now,
                draw,
                request=request,
                execution=execution,
            )
            if decided.verdict == RetryVerdict.RETRY:
                self.retries += 1
                assert self.now <= decided.not_before < request.deadline
                assert idempotent or execution == Execution.NOT_RUN
            else:
                assert decided.refusal is not None

    @stateful.invariant()
    def within_budget(self):
        quiet = QUIET_RETRIES * (1 + self.now / BALANCE_SECONDS)
        paid = quiet + RETRY_SHARE * self.first_tries
        assert self.retries <= math.ceil(paid)


TestBudget = BudgetMachine.TestCase
TestBudget.settings = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=30,
    deadline=None,
)


def run_outage(policy, seed, load):
    model = RetryModel(SIZE, policy, OUTAGE, seed)
    model.run(load * SIZE, seconds=120)
    return model


def build_budgeted(seed):
    return Budgeted(random.Random(seed).random)


@pytest.mark.parametrize('seed', [1, 2, 3, 4])
def test_a_third_of_the_endpoints_dies(seed):
    """Ten of thirty endpoints die for twenty seconds at four fifths load.

    What is left can serve five callers in six. If each failed attempt is
    repeated at once, callers time out behind the repeats of others, and they
    go on to do so when the endpoints are back.
    """
    naive = run_outage(AtOnce(), seed, load=0.8)
    budgeted = run_outage(build_budgeted(seed), seed, load=0.8)
    assert naive.answered_share(70, 120) < NEARLY_NONE
    assert budgeted.answered_share(70, 120) > NEARLY_ALL
    assert budgeted.attempts < len(budgeted.arrivals) * 1.05


@pytest.mark.parametrize('seed', [1, 2, 3, 4])
def test_what_was_in_progress_is_answered_elsewhere(seed):
    """Ten of thirty endpoints die while the others have room.

    Without retries, a caller in six loses the answer in progress.
    """
    never = run_outage(Never(), seed, load=0.5)
    budgeted = run_outage(build_budgeted(seed), seed, load=0.5)
    assert budgeted.answered_share(28, 35) > MOST
    assert never.answered_share(28, 35) < MOST
