"""Watches of the platform whose answers are all lost in one moment."""

import pytest

from .builders_watches import (
    CHANGE_SECONDS,
    CONTACT_SECONDS,
    InStep,
    Probed,
    ShorterForAll,
    Staggered,
    figures,
)

SIZES = (1, 2, 3, 4, 5, 26, 68, 350)
#: Calls that staggered watches may cost beyond those in step, as a factor, and
#: in calls per second for fleets of a few entries.
COST_FACTOR = 1.15
SMALL_FLEET_CALLS_PER_S = 2.5


@pytest.mark.parametrize('entries', SIZES)
def test_lost_answers_are_found_while_the_change_is_in_time(
    entries: int,
) -> None:
    """Guards against entries that are all blind until their watches end."""
    assert figures(Staggered, entries).blind_seconds < CHANGE_SECONDS
    assert figures(InStep, entries).blind_seconds > CHANGE_SECONDS


@pytest.mark.parametrize('entries', SIZES)
def test_staggered_watches_cost_few_calls(entries: int) -> None:
    """Guards against reads that operators pay for without a use."""
    usual = figures(InStep, entries).calls_per_s
    allowed = max(usual * COST_FACTOR, SMALL_FLEET_CALLS_PER_S)
    assert figures(Staggered, entries).calls_per_s <= allowed


def test_entry_alone_finds_a_lost_answer_in_time() -> None:
    """Guards against an entry that only its peers could tell of a change.

    They are refused by the platform. It is in contact again after 3 s.
    """
    way = Staggered(5)
    way.spread = lambda first: CONTACT_SECONDS * 2
    assert way.worst_blind_seconds() < CONTACT_SECONDS


@pytest.mark.parametrize('entries', SIZES)
def test_other_ways_cost_more_or_are_later(entries: int) -> None:
    """The comparison behind the choice, see the page on capacity."""
    staggered = figures(Staggered, entries)
    assert figures(ShorterForAll, entries).calls_per_s >= staggered.calls_per_s
    probed = figures(Probed, entries)
    assert probed.calls_per_s >= min(
        staggered.calls_per_s, figures(InStep, entries).calls_per_s
    )
