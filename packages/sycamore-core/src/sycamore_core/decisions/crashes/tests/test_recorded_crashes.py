"""Recorded crashes under a popular request beside a poison request."""

from ..quarantine import SETTLE_SECONDS
from .builders_records import POISON, POPULAR, THREE_CRASHES, Replay

#: Crashes of the record before the third endpoint.
FIRST_TWO = THREE_CRASHES[:4]


def test_popular_request_is_not_refused_while_reports_are_on_their_way() -> (
    None
):
    """Guards against a verdict before the cause is reported."""
    replay = Replay()
    for crash in FIRST_TWO:
        replay.play([crash])
        assert not any(replay.refused_at(POPULAR, crash.at))
    settled_at = replay.now + SETTLE_SECONDS
    assert not any(replay.refused_at(POPULAR, settled_at))
    assert not any(
        entry.is_in_doubt(POPULAR, settled_at) for entry in replay.entries
    )


def test_suspect_request_is_not_sent_while_reports_are_on_their_way() -> None:
    """Guards against a cause that gets further while its verdict settles."""
    replay = Replay()
    replay.play(THREE_CRASHES)
    for entry in replay.entries:
        assert entry.seconds_to_settle(POISON, replay.now)
        assert entry.is_quarantined(POISON, replay.now + SETTLE_SECONDS)
