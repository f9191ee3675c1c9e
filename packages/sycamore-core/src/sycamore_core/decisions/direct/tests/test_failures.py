"""What entries believe of endpoints that fail."""

from ....ids import EndpointId
from ..failures import (
    INITIAL_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    MAX_REPORTED,
    RECENT_ACTIVITY_SECONDS,
    FailureBook,
)

ENGINE = EndpointId('e1')


def test_endpoint_that_fails_again_rests_longer() -> None:
    book = FailureBook()
    book.failed(ENGINE, now=10)
    book.failed(ENGINE, now=11)
    assert book.is_resting(ENGINE, 11 + INITIAL_BACKOFF_SECONDS * 1.5)
    for _ in range(9):
        book.failed(ENGINE, now=12)
    assert not book.is_resting(ENGINE, 12.1 + MAX_BACKOFF_SECONDS)


def test_word_of_a_peer_keeps_work_away_for_a_moment() -> None:
    """A sixth of the engines fall silent, and stay registered.

    An entry that had to find out by itself would lose a turn at each.
    """
    teller = FailureBook()
    teller.failed(ENGINE, now=10)
    hearer = FailureBook()
    hearer.hear(teller.to_tell(10.02), now=10.02)
    assert hearer.is_resting(ENGINE, 10.1)
    assert not hearer.is_resting(ENGINE, 10.1 + INITIAL_BACKOFF_SECONDS)
    # It has not failed here, and is told on by nobody but its witness.
    assert not hearer.to_tell(10.1)


def test_own_sign_of_life_outweighs_the_word_of_a_peer() -> None:
    """A link between one entry and an engine is cut, others reach it."""
    book = FailureBook()
    book.sent_something(ENGINE, now=10)
    book.hear([ENGINE], now=10 + RECENT_ACTIVITY_SECONDS / 2)
    assert not book.is_resting(ENGINE, 10.1 + RECENT_ACTIVITY_SECONDS / 2)


def test_entry_that_is_cut_off_sends_nobody_away() -> None:
    """One entry loses its way to all engines, and still hears its peers.

    If they believed it, they would leave all engines at once.
    """
    book = FailureBook()
    for number in range(MAX_REPORTED + 1):
        book.failed(EndpointId(f'e{number}'), now=10)
    assert not book.to_tell(10.1)


def test_answer_ends_what_was_heard() -> None:
    book = FailureBook()
    book.hear([ENGINE], now=10)
    book.answered(ENGINE)
    assert not book.is_resting(ENGINE, 10.1)
