"""Requests under which endpoints crash, and bystanders."""

import pytest

from ....ids import ContentDigest, EndpointId
from ....routing import CrashReport, EndpointLifetime
from ..crash_records import MAX_SIMULTANEOUS_CRASHES
from ..crash_registry import MAX_CONTENTS, QUARANTINE_SECONDS
from ..quarantine import DOUBT_SECONDS, Quarantine

POISON = ContentDigest(b'crashing request')
#: Sends that the users allow after the third crash.
MOST_FURTHER = 3
BYSTANDER = ContentDigest(b'ordinary request')


def numbered(number: int) -> ContentDigest:
    return ContentDigest(str(number).zfill(16).encode())


def start_of(name: str, started_ms: int = 5) -> EndpointLifetime:
    return EndpointLifetime(EndpointId(name), started_ms)


def crash(
    book: Quarantine,
    name: str,
    now: float,
    content: ContentDigest = POISON,
    *,
    had_just_begun: bool = True,
) -> None:
    book.crashed(content, start_of(name), now, had_just_begun=had_just_begun)


def test_second_crash_of_a_request_that_had_just_begun_holds_it() -> None:
    book = Quarantine()
    crash(book, 'e1', 10)
    assert not book.is_held(POISON, 10)
    crash(book, 'e2', 12)
    assert book.is_held(POISON, 12)
    assert book.seconds_left(POISON, 13) == QUARANTINE_SECONDS - 1


def test_request_that_crashes_endpoints_later_is_held_after_three() -> None:
    """Guards against a request that streams for a while before it does harm."""
    book = Quarantine()
    for number in range(3):
        assert not book.is_held(POISON, 10 + number)
        crash(book, f'e{number}', 10 + number, had_just_begun=False)
    assert book.is_held(POISON, 13)


def test_bystander_that_is_answered_between_two_crashes_is_not_held() -> None:
    """Guards against a popular call that is held for others' crashes."""
    book = Quarantine()
    for number in range(12):
        crash(book, f'e{number}', 10 + number, BYSTANDER)
        book.answered(BYSTANDER, 10.5 + number)
        assert not book.is_held(BYSTANDER, 10.5 + number)


def test_cleared_request_is_held_when_it_crashes_endpoints_later() -> None:
    """Guards against room for crashes that is used up by cleared ones."""
    book = Quarantine()
    for number in range(6):
        crash(book, f'e{number}', 10 + number)
        book.answered(POISON, 10.5 + number)
    crash(book, 'e7', 20)
    crash(book, 'e8', 21)
    assert book.is_held(POISON, 21)


def test_bystander_that_moves_on_with_the_cause_is_not_held() -> None:
    """Guards against streams that go to the next endpoint with the cause."""
    book = Quarantine()
    for number in range(2):
        crash(book, f'e{number}', 10 + number)
        crash(book, f'e{number}', 10 + number, BYSTANDER)
    assert not book.is_held(BYSTANDER, 12)
    book.answered(BYSTANDER, 12)
    assert book.is_held(POISON, 12)
    assert not book.is_held(BYSTANDER, 12)


def test_cause_is_held_after_three_crashes_whoever_was_there() -> None:
    """Guards against a cause that hides among others for ever."""
    book = Quarantine()
    for number in range(3):
        crash(book, f'e{number}', 10 + number)
        for other in range(5):
            crash(book, f'e{number}', 10 + number, numbered(other + 9 * number))
    assert book.is_held(POISON, 13)
    assert not book.is_held(numbered(1), 13)


def test_bystander_of_all_crashes_is_soon_let_through_again() -> None:
    """Guards against a popular call that is held for long beside the cause."""
    book = Quarantine()
    for number in range(3):
        crash(book, f'e{number}', 10)
        crash(book, f'e{number}', 10, BYSTANDER)
    assert book.is_held(BYSTANDER, 10 + DOUBT_SECONDS / 2)
    assert not book.is_held(BYSTANDER, 10 + DOUBT_SECONDS)
    book.answered(BYSTANDER, 11 + DOUBT_SECONDS)
    assert book.is_held(POISON, 11 + DOUBT_SECONDS)


def test_bystander_of_a_crash_whose_cause_nobody_tells_is_held_briefly() -> (
    None
):
    """Guards against an entry that dies before it tells what it had sent."""
    book = Quarantine()
    crash(book, 'e1', 10)
    crash(book, 'e1', 10, BYSTANDER)
    crash(book, 'e2', 11, BYSTANDER)
    assert not book.is_held(BYSTANDER, 11 + DOUBT_SECONDS)


def test_request_that_crashes_again_when_let_through_is_held_longer() -> None:
    """Guards against a cause in doubt that ends an endpoint every moment."""
    book = Quarantine()
    now, crashes = 10.0, 0
    while now < 300:
        if not book.is_held(POISON, now):
            crash(book, f'e{crashes}', now, had_just_begun=False)
            crashes += 1
        now += 0.5
    assert crashes <= 3 + MOST_FURTHER


def test_one_crash_that_two_entries_see_counts_once() -> None:
    """Guards against two callers of one request that hold it by one crash."""
    one, other = Quarantine(), Quarantine()
    crash(one, 'e1', 10)
    crash(other, 'e1', 10.001)
    other.hear(one.book.news(10.1), 10.1)
    assert not other.is_held(POISON, 10.1)


