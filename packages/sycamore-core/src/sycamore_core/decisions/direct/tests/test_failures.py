"""Backoff from failing endpoints, by own failures and reports of peers."""

from ....ids import EndpointId
from ..failures import (
    INITIAL_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    MAX_REPORTED,
    RECENT_ACTIVITY_SECONDS,
    FailureBook,
)

ENGINE = EndpointId('e1')


def test_backoff_grows_with_consecutive_failures_up_to_a_bound() -> None:
    tracker = FailureBook()
    tracker.failed(ENGINE, now=10)
    tracker.failed(ENGINE, now=11)
    assert tracker.is_resting(ENGINE, 11 + INITIAL_BACKOFF_SECONDS * 1.5)
    for _ in range(9):
        tracker.failed(ENGINE, now=12)
    assert not tracker.is_resting(ENGINE, 12.1 + MAX_BACKOFF_SECONDS)


def test_report_of_a_peer_begins_a_short_backoff() -> None:
    """Guards against a lost short request per entry at each silent engine.

    A sixth of the engines stop responding and stay registered.
    """
    reporter = FailureBook()
    reporter.failed(ENGINE, now=10)
    receiver = FailureBook()
    receiver.hear(reporter.to_tell(10.02), now=10.02)
    assert receiver.is_resting(ENGINE, 10.1)
    assert not receiver.is_resting(ENGINE, 10.1 + INITIAL_BACKOFF_SECONDS)
    # Only the entry at which the endpoint failed reports it.
    assert not receiver.to_tell(10.1)


def test_recent_activity_outweighs_the_report_of_a_peer() -> None:
    """Guards against a needless backoff if a link of another entry fails."""
    tracker = FailureBook()
    tracker.sent_something(ENGINE, now=10)
    tracker.hear([ENGINE], now=10 + RECENT_ACTIVITY_SECONDS / 2)
    assert not tracker.is_resting(ENGINE, 10.1 + RECENT_ACTIVITY_SECONDS / 2)


def test_partitioned_entry_reports_no_endpoints() -> None:
    """Guards against a fleet that backs off from all engines at once.

    One entry cannot reach any engine, but still reaches its peers.
    """
    tracker = FailureBook()
    for number in range(MAX_REPORTED + 1):
        tracker.failed(EndpointId(f'e{number}'), now=10)
    assert not tracker.to_tell(10.1)


def test_answer_ends_a_backoff_reported_by_a_peer() -> None:
    tracker = FailureBook()
    tracker.hear([ENGINE], now=10)
    tracker.answered(ENGINE)
    assert not tracker.is_resting(ENGINE, 10.1)
