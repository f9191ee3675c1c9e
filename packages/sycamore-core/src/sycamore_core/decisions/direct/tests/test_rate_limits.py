"""Rate limits of endpoints, observed by all entries together."""

import pytest

from ....ids import EndpointId, EntryId, PeerId
from ....routing import LimitReport
from ..rate_limits import (
    LIMIT_VALID_SECONDS,
    MAX_JITTER_SECONDS,
    WINDOWS,
    RateLimits,
)
from ..recent_sends import AGE_BUCKET_SECONDS, AGE_BUCKETS
from .builders_limits import (
    EqualShares,
    LimitedLoad,
    NoLimit,
    SharedWindow,
    SingleSender,
    lifetime,
    simulate,
)

ENGINE = lifetime(1)
PEER = PeerId('p1')
ENTRY = EntryId('entry-1')
#: Least utilization of a limit while more requests arrive than it permits, and
#: least served share of each entry relative to all entries.
MIN_UTILIZATION = 0.6
MIN_SERVED_SHARE = 0.1
NAMES = frozenset((EndpointId('1'),))
LOADS = (
    LimitedLoad(entries=5),
    LimitedLoad(entries=26, arrivals_per_s=60),
    LimitedLoad(entries=26, rate=0.3, arrivals_per_s=60),
    LimitedLoad(entries=5, rate=6, arrivals_per_s=40),
    LimitedLoad(entries=5, endpoints=3, first_entry_share=0.7),
)


def max_permitted(load: LimitedLoad) -> int:
    """Return the requests that are permitted within four seconds."""
    return int(1.5 * load.rate * 4 + 5)


@pytest.mark.parametrize('load', LOADS)
def test_fleet_observes_a_limit_and_uses_it(load: LimitedLoad) -> None:
    """Guards against entries that exceed a limit together but not alone."""
    outcome = simulate(SharedWindow(load), seed=3)
    assert outcome.max_in_window <= max_permitted(load)
    assert outcome.utilization > MIN_UTILIZATION


@pytest.mark.parametrize('load', LOADS)
def test_entries_that_ignore_a_limit_exceed_it(load: LimitedLoad) -> None:
    assert simulate(NoLimit(load), seed=3).max_in_window > max_permitted(load)


def test_equal_shares_of_many_entries_exceed_a_limit() -> None:
    """Guards against small shares whose first requests exceed the limit."""
    load = LimitedLoad(entries=26, arrivals_per_s=60)
    outcome = simulate(EqualShares(load), seed=3)
    assert outcome.max_in_window > max_permitted(load)


def test_single_sender_leaves_callers_of_other_entries_unserved() -> None:
    """Guards against service that depends on the entry of a caller."""
    load = LimitedLoad(entries=5, endpoints=3, first_entry_share=0.7)
    shared = simulate(SharedWindow(load), seed=3)
    single = simulate(SingleSender(load), seed=3)
    assert not single.min_served_share
    assert shared.min_served_share > MIN_SERVED_SHARE
    assert shared.utilization > single.utilization


def test_answer_without_a_limit_ends_it() -> None:
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 0.2, 10)
    limits.sent(ENGINE, 10)
    assert not limits.has_room(ENGINE, 11)
    assert limits.said(ENGINE, None, 11)
    assert limits.has_room(ENGINE, 11)


def test_restart_with_the_same_id_has_no_limit() -> None:
    """Guards against a limit that outlives the endpoint that requested it."""
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 0.2, 10)
    restarted = type(ENGINE)(ENGINE.endpoint, ENGINE.started_ms + 1)
    assert limits.limit(restarted, 11) is None


def test_limit_that_no_answer_repeats_ends() -> None:
    """Guards against an endpoint that is never used again."""
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 0, 10)
    limits.sent(ENGINE, 10)
    assert not limits.has_room(ENGINE, 10.1)
    assert limits.limit(ENGINE, 10 + LIMIT_VALID_SECONDS) is not None
    assert limits.limit(ENGINE, 10.1 + LIMIT_VALID_SECONDS) is None


def test_limit_of_zero_permits_one_request_to_detect_its_end() -> None:
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 0, 10)
    assert limits.has_room(ENGINE, 10)
    limits.sent(ENGINE, 10)
    assert not limits.has_room(ENGINE, 13.9)


def test_newer_report_of_a_peer_replaces_a_limit_and_an_older_does_not() -> (
    None
):
    """Guards against a late report that restores a limit that has ended."""
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 2, 10)
    assert limits.hear(PEER, [LimitReport(ENGINE, 1, 0.1)], 11) == [ENGINE]
    assert not limits.hear(PEER, [LimitReport(ENGINE, None, 5)], 11)
    assert limits.limit(ENGINE, 11) == 1


def test_sends_before_the_limit_count() -> None:
    """Guards against a burst as a limit begins."""
    limits = RateLimits(ENTRY)
    for _ in range(5):
        limits.sent(ENGINE, 10)
    limits.said(ENGINE, 1, 10.5)
    assert not limits.has_room(ENGINE, 10.5)


def test_sends_of_a_peer_count_until_they_expire() -> None:
    first, second = RateLimits(ENTRY), RateLimits(ENTRY)
    first.said(ENGINE, 0.2, 10)
    first.sent(ENGINE, 10)
    second.hear(PEER, first.reports(NAMES, 10.1), 700.1)
    assert not second.has_room(ENGINE, 703.5)
    assert second.has_room(ENGINE, 704.5)


def test_entry_uses_the_fraction_of_a_limit_that_it_receives_reports_for() -> (
    None
):
    """Guards against two halves of a fleet that each use the complete rate."""
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 2, 10)
    limits.reporting_fraction = 0.5
    sent = 0
    for step in range(40):
        if limits.has_room(ENGINE, 10 + step / 10):
            limits.sent(ENGINE, 10 + step / 10)
            sent += 1
    assert sent == 4


def test_summary_excludes_the_sends_of_its_receiver() -> None:
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 5, 10)
    limits.sent(ENGINE, 10)
    limits.hear(PEER, [LimitReport(ENGINE, 5, 0, (3, 1))], 10)
    excluding_peer = limits.summary(NAMES, 10.3, PEER)[0]
    complete = limits.summary(NAMES, 10.3, PeerId('p2'))[0]
    assert sum(excluding_peer.sends) == 1
    assert sum(complete.sends) == 5
    assert complete.sends[:3] == (0, 4, 1)


def test_time_until_there_is_capacity() -> None:
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 0.5, 10)
    limits.sent(ENGINE, 10)
    assert limits.seconds_to_room(ENGINE, 11) == 1
    assert not limits.seconds_to_room(ENGINE, 13)


@pytest.mark.parametrize('rate', [1e300, 1e6])
def test_excessive_limit_has_no_effect(rate: float) -> None:
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, rate, 10)
    for _ in range(1000):
        limits.sent(ENGINE, 10)
    assert limits.has_room(ENGINE, 10)


def test_expired_limits_are_dropped() -> None:
    """Guards against memory that grows with the restarts of endpoints."""
    limits = RateLimits(ENTRY)
    for number in range(500):
        limits.said(lifetime(number), 1, number)
        limits.all_reports(number)
    assert len(limits.reported) <= LIMIT_VALID_SECONDS + 1


def test_sends_are_stored_for_as_long_as_they_count() -> None:
    """Guards against a window that is longer than the stored sends."""
    assert AGE_BUCKETS * AGE_BUCKET_SECONDS >= max(WINDOWS) + MAX_JITTER_SECONDS
