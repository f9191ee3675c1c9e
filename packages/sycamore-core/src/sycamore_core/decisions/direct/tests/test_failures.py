"""Backoff from failing endpoints, by own failures and reports of peers."""

from ....ids import EndpointId
from ..failures import (
    INITIAL_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    MAX_REPORTED,
    RECENT_ACTIVITY_SECONDS,
    FailureTracker,
)

ENGINE = EndpointId('e1')


def test_backoff_grows_with_consecutive_failures_up_to_a_bound() -> None:
    tracker = FailureTracker()
    tracker.record_failure(ENGINE, now=10)
    tracker.record_failure(ENGINE, now=11)
    assert tracker.is_backing_off(ENGINE, 11 + INITIAL_BACKOFF_SECONDS * 1.5)
    for _ in range(9):
        tracker.record_failure(ENGINE, now=12)
    assert not tracker.is_backing_off(ENGINE, 12.1 + MAX_BACKOFF_SECONDS)


def test_report_of_a_peer_begins_a_short_backoff() -> None:
    """Guards against a lost short request per entry at each silent engine.

    A sixth of the engines stop responding and stay registered.
    """
    reporter = FailureTracker()
    reporter.record_failure(ENGINE, now=10)
    receiver = FailureTracker()
    receiver.handle_report(reporter.endpoints_to_report(10.02), now=10.02)
    assert receiver.is_backing_off(ENGINE, 10.1)
    assert not receiver.is_backing_off(ENGINE, 10.1 + INITIAL_BACKOFF_SECONDS)
    # Only the entry at which the endpoint failed reports it.
    assert not receiver.endpoints_to_report(10.1)


def test_recent_activity_outweighs_the_report_of_a_peer() -> None:
    """Guards against a needless backoff if a link of another entry fails."""
    tracker = FailureTracker()
    tracker.record_activity(ENGINE, now=10)
    tracker.handle_report([ENGINE], now=10 + RECENT_ACTIVITY_SECONDS / 2)
    assert not tracker.is_backing_off(
        ENGINE, 10.1 + RECENT_ACTIVITY_SECONDS / 2
    )


def test_partitioned_entry_reports_no_endpoints() -> None:
    """Guards against a fleet that backs off from all engines at once.

    One entry cannot reach any engine, but still reaches its peers.
    """
    tracker = FailureTracker()
    for number in range(MAX_REPORTED + 1):
        tracker.record_failure(EndpointId(f'e{number}'), now=10)
    assert not tracker.endpoints_to_report(10.1)


def test_answer_ends_a_backoff_reported_by_a_peer() -> None:
    tracker = FailureTracker()
    tracker.handle_report([ENGINE], now=10)
    tracker.record_answer(ENGINE)
    assert not tracker.is_backing_off(ENGINE, 10.1)


def test_old_report_of_a_peer_is_no_recent_failure() -> None:
    """Guards against attempts that move forever after one report."""
    tracker = FailureTracker()
    tracker.handle_report([ENGINE], now=10)
    assert tracker.has_failed(ENGINE, now=10.5)
    assert not tracker.has_failed(ENGINE, now=600)


def test_any_number_of_failures_in_a_row_has_a_backoff() -> None:
    """Guards against retries that end with a defect after 1,024 failures."""
    tracker = FailureTracker()
    for number in range(3000):
        tracker.record_failure(ENGINE, number)
    assert tracker.is_backing_off(ENGINE, 2999 + MAX_BACKOFF_SECONDS / 2)
    assert not tracker.is_backing_off(ENGINE, 2999 + MAX_BACKOFF_SECONDS)
