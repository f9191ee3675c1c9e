"""Requests in doubt are tried by one attempt in the whole fleet."""

import pytest

from ..crash_registry import QUARANTINE_SECONDS
from ..quarantine import DOUBT_SECONDS, Quarantine
from ..trials import MOST_TRIES, TRIAL_TIMEOUT_SECONDS, granting_entry
from .builders_trials import (
    BYSTANDER,
    POISON,
    AllAtTheEnd,
    HeldLoad,
    HoldPlay,
    OneAtEachEntry,
    OneGranted,
)
from .test_quarantine import crash

SEED = 1
LOADS = (
    HeldLoad(),
    HeldLoad(entries=26, poison_per_s=40),
    HeldLoad(poison_per_s=40, bystander_per_s=1),
)
OVER = 10 + DOUBT_SECONDS


def doubted(now: float = 10) -> Quarantine:
    """Return a book in which two requests are in doubt."""
    book = Quarantine()
    for number in range(3):
        crash(book, f'e{number}', now)
        crash(book, f'e{number}', now, BYSTANDER)
    return book


@pytest.mark.parametrize('load', LOADS)
def test_fleet_sends_a_crashing_request_three_times_more_at_most(
    load: HeldLoad,
) -> None:
    """Guards against a hold that ends at all entries at one moment."""
    assert HoldPlay(OneGranted(load)).run(SEED).sends <= MOST_TRIES


@pytest.mark.parametrize('load', LOADS[1:])
def test_without_grants_it_is_sent_more_often(load: HeldLoad) -> None:
    assert HoldPlay(AllAtTheEnd(load)).run(SEED).sends > MOST_TRIES


def test_one_at_each_entry_is_more_than_one() -> None:
    """Guards against a bound of each entry where the harm adds up."""
    load = HeldLoad(entries=26, poison_per_s=40)
    assert HoldPlay(OneAtEachEntry(load)).run(SEED).sends > MOST_TRIES


@pytest.mark.parametrize('load', LOADS)
def test_bystander_is_free_soon_after_the_hold(load: HeldLoad) -> None:
    """Guards against a popular call that is refused beside the cause."""
    refused = HoldPlay(OneGranted(load)).run(SEED).refused_seconds
    assert refused < DOUBT_SECONDS + 2


def test_one_try_at_a_time() -> None:
    book = doubted()
    assert not book.grant_try(POISON, OVER - 1)
    assert book.grant_try(POISON, OVER) == 1
    assert not book.grant_try(POISON, OVER + TRIAL_TIMEOUT_SECONDS - 1)


def test_try_whose_end_nobody_tells_is_followed_by_another() -> None:
    """Guards against a bystander that is lost with the caller of its try."""
    book = doubted()
    book.grant_try(POISON, OVER)
    assert book.grant_try(POISON, OVER + TRIAL_TIMEOUT_SECONDS) == 2


def test_request_is_tried_three_times_for_as_long_as_its_crashes_count() -> (
    None
):
    """Guards against a cause that ends an endpoint every moment."""
    book = doubted()
    granted = [
        now
        for now in range(int(QUARANTINE_SECONDS))
        if book.grant_try(POISON, float(now))
    ]
    assert len(granted) == MOST_TRIES
    assert book.seconds_to_try(POISON, 100) == 10 + QUARANTINE_SECONDS - 100


def test_request_that_nobody_is_known_to_hold_is_not_granted() -> None:
    """Guards against an entry that grants what it has not heard of."""
    assert not Quarantine().grant_try(POISON, 10)


def test_tries_pass_to_the_entry_that_is_chosen_next() -> None:
    """Guards against three tries more with each entry that dies."""
    one, other = doubted(), doubted()
    for number in range(MOST_TRIES):
        assert one.grant_try(POISON, OVER + number * TRIAL_TIMEOUT_SECONDS)
    later = OVER + MOST_TRIES * TRIAL_TIMEOUT_SECONDS
    other.hear(one.book.in_turn(later), later)
    assert not other.grant_try(POISON, later + TRIAL_TIMEOUT_SECONDS)


def test_answer_to_a_try_frees_the_request_everywhere() -> None:
    """Guards against a bystander that is refused after it was cleared."""
    one, other = doubted(), doubted()
    one.grant_try(BYSTANDER, OVER)
    one.answered(BYSTANDER, OVER + 1)
    other.hear(one.book.news(OVER + 1), OVER + 1)
    assert not other.is_held(BYSTANDER, OVER + 1)
    assert not other.is_in_doubt(BYSTANDER, OVER + 1)


def test_grants_move_little_when_an_entry_dies() -> None:
    """Guards against grants that all change hands with one entry."""
    names = [f'entry-{number}' for number in range(10)]
    digests = [str(number).zfill(16).encode() for number in range(200)]
    before = [granting_entry(one, names) for one in digests]
    after = [granting_entry(one, names[1:]) for one in digests]
    moved = [one != other for one, other in zip(before, after, strict=True)]
    assert sum(moved) == before.count(names[0])
