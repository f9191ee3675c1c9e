"""What follows an attempt never breaks a promise, whatever came before."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from ....routing import RouteKind
from ..attempts import AttemptEnd, AttemptLog, NextStep, next_step
from ..retry_allowance import AllowanceBounds, RetryAllowance

KINDS = st.sampled_from(RouteKind)
ENDS = st.sampled_from([end for end in AttemptEnd if end != 'answered'])
MOST_ATTEMPTS = 4


def steps(
    kind: RouteKind,
    ends: list[AttemptEnd],
    max_attempts: int,
    begins_at: int,
) -> list[tuple[AttemptLog, NextStep]]:
    """Follow the steps through some attempts, as an exchange does."""
    log = AttemptLog()
    taken: list[tuple[AttemptLog, NextStep]] = []
    for number, end in enumerate(ends):
        log.begin()
        log.note(end)
        has_run = end in {AttemptEnd.BROKEN, AttemptEnd.SILENT}
        log.has_begun = log.has_begun or (has_run and number >= begins_at)
        step = next_step(
            kind,
            end,
            log,
            may_repeat=True,
            max_attempts=max_attempts,
        )
        taken.append((msgspec.structs.replace(log), step))
        if step != NextStep.TRY_AGAIN:
            break
    return taken


@given(
    kind=KINDS,
    ends=st.lists(ENDS, min_size=1, max_size=6),
    max_attempts=st.integers(1, MOST_ATTEMPTS),
    begins_at=st.integers(0, 6),
)
def test_no_step_breaks_a_promise(
    kind: RouteKind,
    ends: list[AttemptEnd],
    max_attempts: int,
    begins_at: int,
) -> None:
    """Attempts fail in every way, one after the other.

    A deposit would be recorded twice, an answer would be put together from
    two runs, or a caller would be told that nothing ran although it did.
    """
    for log, step in steps(kind, ends, max_attempts, begins_at):
        if step == NextStep.REFUSE:
            assert log.may_have_run == 0
        if step != NextStep.TRY_AGAIN:
            continue
        if not kind.is_idempotent:
            assert log.may_have_run == 0
        if log.has_begun:
            assert kind == RouteKind.RESUMABLE_STREAM
        assert log.may_have_run < max(max_attempts, 1)


@given(end=ENDS, kind=KINDS)
def test_without_allowance_nothing_is_repeated(
    end: AttemptEnd,
    kind: RouteKind,
) -> None:
    log = AttemptLog()
    log.begin()
    log.note(end)
    step = next_step(kind, end, log, may_repeat=False, max_attempts=3)
    assert step != NextStep.TRY_AGAIN


@given(
    entries=st.integers(1, 30),
    gaps=st.lists(st.floats(0, 1), min_size=1, max_size=60),
    first_tries=st.integers(0, 40),
)
def test_repeats_of_all_entries_keep_to_the_bound(
    entries: int,
    gaps: list[float],
    first_tries: int,
) -> None:
    """All entries repeat as often as they may, and cannot hear one another.

    Together they would bring the endpoints down that are left.
    """
    bounds = AllowanceBounds(ratio=0.2, slack=100, window=10)
    allowance = RetryAllowance(bounds)
    now = float(0)
    taken: list[float] = []
    for _ in range(first_tries):
        allowance.first_try(now)
    for gap in gaps:
        now += gap
        if allowance.take(now, entries):
            taken.append(now)
    for moment in taken:
        begin = moment - bounds.window
        within = [one for one in taken if begin < one <= moment]
        most = bounds.slack / entries + bounds.ratio * first_tries
        assert len(within) <= most
