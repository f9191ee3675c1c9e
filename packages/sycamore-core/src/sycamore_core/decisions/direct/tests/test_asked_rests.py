"""Rests that endpoints ask an entry for."""

import pytest

from ..asked_rests import MAX_BACKOFF_SECONDS, PROBE_TIMEOUT_SECONDS, AskedRests
from .builders_limits import lifetime
from .builders_rests import (
    MOST_WITHIN_REST,
    AllAtTheEnd,
    NoRest,
    OneFirst,
    RestLoad,
    RestPlay,
    ToldToPeers,
)

ENGINE = lifetime(1)
SEED = 3
#: One engine takes nothing; the fleet could serve all.
SHEDDING = RestLoad(shedding=1, arrivals_per_s=25)
#: Four of eighteen engines take nothing.
MANY_SHEDDING = RestLoad(shedding=4)
#: Callers come back together to replicas that take nothing.
BUNCHES = RestLoad(
    endpoints=3,
    slots=6,
    stay=0.05,
    arrivals_per_s=30,
    shedding=3,
    bunch=8,
)
NEARLY_FULL = RestLoad(arrivals_per_s=110, seconds=20)
LOADS = (SHEDDING, MANY_SHEDDING, BUNCHES, NEARLY_FULL)


@pytest.mark.parametrize('load', LOADS)
def test_fleet_keeps_to_the_rests(load: RestLoad) -> None:
    """Guards against requests within a rest that an endpoint asked for."""
    assert RestPlay(OneFirst(load)).run(SEED).most_in_rest <= MOST_WITHIN_REST


@pytest.mark.parametrize('load', LOADS)
def test_without_rests_they_are_broken(load: RestLoad) -> None:
    assert RestPlay(NoRest(load)).run(SEED).most_in_rest > MOST_WITHIN_REST


def test_fewer_callers_are_turned_away_than_without_rests() -> None:
    """Guards against callers that try what is known to refuse them."""
    plain = RestPlay(NoRest(MANY_SHEDDING)).run(SEED)
    kept = RestPlay(OneFirst(MANY_SHEDDING)).run(SEED)
    assert kept.turned_away < plain.turned_away / 2
    assert kept.served > plain.served


def test_rests_told_to_peers_leave_callers_without_service() -> None:
    """Guards against a fleet that leaves all endpoints by word of one entry."""
    told = RestPlay(ToldToPeers(NEARLY_FULL)).run(SEED)
    kept = RestPlay(OneFirst(NEARLY_FULL)).run(SEED)
    assert kept.served > told.served


def test_one_request_first_spares_callers_that_come_together() -> None:
    """Guards against a crowd that is turned away at the end of a rest."""
    crowd = RestPlay(AllAtTheEnd(BUNCHES)).run(SEED)
    first = RestPlay(OneFirst(BUNCHES)).run(SEED)
    assert first.turned_away < crowd.turned_away / 2


def test_shorter_rest_does_not_end_a_longer_one() -> None:
    """Guards against a request sent within the first of two rests."""
    rests = AskedRests()
    rests.said(ENGINE, 5, 10)
    rests.said(ENGINE, 1, 11)
    assert rests.seconds_left(ENGINE, 11) == 4


def test_answer_to_an_earlier_request_ends_no_rest() -> None:
    """Guards against a rest that is forgotten as a stream of before begins."""
    rests = AskedRests()
    rests.said(ENGINE, 5, 10)
    rests.accepted(ENGINE)
    assert not rests.takes(ENGINE, 11)


def test_rest_of_no_length_is_none() -> None:
    rests = AskedRests()
    rests.said(ENGINE, 0, 10)
    rests.sent(ENGINE, 10)
    assert rests.takes(ENGINE, 10)


def test_rest_beyond_all_measure_has_an_end() -> None:
    """Guards against an endpoint that is lost to a value nobody meant."""
    rests = AskedRests()
    rests.said(ENGINE, 1e300, 0)
    assert not rests.takes(ENGINE, MAX_BACKOFF_SECONDS - 1)
    assert rests.takes(ENGINE, MAX_BACKOFF_SECONDS)


def test_request_that_is_never_answered_holds_others_up_for_a_moment() -> None:
    """Guards against an endpoint that is lost with the one that went first."""
    rests = AskedRests()
    rests.said(ENGINE, 1, 10)
    rests.sent(ENGINE, 11)
    assert not rests.takes(ENGINE, 11)
    assert rests.takes(ENGINE, 11 + PROBE_TIMEOUT_SECONDS)


def test_many_rests_that_are_over_are_forgotten() -> None:
    """Guards against memory that grows with each start of an endpoint."""
    rests = AskedRests()
    for number in range(10_000):
        rests.said(lifetime(number), 1, number)
    assert len(rests.backoffs) < 5000
    assert not rests.takes(lifetime(9999), 9999)
