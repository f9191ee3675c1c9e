"""Replays of claims of peers, some of which do not answer."""

import pytest

from ..claimed_versions import (
    ANSWER_SECONDS,
    CLAIM_SECONDS,
    REPEAT_SECONDS,
    ClaimedVersions,
)

#: Time in which a configuration must be in force, in seconds.
CHANGE_SECONDS = 2.0
VERSION = 7


def replay(deaf: int, sound: int) -> tuple[float, list[str]]:
    """Return when a sound peer is asked, and who was asked until then.

    All peers repeat their claims, the deaf ones first.
    """
    claims = ClaimedVersions()
    names = [f'deaf-{place}' for place in range(deaf)]
    names += [f'sound-{place}' for place in range(sound)]
    asked: list[str] = []
    now: float = 0
    while not any(name.startswith('sound') for name in asked):
        now += ANSWER_SECONDS
        for name in names:
            claims.record(name, VERSION, now)
        asked += claims.choose(above=VERSION - 1, now=now)
    return now, asked


@pytest.mark.parametrize('deaf', [0, 1, 4, 30, 68])
def test_sound_peer_is_asked_in_time_behind_deaf_ones(deaf: int) -> None:
    """Guards against an entry that asks only peers that do not answer."""
    seconds, asked = replay(deaf, 1)
    assert seconds < CHANGE_SECONDS
    assert len(asked) == len(set(asked))


def test_one_peer_is_asked_where_all_answer() -> None:
    """Guards against a large configuration that all peers send at once."""
    assert replay(0, 30) == (ANSWER_SECONDS, ['sound-0'])


def test_peer_is_not_asked_more_often_than_once_a_second() -> None:
    """Guards against megabytes that one peer sends again and again."""
    claims = ClaimedVersions()
    now: float = 0
    asked = 0
    while now < 10:
        claims.record('a', VERSION, now)
        asked += len(claims.choose(above=VERSION - 1, now=now))
        now += ANSWER_SECONDS
    assert asked <= 10 / REPEAT_SECONDS


def test_claim_of_a_peer_that_went_silent_lapses() -> None:
    """Guards against requests to peers that have ended."""
    claims = ClaimedVersions()
    claims.record('a', VERSION, 0)
    assert claims.newest(CLAIM_SECONDS) == VERSION
    assert claims.newest(CLAIM_SECONDS + 0.1) == 0
    assert not claims.choose(above=0, now=CLAIM_SECONDS + 0.1)


def test_unreadable_version_is_not_requested_again() -> None:
    """Guards against an unreadable document that all peers send for ever."""
    claims = ClaimedVersions()
    claims.record('a', VERSION, 0)
    claims.record_unusable(VERSION)
    assert not claims.choose(above=0, now=0)
    claims.record('a', VERSION + 1, 1)
    assert claims.choose(above=0, now=1) == ('a',)


def test_one_peer_is_asked_for_each_version_of_a_series() -> None:
    """Guards against configurations that all peers send in a series of them.

    A newer version is claimed before the last one is in force.
    """
    claims = ClaimedVersions()
    asked = []
    now: float = 0
    for version in range(VERSION, VERSION + 20):
        for peer in ('deaf', 'b', 'c', 'd', 'e'):
            claims.record(peer, version, now)
        now += ANSWER_SECONDS
        chosen = claims.choose(above=version - 1, now=now)
        for peer in chosen:
            if peer != 'deaf':
                claims.record_answer(peer)
        asked += chosen
    assert len(asked) <= 20 + 5
    assert asked.count('deaf') == 1


def test_newest_version_is_requested_first() -> None:
    """Guards against a version that is out of date when it arrives."""
    claims = ClaimedVersions()
    claims.record('a', VERSION, 0)
    claims.record('b', VERSION + 1, 0)
    assert claims.choose(above=0, now=0) == ('b',)
