"""Recorded crashes under a popular request beside a poison request."""

from ..quarantine import SETTLE_SECONDS
from .builders_records import (
    CAUSE_GIVEN_UP,
    POISON,
    POPULAR,
    THREE_CRASHES,
    Replay,
)
from .test_abandoned import abandon
from .test_quarantine import lifetime_of

#: Crashes of the record before the third endpoint.
FIRST_TWO = THREE_CRASHES[:4]
#: When the popular request was answered after the first crash of the other
#: record, in seconds.
ANSWERED_AT = 8.0


def test_popular_request_is_not_refused_while_reports_are_on_their_way() -> (
    None
):
    """Guards against a verdict before the cause is reported."""
    replay = Replay()
    for crash in FIRST_TWO:
        replay.play([crash])
        replay.entries[0].record_output(POPULAR, crash.at)
        replay.exchange(crash.at)
        assert not any(replay.refused_at(POPULAR, crash.at))
    settled_at = replay.now + SETTLE_SECONDS
    assert not any(replay.refused_at(POPULAR, settled_at))
    assert not any(
        entry.is_in_doubt(POPULAR, settled_at) for entry in replay.entries
    )


def test_request_without_output_is_refused_at_once() -> None:
    """Guards against a cause that gets further while its verdict settles."""
    replay = Replay()
    replay.play(THREE_CRASHES)
    assert all(replay.refused_at(POISON, replay.now))


def test_popular_request_with_output_gets_a_trial_at_once() -> None:
    """Guards against refusing it for the time of a quarantine."""
    replay = Replay()
    replay.play(FIRST_TWO)
    replay.entries[0].record_output(POPULAR, replay.now)
    replay.play(THREE_CRASHES[len(FIRST_TWO) :])
    settled_at = replay.now + SETTLE_SECONDS
    assert not any(replay.refused_at(POPULAR, settled_at))
    assert all(replay.refused_at(POISON, settled_at))
    assert replay.entries[0].decide_trial(POPULAR, settled_at).number == 1


def test_popular_request_without_output_stays_in_quarantine() -> None:
    """Guards against two causes that excuse each other."""
    replay = Replay()
    replay.play(THREE_CRASHES)
    assert all(replay.refused_at(POPULAR, replay.now + SETTLE_SECONDS))


def test_request_with_output_that_no_other_explains_stays_in_quarantine() -> (
    None
):
    """Guards against a cause that streams for a while before each crash."""
    replay = Replay()
    replay.play(THREE_CRASHES[:-1])
    replay.entries[0].record_output(POPULAR, replay.now)
    replay.exchange(replay.now)
    assert all(replay.refused_at(POPULAR, replay.now + SETTLE_SECONDS))


def test_popular_request_is_no_suspect_if_the_cause_was_given_up() -> None:
    """Guards against blame of the only request that was left there."""
    replay = Replay()
    replay.play(CAUSE_GIVEN_UP[:4])
    replay.entries[0].record_answer(POPULAR, ANSWERED_AT)
    abandon(replay.entries[2], 'a-1', ANSWERED_AT, POISON)
    for crash in CAUSE_GIVEN_UP[4:]:
        replay.play([crash])
        replay.entries[0].record_output(POPULAR, crash.at)
        replay.entries[2].blame_abandoned(lifetime_of(crash.endpoint), crash.at)
        replay.exchange(crash.at)
    settled_at = replay.now + SETTLE_SECONDS
    for entry in replay.entries:
        assert not entry.is_quarantined(POPULAR, settled_at)
        assert not entry.is_in_doubt(POPULAR, settled_at)
        assert entry.is_quarantined(POISON, settled_at)
