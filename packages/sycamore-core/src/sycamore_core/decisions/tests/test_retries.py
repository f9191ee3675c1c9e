"""Tests of the retry budget, alone and in a model of failing endpoints."""

import math
import random

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from sycamore_core.decisions.retries import (
    BALANCE_DECAY_SECONDS,
    IDLE_RETRIES,
    MAX_ATTEMPTS,
    MAX_BACKOFF_SECONDS,
    RETRY_CREDIT,
    RetryBudget,
    RetryVerdict,
)
from sycamore_core.states import Execution, RefusalReason, RetryReason

from .builders_placement import build_request
from .builders_retries import (
    BudgetedRetries,
    ImmediateRetries,
    NoRetries,
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
def test_non_idempotent_request_in_doubt_is_not_retried(execution):
    """Guards against a deposit that is charged twice.

    The endpoint fails after it has accepted the request and before it answers.
    """
    request = build_request(idempotent=False)
    decision = decide(request=request, execution=execution)
    assert decision.verdict == RetryVerdict.IN_DOUBT
    assert decision.refusal == RefusalReason.OUTCOME_UNKNOWN


def test_non_idempotent_request_not_run_is_retried():
    request = build_request(idempotent=False)
    assert decide(request=request).verdict == RetryVerdict.RETRY


@pytest.mark.parametrize('draw', [0, 0.5, 1])
def test_retry_after_of_endpoint_is_respected(draw):
    decision = decide(retry_after=3, draw=draw, now=10)
    assert decision.not_before >= 13


@pytest.mark.parametrize('needed', [0, 5])
def test_no_retry_past_the_deadline(needed):
    request = build_request(deadline=20)
    decision = decide(
        request=request,
        retry_after=19.9 - needed,
        needed_seconds=needed,
        draw=1,
    )
    assert decision.verdict == RetryVerdict.DEADLINE
    assert decision.retry_after >= 14


def test_backoff_grows_to_its_limit_with_jitter():
    waits = [
        decide(reason=RetryReason.DECLINED, attempt=number, draw=1).not_before
        for number in range(1, 40)
    ]
    assert waits == sorted(waits)
    assert waits[-1] == MAX_BACKOFF_SECONDS
    assert decide(draw=0.1).not_before < decide(draw=0.9).not_before


def test_number_of_attempts_is_limited():
    assert decide(attempt=MAX_ATTEMPTS).refusal == RefusalReason.BACKEND_FAILED


def test_declined_offers_use_no_budget():
    budget = RetryBudget()
    for _ in range(100):
        decision = decide(budget, reason=RetryReason.DECLINED)
        assert decision.verdict == RetryVerdict.RETRY
    assert budget.available(0) == IDLE_RETRIES


def test_idle_entry_regains_its_retries():
    budget = RetryBudget()
    verdicts = [decide(budget).verdict for _ in range(4)]
    assert verdicts[-1] == RetryVerdict.BUDGET_SPENT
    assert (
        decide(budget, now=BALANCE_DECAY_SECONDS).verdict == RetryVerdict.RETRY
    )


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Retries stay within the budget that first attempts and time provide."""

    def __init__(self):
        super().__init__()
        self.budget = RetryBudget()
        self.now = 0
        self.first_attempts = 0
        self.retries = 0

    @stateful.rule(count=st.integers(1, 200))
    def first_attempt(self, count):
        self.first_attempts += count
        for _ in range(count):
            self.budget.record_first_attempt(self.now)

    @stateful.rule(count=st.integers(1, 200))
    def answer(self, count):
        for _ in range(count):
            self.budget.record_answer(self.now)

    @stateful.rule(seconds=st.floats(0, 60))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(
        count=st.integers(1, 60),
        execution=st.sampled_from(Execution),
        idempotent=st.booleans(),
        draw=st.floats(0, 1),
        time_left=st.floats(-1, 10),
    )
    def fail(self, count, execution, idempotent, draw, time_left):
        request = build_request(
            idempotent=idempotent,
            deadline=self.now + time_left,
        )
        for _ in range(count):
            decision = decide(
                self.budget,
                self.now,
                draw,
                request=request,
                execution=execution,
            )
            if decision.verdict == RetryVerdict.RETRY:
                self.retries += 1
                assert self.now <= decision.not_before < request.deadline
                assert idempotent or execution == Execution.NOT_RUN
            else:
                assert decision.refusal is not None

    @stateful.invariant()
    def retries_stay_within_budget(self):
        idle_retries = IDLE_RETRIES * (1 + self.now / BALANCE_DECAY_SECONDS)
        allowed = idle_retries + RETRY_CREDIT * self.first_attempts
        assert self.retries <= math.ceil(allowed)


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
    return BudgetedRetries(random.Random(seed).random)


@pytest.mark.parametrize('seed', [1, 2, 3, 4])
def test_failure_of_a_third_of_the_endpoints(seed):
    """Guards against a retry storm that outlasts its cause.

    Ten of thirty endpoints fail for twenty seconds at a load of 0.8; the others
    can serve five callers in six. With immediate retries, requests time out
    behind the retries of other requests, even after the endpoints have
    returned.
    """
    naive = run_outage(ImmediateRetries(), seed, load=0.8)
    budgeted = run_outage(build_budgeted(seed), seed, load=0.8)
    assert naive.answered_share(70, 120) < NEARLY_NONE
    assert budgeted.answered_share(70, 120) > NEARLY_ALL
    assert budgeted.attempts < len(budgeted.arrivals) * 1.05


@pytest.mark.parametrize('seed', [1, 2, 3, 4])
def test_requests_in_progress_are_answered_elsewhere(seed):
    """Guards against lost answers when the other endpoints have capacity.

    Ten of thirty endpoints fail. Without retries, one caller in six loses its
    answer.
    """
    never = run_outage(NoRetries(), seed, load=0.5)
    budgeted = run_outage(build_budgeted(seed), seed, load=0.5)
    assert budgeted.answered_share(28, 35) > MOST
    assert never.answered_share(28, 35) < MOST
