"""A late process reads before it judges, and judges nevertheless."""

from hypothesis import given
from hypothesis import strategies as st

from ..late_checks import READING_SECONDS, LateChecks

USUAL_SECONDS = 0.5
_gaps = st.lists(st.floats(0.01, 9), max_size=30)


@given(_gaps)
def test_no_check_judges_right_after_a_stall(gaps: list[float]) -> None:
    """Guards against words that are still unread when others are judged."""
    checks = LateChecks(USUAL_SECONDS)
    now = 100.0
    checks.record(now)
    may_judge = True
    for gap in gaps:
        now += gap
        was_judging, may_judge = may_judge, checks.record(now)
        if gap > USUAL_SECONDS and was_judging:
            assert not may_judge


@given(st.lists(st.floats(READING_SECONDS, 9), min_size=2, max_size=30))
def test_one_of_two_checks_judges(gaps: list[float]) -> None:
    """Guards against a process that is always late and gives up nobody."""
    checks = LateChecks(USUAL_SECONDS)
    now = 100.0
    may_judge = checks.record(now)
    for gap in gaps:
        # Rounding makes a gap shorter than its figure.
        now += gap + 0.001
        was_judging, may_judge = may_judge, checks.record(now)
        assert may_judge or was_judging
