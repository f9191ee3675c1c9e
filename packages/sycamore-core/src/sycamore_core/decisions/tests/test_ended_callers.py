"""Requests whose callers have ended their sending sides."""

from collections.abc import Iterable, Iterator
from itertools import repeat

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from ...hashes import stable_fraction
from ..ended_callers import (
    ANSWER_SECONDS,
    CHECK_SECONDS,
    LONGEST_SECONDS,
    TOGETHER_SECONDS,
    EndedCaller,
    SilenceChecks,
)

CALLERS = 1000
#: Longest time for which endpoints may work for callers that have left, in
#: seconds.
GONE_SECONDS = 0.5
#: Shortest time after which a caller gives up, in seconds.
PATIENCE_SECONDS = 0.3
#: Most checks of a caller by an entry that is late each time.
MOST_LATE_CHECKS = 10
#: Gaps after which a caller is given up without a stall, and others in time.
GIVEN_UP_BEFORE = list(repeat(1.9 * CHECK_SECONDS, 4))
IN_TIME = list(repeat(CHECK_SECONDS, 9))
_in_time = st.floats(CHECK_SECONDS, 1.9 * CHECK_SECONDS)
_late = st.floats(2.1 * CHECK_SECONDS, 9)
_busy = st.floats(CHECK_SECONDS, 3 * CHECK_SECONDS)


class Replay(msgspec.Struct):
    """Counts of callers, and the longest work for one that has left."""

    answered: int = 0
    failed: int = 0
    longest_work: float = 0


def durations() -> Iterator[float]:
    """Yield how long the answers take, in seconds."""
    for number in range(CALLERS):
        yield 0.6 * stable_fraction(f'request {number}')


def time_at_endpoint(
    waited: float, duration: float, *, may_be_stopped: bool
) -> float:
    """Return how long a request runs on after the end of its caller."""
    silent: float = 0
    checks = SilenceChecks()
    while silent < duration:
        caller = EndedCaller(waited_seconds=waited, silent_seconds=silent)
        checks.record(silent)
        if not caller.may_go_on(checks, may_be_stopped=may_be_stopped):
            break
        silent += CHECK_SECONDS
    return min(silent, duration)


def replay(waited: float, *, may_be_stopped: bool) -> Replay:
    """End the sending sides of callers whose requests run."""
    result = Replay()
    for duration in durations():
        worked = time_at_endpoint(
            waited, duration, may_be_stopped=may_be_stopped
        )
        result.longest_work = max(result.longest_work, worked)
        if worked < duration:
            result.failed += 1
        else:
            result.answered += 1
    return result


def test_short_answers_come_and_work_ends_in_time() -> None:
    """Guards against both: no answer at all, and work for nobody."""
    result = replay(PATIENCE_SECONDS, may_be_stopped=True)
    assert result.answered > CALLERS / 3
    assert result.failed > CALLERS / 3
    assert result.longest_work + CHECK_SECONDS < GONE_SECONDS


def test_request_that_runs_once_is_always_awaited() -> None:
    result = replay(PATIENCE_SECONDS, may_be_stopped=False)
    assert result.answered == CALLERS


def test_request_of_a_caller_that_gave_up_is_not_sent() -> None:
    """Guards against requests that reach endpoints after a close."""
    for number in range(20):
        silent = number * CHECK_SECONDS
        for waited in (TOGETHER_SECONDS, PATIENCE_SECONDS):
            caller = EndedCaller(waited_seconds=waited, silent_seconds=silent)
            assert not caller.may_be_sent()
        together = EndedCaller(waited_seconds=0, silent_seconds=silent)
        assert together.may_be_sent() == (silent < ANSWER_SECONDS)


def test_caller_that_is_seen_to_read_is_served() -> None:
    """Guards against cutting streams that their callers read."""
    caller = EndedCaller(waited_seconds=9, silent_seconds=9, has_read=True)
    assert caller.may_be_sent()
    assert caller.may_go_on(SilenceChecks(), may_be_stopped=True)


def test_full_buffer_is_no_sign_of_a_caller_that_left() -> None:
    """Guards against cutting an answer that its caller reads slowly."""
    caller = EndedCaller(waited_seconds=9, silent_seconds=9, is_blocked=True)
    assert caller.may_go_on(SilenceChecks(), may_be_stopped=True)


def given_up_at(gaps: Iterable[float]) -> list[float]:
    """Return when a silent caller is checked, until it is given up."""
    checks = SilenceChecks()
    silent: float = 0
    times = []
    for gap in gaps:
        silent += gap
        times.append(silent)
        checks.record(silent)
        if not checks.may_last():
            return times
    raise AssertionError(times)


@given(st.lists(_in_time, min_size=9, max_size=9))
def test_entry_in_time_gives_up_within_the_half_second(
    gaps: list[float],
) -> None:
    """Guards against work for callers that have left."""
    last = given_up_at(gaps)[-1]
    # Rounding makes a sum longer than its parts.
    assert ANSWER_SECONDS <= last <= GONE_SECONDS + 1e-6


@example(GIVEN_UP_BEFORE, 4 * CHECK_SECONDS, IN_TIME)
@given(
    st.lists(_in_time, max_size=4),
    _late,
    st.lists(_in_time, min_size=9, max_size=9),
)
def test_check_in_time_follows_a_late_one(
    before: list[float], late: float, after: list[float]
) -> None:
    """Guards against taking a late entry for a slow endpoint."""
    times = given_up_at((*before, late, *after))
    if len(times) <= len(before):
        # It was given up before the entry was late.
        assert LONGEST_SECONDS <= times[-1] <= GONE_SECONDS
        return
    stalled_until = times[len(before)]
    if stalled_until >= GONE_SECONDS:
        assert len(times) == len(before) + 2
    elif stalled_until >= LONGEST_SECONDS:
        assert len(times) == len(before) + 1
    else:
        assert stalled_until < times[-1] <= GONE_SECONDS + 1e-6


@given(st.lists(_late, min_size=99, max_size=99))
def test_entry_that_is_always_late_gives_up(gaps: list[float]) -> None:
    """Guards against work without an end for callers that have left."""
    assert len(given_up_at(gaps)) <= MOST_LATE_CHECKS + 1


@given(st.lists(_busy, min_size=9, max_size=9))
def test_busy_entry_gives_up_within_the_half_second(gaps: list[float]) -> None:
    """Guards against endpoints that work on as the entry is late all the time.

    Changes of the configuration hold up its event loop again and again.
    """
    assert given_up_at(gaps)[-1] <= GONE_SECONDS + 1e-6


def test_bytes_begin_a_new_silence() -> None:
    """Guards against counting the time before bytes were written."""
    checks = SilenceChecks()
    checks.record(ANSWER_SECONDS)
    for silent in (0, 0.05, 0.1, 0.15, 0.2):
        checks.record(silent)
        assert checks.may_last()