def test_endpoint_that_is_back_under_its_id_counts_again() -> None:
    book = Quarantine()
    for started_ms in (5, 6):
        endpoint = start_of('e1', started_ms)
        book.crashed(POISON, endpoint, 10 + started_ms, had_just_begun=True)
    assert book.is_held(POISON, 20)


def test_crashes_that_several_entries_saw_add_up() -> None:
    """Guards against a request that ends one endpoint at each entry."""
    one, other = Quarantine(), Quarantine()
    crash(one, 'e1', 10)
    crash(other, 'e2', 11)
    assert other.hear(one.book.news(11), 11) == [POISON]
    assert not other.hear(one.book.news(11.1), 11.1)


def test_age_of_a_crash_passes_through_entries_with_other_clocks() -> None:
    one, other = Quarantine(), Quarantine()
    crash(one, 'e1', 10)
    crash(one, 'e2', 11)
    other.hear(one.book.everything(41), 7000)
    assert other.seconds_left(POISON, 7000) == QUARANTINE_SECONDS - 30


def test_crash_of_many_endpoints_at_once_holds_nothing() -> None:
    """Guards against the loss of a zone that holds the requests there."""
    book = Quarantine()
    for number in range(MAX_SIMULTANEOUS_CRASHES * 3):
        content = numbered(number)
        crash(book, f'e{number}', 10, content)
        crash(book, f'e{number}', 10, BYSTANDER)
    assert len(book.book.records) <= MAX_SIMULTANEOUS_CRASHES + 1
    crash(book, 'e100', 10.2, POISON)
    assert not book.is_held(POISON, 11)


def test_held_request_is_tried_again_in_the_end() -> None:
    book = Quarantine()
    crash(book, 'e1', 10)
    crash(book, 'e2', 11)
    assert not book.is_held(POISON, 11 + QUARANTINE_SECONDS)
    assert not book.book.may_know(POISON[:8])


def test_flood_of_other_contents_does_not_free_a_held_one() -> None:
    """Guards against a memory that grows with what callers send."""
    book = Quarantine()
    crash(book, 'e1', 1)
    crash(book, 'e2', 2)
    for number in range(3 * MAX_CONTENTS):
        content = numbered(number)
        crash(book, f'x{number}', 3 + number, content)
    assert len(book.book.records) == MAX_CONTENTS
    assert book.is_held(POISON, 500)


def test_entry_that_hears_late_learns_of_all_in_turn() -> None:
    """Guards against an entry that was cut off while all others learned."""
    one, late = Quarantine(), Quarantine()
    for number in range(40):
        content = numbered(number)
        crash(one, f'e{number}', number, content)
        crash(one, f'x{number}', number, content)
    for beat in range(10):
        late.hear(one.book.in_turn(200 + beat), 200 + beat)
    assert late.book.records.keys() == one.book.records.keys()


def test_summaries_for_other_cells_take_no_turn_of_the_own_one() -> None:
    """Guards against held contents of which an entry's own cell hears never."""
    one, late = Quarantine(), Quarantine()
    for number in range(20):
        crash(one, f'e{number}', number, numbered(number))
        crash(one, f'x{number}', number, numbered(number))
    for beat in range(20):
        now = 200 + beat
        late.hear(one.book.in_turn(now), now)
        for _ in range(4):
            one.book.in_turn(now)
    assert late.book.records.keys() == one.book.records.keys()


@pytest.mark.parametrize('age', [QUARANTINE_SECONDS, 1e9])
def test_word_that_is_too_old_is_not_believed(age: float) -> None:
    book = Quarantine()
    book.hear([CrashReport(POISON, start_of('e1'), age)], 10)
    assert not book.book.records


@pytest.mark.parametrize(
    ('alone', 'shared', 'run_on', 'held'),
    [
        (1, 0, 0, 0),
        (2, 0, 0, QUARANTINE_SECONDS),
        (1, 1, 0, DOUBT_SECONDS),
        (0, 2, 0, 0),
        (0, 3, 0, DOUBT_SECONDS),
        (1, 2, 0, DOUBT_SECONDS),
        (2, 1, 0, QUARANTINE_SECONDS),
        (0, 0, 2, 0),
        (0, 0, 3, DOUBT_SECONDS),
        (0, 4, 0, 9 * DOUBT_SECONDS),
        (0, 5, 0, 81 * DOUBT_SECONDS),
        (0, 6, 0, QUARANTINE_SECONDS),
    ],
)
def test_for_how_long_a_request_is_held(
    alone: int,
    shared: int,
    run_on: int,
    held: float,
) -> None:
    """Guards against thresholds whose meeting nobody can foresee.

    Crashes at which it alone had just begun, at which another had as well, and
    at which it had run for a while.
    """
    book = Quarantine()
    now = float(0)
    for number in range(alone + shared):
        now += 1
        crash(book, f'e{number}', now)
        if number >= alone:
            crash(book, f'e{number}', now, BYSTANDER)
    for number in range(run_on):
        now += 1
        crash(book, f'late-{number}', now, had_just_begun=False)
    assert book.seconds_left(POISON, now) == held
