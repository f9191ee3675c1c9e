"""Backoffs that endpoints request from entries."""

import pytest

from ..asked_rests import (
    MAX_BACKOFF_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    RequestedBackoffs,
)
from .builders_limits import lifetime
from .builders_rests import (
    MAX_WITHIN_BACKOFF,
    AllAfterBackoff,
    BackoffLoad,
    BackoffSimulation,
    NoBackoff,
    ProbeFirst,
    SharedWithPeers,
)

ENGINE = lifetime(1)
SEED = 3
#: One engine accepts nothing; the rest of the fleet has capacity for all.
ONE_OVERLOADED = BackoffLoad(overloaded=1, arrivals_per_s=25)
#: Four of eighteen engines accept nothing.
FOUR_OVERLOADED = BackoffLoad(overloaded=4)
#: Callers retry at the same moment at replicas that accept nothing.
BURSTS = BackoffLoad(
    endpoints=3,
    slots=6,
    slot_seconds=0.05,
    arrivals_per_s=30,
    overloaded=3,
    burst_size=8,
)
NEARLY_FULL = BackoffLoad(arrivals_per_s=110, seconds=20)
LOADS = (ONE_OVERLOADED, FOUR_OVERLOADED, BURSTS, NEARLY_FULL)


@pytest.mark.parametrize('load', LOADS)
def test_fleet_observes_backoffs(load: BackoffLoad) -> None:
    """Guards against requests within a backoff that an endpoint requested."""
    assert (
        BackoffSimulation(ProbeFirst(load)).run(SEED).max_in_backoff
        <= MAX_WITHIN_BACKOFF
    )


@pytest.mark.parametrize('load', LOADS)
def test_backoffs_are_violated_by_entries_that_ignore_them(
    load: BackoffLoad,
) -> None:
    assert (
        BackoffSimulation(NoBackoff(load)).run(SEED).max_in_backoff
        > MAX_WITHIN_BACKOFF
    )


def test_fewer_requests_are_refused_than_without_backoffs() -> None:
    """Guards against attempts at endpoints that are known to refuse them."""
    without = BackoffSimulation(NoBackoff(FOUR_OVERLOADED)).run(SEED)
    observed = BackoffSimulation(ProbeFirst(FOUR_OVERLOADED)).run(SEED)
    assert observed.refusals_per_request < without.refusals_per_request / 2
    assert observed.served > without.served


def test_backoffs_shared_with_peers_reduce_the_served_requests() -> None:
    """Guards against a fleet that avoids an endpoint that refused one entry."""
    shared = BackoffSimulation(SharedWithPeers(NEARLY_FULL)).run(SEED)
    observed = BackoffSimulation(ProbeFirst(NEARLY_FULL)).run(SEED)
    assert observed.served > shared.served


def test_probe_reduces_refusals_of_simultaneous_requests() -> None:
    """Guards against many requests that are refused after a backoff."""
    without_probe = BackoffSimulation(AllAfterBackoff(BURSTS)).run(SEED)
    with_probe = BackoffSimulation(ProbeFirst(BURSTS)).run(SEED)
    assert (
        with_probe.refusals_per_request < without_probe.refusals_per_request / 2
    )


def test_shorter_backoff_does_not_end_a_longer_one() -> None:
    """Guards against a request sent within the first of two backoffs."""
    backoffs = RequestedBackoffs()
    backoffs.record_request(ENGINE, 5, 10)
    backoffs.record_request(ENGINE, 1, 11)
    assert backoffs.seconds_left(ENGINE, 11) == 4


def test_answer_to_an_earlier_request_does_not_end_a_backoff() -> None:
    """Guards against a backoff that ends as an earlier stream begins."""
    backoffs = RequestedBackoffs()
    backoffs.record_request(ENGINE, 5, 10)
    backoffs.record_acceptance(ENGINE)
    assert not backoffs.accepts(ENGINE, 11)


def test_backoff_of_zero_seconds_is_ignored() -> None:
    backoffs = RequestedBackoffs()
    backoffs.record_request(ENGINE, 0, 10)
    backoffs.record_send(ENGINE, 10)
    assert backoffs.accepts(ENGINE, 10)


def test_excessive_backoff_is_bounded() -> None:
    """Guards against an endpoint that is never used after a wrong value."""
    backoffs = RequestedBackoffs()
    backoffs.record_request(ENGINE, 1e300, 0)
    assert not backoffs.accepts(ENGINE, MAX_BACKOFF_SECONDS - 1)
    assert backoffs.accepts(ENGINE, MAX_BACKOFF_SECONDS)


def test_unanswered_probe_delays_other_requests_until_its_timeout() -> None:
    """Guards against an endpoint that is never used after a lost probe."""
    backoffs = RequestedBackoffs()
    backoffs.record_request(ENGINE, 1, 10)
    backoffs.record_send(ENGINE, 11)
    assert not backoffs.accepts(ENGINE, 11)
    assert backoffs.accepts(ENGINE, 11 + PROBE_TIMEOUT_SECONDS)


def test_expired_backoffs_are_dropped() -> None:
    """Guards against memory that grows with each restart of an endpoint."""
    backoffs = RequestedBackoffs()
    for number in range(10_000):
        backoffs.record_request(lifetime(number), 1, number)
    assert len(backoffs.backoffs) < 5000
    assert not backoffs.accepts(lifetime(9999), 9999)
