"""A rate that an endpoint names, kept by all entries together."""

import pytest

from ....ids import EndpointId, EntryId, PeerId
from ....routing import LimitReport
from ..rate_limits import (
    LIMIT_VALID_SECONDS,
    MAX_JITTER_SECONDS,
    WINDOWS,
    RateLimits,
)
from ..recent_sends import SLOT_SECONDS, SLOTS
from .builders_limits import (
    EqualParts,
    LimitedLoad,
    NoLimit,
    OneSpeaker,
    SharedWindow,
    lifetime,
    play,
)

ENGINE = lifetime(1)
PEER = PeerId('p1')
ENTRY = EntryId('entry-1')
#: Part of a rate that is used while more comes than it allows, and part that
#: each entry serves against all.
LEAST_USED = 0.6
LEAST_SERVED = 0.1
NAMES = frozenset((EndpointId('1'),))
LOADS = (
    LimitedLoad(entries=5),
    LimitedLoad(entries=26, arrivals_per_s=60),
    LimitedLoad(entries=26, rate=0.3, arrivals_per_s=60),
    LimitedLoad(entries=5, rate=6, arrivals_per_s=40),
    LimitedLoad(entries=5, endpoints=3, favourite=0.7),
)


def most_allowed(load: LimitedLoad) -> int:
    """Return what the users allow in four seconds."""
    return int(1.5 * load.rate * 4 + 5)


@pytest.mark.parametrize('load', LOADS)
def test_fleet_keeps_to_a_rate_and_uses_it(load: LimitedLoad) -> None:
    """Guards against entries that each keep a rate which their sum breaks."""
    found = play(SharedWindow(load), seed=3)
    assert found.most_in_window <= most_allowed(load)
    assert found.used > LEAST_USED


@pytest.mark.parametrize('load', LOADS)
def test_without_a_limit_the_rate_is_broken(load: LimitedLoad) -> None:
    assert play(NoLimit(load), seed=3).most_in_window > most_allowed(load)


def test_equal_parts_of_many_entries_break_a_rate() -> None:
    """Guards against parts so small that their first requests are too many."""
    load = LimitedLoad(entries=26, arrivals_per_s=60)
    found = play(EqualParts(load), seed=3)
    assert found.most_in_window > most_allowed(load)


def test_one_speaker_leaves_callers_of_all_others_without_service() -> None:
    """Guards against callers that depend on which entry they came to."""
    load = LimitedLoad(entries=5, endpoints=3, favourite=0.7)
    shared = play(SharedWindow(load), seed=3)
    speaker = play(OneSpeaker(load), seed=3)
    assert not speaker.least_served
    assert shared.least_served > LEAST_SERVED
    assert shared.used > speaker.used


def test_answer_without_a_limit_ends_it() -> None:
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 0.2, 10)
    limits.sent(ENGINE, 10)
    assert not limits.has_room(ENGINE, 11)
    assert limits.said(ENGINE, None, 11)
    assert limits.has_room(ENGINE, 11)


def test_start_anew_under_the_same_id_has_no_limit() -> None:
    """Guards against a limit that outlives the endpoint that named it."""
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 0.2, 10)
    anew = type(ENGINE)(ENGINE.endpoint, ENGINE.started_ms + 1)
    assert limits.limit(anew, 11) is None


def test_limit_that_nobody_repeats_ends() -> None:
    """Guards against an endpoint that is left alone for good."""
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 0, 10)
    limits.sent(ENGINE, 10)
    assert not limits.has_room(ENGINE, 10.1)
    assert limits.limit(ENGINE, 10 + LIMIT_VALID_SECONDS) is not None
    assert limits.limit(ENGINE, 10.1 + LIMIT_VALID_SECONDS) is None


def test_limit_of_nought_leaves_one_request_to_learn_of_its_end() -> None:
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 0, 10)
    assert limits.has_room(ENGINE, 10)
    limits.sent(ENGINE, 10)
    assert not limits.has_room(ENGINE, 13.9)


def test_newer_word_of_a_peer_wins_and_an_older_one_does_not() -> None:
    """Guards against a word that is late and brings back what has ended."""
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 2, 10)
    assert limits.hear(PEER, [LimitReport(ENGINE, 1, 0.1)], 11) == [ENGINE]
    assert not limits.hear(PEER, [LimitReport(ENGINE, None, 5)], 11)
    assert limits.limit(ENGINE, 11) == 1


def test_sends_before_the_limit_was_named_count() -> None:
    """Guards against a burst in the moment in which a limit is named."""
    limits = RateLimits(ENTRY)
    for _ in range(5):
        limits.sent(ENGINE, 10)
    limits.said(ENGINE, 1, 10.5)
    assert not limits.has_room(ENGINE, 10.5)


def test_sends_of_a_peer_count_until_they_are_old() -> None:
    one, other = RateLimits(ENTRY), RateLimits(ENTRY)
    one.said(ENGINE, 0.2, 10)
    one.sent(ENGINE, 10)
    other.hear(PEER, one.reports(NAMES, 10.1), 700.1)
    assert not other.has_room(ENGINE, 703.5)
    assert other.has_room(ENGINE, 704.5)


def test_entry_that_hears_a_part_of_the_others_uses_that_part() -> None:
    """Guards against two halves of a fleet that each use a whole rate."""
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 2, 10)
    limits.part = 0.5
    sent = 0
    for step in range(40):
        if limits.has_room(ENGINE, 10 + step / 10):
            limits.sent(ENGINE, 10 + step / 10)
            sent += 1
    assert sent == 4


def test_summary_leaves_out_what_its_receiver_sent() -> None:
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 5, 10)
    limits.sent(ENGINE, 10)
    limits.hear(PEER, [LimitReport(ENGINE, 5, 0, (3, 1))], 10)
    without = limits.summary(NAMES, 10.3, PEER)[0]
    whole = limits.summary(NAMES, 10.3, PeerId('p2'))[0]
    assert sum(without.sends) == 1
    assert sum(whole.sends) == 5
    assert whole.sends[:3] == (0, 4, 1)


def test_time_until_there_is_room() -> None:
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, 0.5, 10)
    limits.sent(ENGINE, 10)
    assert limits.seconds_to_room(ENGINE, 11) == 1
    assert not limits.seconds_to_room(ENGINE, 13)


@pytest.mark.parametrize('rate', [1e300, 1e6])
def test_limit_beyond_all_rates_binds_nobody(rate: float) -> None:
    limits = RateLimits(ENTRY)
    limits.said(ENGINE, rate, 10)
    for _ in range(1000):
        limits.sent(ENGINE, 10)
    assert limits.has_room(ENGINE, 10)


def test_words_that_are_old_are_forgotten() -> None:
    """Guards against memory that grows with the starts of endpoints."""
    limits = RateLimits(ENTRY)
    for number in range(500):
        limits.said(lifetime(number), 1, number)
        limits.everything(number)
    assert len(limits.reported) <= LIMIT_VALID_SECONDS + 1


def test_sends_are_remembered_for_as_long_as_they_count() -> None:
    """Guards against a window that is longer than what is known of sends."""
    assert SLOTS * SLOT_SECONDS >= max(WINDOWS) + MAX_JITTER_SECONDS
