"""Steps after failed attempts, and the retry budget."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from ....routing import RouteKind
from ..attempts import AttemptEnd, AttemptLog, NextStep, next_step
from ..fleet_size import FleetSize
from ..retry_budget import RetryBudgetLimit, SharedRetryBudget

KINDS = st.sampled_from(RouteKind)
ENDS = st.sampled_from([end for end in AttemptEnd if end != 'answered'])
MAX_ATTEMPTS = 4


def steps(
    kind: RouteKind,
    ends: list[AttemptEnd],
    max_attempts: int,
    first_answering_attempt: int,
) -> list[tuple[AttemptLog, NextStep]]:
    """Return the log and the step after each attempt, while it is retried.

    Parameters
    ----------
    first_answering_attempt
        Number of the first attempt that may begin an answer, from 0.
    """
    log = AttemptLog()
    results: list[tuple[AttemptLog, NextStep]] = []
    for number, end in enumerate(ends):
        log.begin()
        log.record(end)
        has_run = end in {
            AttemptEnd.BROKEN,
            AttemptEnd.SILENT,
            AttemptEnd.ENDED,
        }
        log.answer_has_begun = log.answer_has_begun or (
            has_run and number >= first_answering_attempt
        )
        step = next_step(
            kind,
            end,
            log,
            may_retry=True,
            max_attempts=max_attempts,
        )
        results.append((msgspec.structs.replace(log), step))
        if step != NextStep.RETRY:
            break
    return results


@given(
    kind=KINDS,
    ends=st.lists(ENDS, min_size=1, max_size=6),
    max_attempts=st.integers(1, MAX_ATTEMPTS),
    first_answering_attempt=st.integers(0, 6),
)
def test_steps_preserve_the_guarantees(
    kind: RouteKind,
    ends: list[AttemptEnd],
    max_attempts: int,
    first_answering_attempt: int,
) -> None:
    """Guards against duplicate runs and false reports after any failures.

    With a wrong step, a request that must run only once, such as a deposit,
    could run twice, an answer could be composed of two runs, or a caller could
    receive "not run" although the request ran.
    """
    for log, step in steps(kind, ends, max_attempts, first_answering_attempt):
        if step == NextStep.REFUSE:
            assert log.may_have_run == 0
        if step != NextStep.RETRY:
            continue
        if not kind.is_idempotent:
            assert log.may_have_run == 0
        if log.answer_has_begun:
            assert kind == RouteKind.RESUMABLE_STREAM
        assert log.may_have_run < max(max_attempts, 1)


@given(end=ENDS, kind=KINDS)
def test_nothing_is_retried_without_budget(
    end: AttemptEnd,
    kind: RouteKind,
) -> None:
    log = AttemptLog()
    log.begin()
    log.record(end)
    step = next_step(kind, end, log, may_retry=False, max_attempts=3)
    assert step != NextStep.RETRY


@given(
    entries=st.integers(1, 30),
    gaps=st.lists(st.floats(0, 1), min_size=1, max_size=60),
    first_attempts=st.integers(0, 40),
)
def test_retries_of_one_entry_stay_within_its_share(
    entries: int,
    gaps: list[float],
    first_attempts: int,
) -> None:
    """Guards against retries of partitioned entries that overload endpoints.

    Each entry retries as often as it may, without reports from the others. The
    test checks one entry against its share of the limit.
    """
    bounds = RetryBudgetLimit(ratio=0.2, slack=100, window=10)
    fleet = FleetSize()
    fleet.observe(entries, is_discovered=True)
    budget = SharedRetryBudget(bounds, fleet, started_at=-100)
    now = float(0)
    retried: list[float] = []
    for _ in range(first_attempts):
        budget.record_first_attempt(now)
    for gap in gaps:
        now += gap
        if budget.try_acquire(now):
            retried.append(now)
    for moment in retried:
        start = moment - bounds.window
        within = [at for at in retried if start < at <= moment]
        limit = bounds.slack / entries + bounds.ratio * first_attempts
        assert len(within) <= limit
