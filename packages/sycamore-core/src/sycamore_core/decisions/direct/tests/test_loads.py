"""What entries know of engines: their own work and their peers' updates."""

from ....ids import EndpointId, PeerId, RequestId, ZoneId
from ....routing import EngineLoad, EngineShare, Unread
from ..engine_work import Assignment
from ..load_book import STALE_SECONDS, LoadBook
from ..pass_forecast import forecast
from .builders import COSTS

ENGINE = EndpointId('e1')
PEER = PeerId('entry-2')
REQUEST = RequestId('r1')


def share(**load: object) -> EngineShare:
    return EngineShare(ENGINE, EngineLoad(**load))


def busy(book: LoadBook, now: float) -> int:
    return round(forecast(book.load(ENGINE, now), COSTS).busy_ms)


def test_reading_ends_with_the_first_token() -> None:
    book = LoadBook()
    book.begin(REQUEST, {ENGINE: Assignment(read_ms=800)}, now=10)
    assert busy(book, 10.3) == 500
    book.first_token(REQUEST, [ENGINE])
    assert not book.load(ENGINE, 10.5).unread
    assert book.load(ENGINE, 10.5).writers == 1
    book.end(REQUEST, [ENGINE])
    assert book.load(ENGINE, 11) == EngineLoad()


def test_overdue_reading_does_not_make_an_engine_look_idle() -> None:
    """An engine takes longer to read than was estimated.

    If it looked idle from then on, more prompts would be sent to it, and
    each would wait longer than the one before.
    """
    book = LoadBook()
    book.begin(REQUEST, {ENGINE: Assignment(read_ms=800)}, now=10)
    assert busy(book, 11.8) == 500


def test_later_part_goes_ahead() -> None:
    book = LoadBook()
    first = Assignment(read_ms=500, is_ahead=True)
    second = Assignment(read_ms=300, is_ahead=True)
    book.begin(RequestId('first'), {ENGINE: first}, now=10)
    book.begin(RequestId('second'), {ENGINE: second}, now=10.1)
    known = forecast(book.load(ENGINE, 10.1), COSTS)
    done = {
        one.key: round(done_ms)
        for one, done_ms in zip(known.waiting, known.done_ms, strict=True)
    }
    assert done == {'first': 700, 'second': 300}


def test_word_of_a_peer_ages() -> None:
    """A peer falls silent, as if cut off, after it began a long prompt."""
    book = LoadBook()
    unread = Unread('long', 20, read_ms=1000, waited_ms=0, slack_ms=3000)
    update = share(requests=1, unread=(unread,))
    book.hear(PEER, [update], now=10, is_whole=True)
    assert busy(book, 10.4) == 600
    assert book.load(ENGINE, 10.4).requests == 1
    assert book.load(ENGINE, 10.1 + STALE_SECONDS) == EngineLoad()


def test_lost_word_is_made_good_by_the_next_whole_one() -> None:
    """The message that a request is over is lost on the way."""
    book = LoadBook()
    book.hear(PEER, [share(requests=5)], now=10, is_whole=False)
    book.hear(PEER, [], now=11, is_whole=True)
    assert book.load(ENGINE, 11).requests == 0


def test_only_what_changed_is_told() -> None:
    book = LoadBook()
    book.begin(REQUEST, {ENGINE: Assignment(read_ms=100)}, now=10)
    assert book.take_changed() == {ENGINE}
    assert book.take_changed() == set()
    book.end(REQUEST, [ENGINE])
    told = book.shares(book.take_changed(), now=11)
    assert told == (EngineShare(ENGINE, EngineLoad()),)


FAR = ZoneId('z2')
OTHER = PeerId('entry-9')


def test_word_of_another_cell_holds_all_that_is_there() -> None:
    book = LoadBook()
    book.begin(REQUEST, {ENGINE: Assignment(read_ms=100)}, now=10)
    book.hear_cell(FAR, [share(requests=3)], now=10.5)
    assert book.load(ENGINE, 10.5).requests == 4


def test_entry_is_not_told_of_its_own_work() -> None:
    """An entry sends turns to another cell, whose summary comes right after.

    Told of them once more, it would count them twice for a second.
    """
    book = LoadBook()
    book.hear(PEER, [share(requests=2)], now=10, is_whole=False)
    book.hear(PeerId('entry-3'), [share(requests=1)], now=10, is_whole=False)
    told = book.near_shares([ENGINE], 10, PEER)
    assert told[0].load.requests == 1


def test_engine_that_another_cell_leaves_out_is_idle() -> None:
    book = LoadBook()
    book.hear_cell(FAR, [share(requests=3)], now=10)
    book.hear_cell(FAR, [], now=11)
    assert book.load(ENGINE, 11) == EngineLoad()


def test_silent_cell_is_not_believed_for_long() -> None:
    """A whole zone is cut off.

    What was said of its engines would keep this entry away from them, or
    send it there, long after it has changed.
    """
    book = LoadBook()
    book.hear_cell(FAR, [share(requests=5)], now=10, turns_per_s=40)
    now = 10.1 + STALE_SECONDS
    assert book.load(ENGINE, now) == EngineLoad()
    assert not book.pressure(now, everywhere=True).turns_per_s


def test_turns_of_other_cells_count_for_work_that_goes_there() -> None:
    book = LoadBook()
    book.hear(PEER, [], now=10, is_whole=True, turns_per_s=5)
    book.hear_cell(FAR, [], now=10, turns_per_s=40)
    assert book.pressure(10).turns_per_s == 5
    assert book.pressure(10, everywhere=True).turns_per_s == 45


def test_streams_of_a_cell_are_told_by_their_pauses() -> None:
    book = LoadBook()
    for number, pause_ms in enumerate((250, 250, 800)):
        request = RequestId(f'r{number}')
        work = {ENGINE: Assignment(read_ms=10, pause_ms=pause_ms)}
        book.begin(request, work, now=10)
        book.first_token(request, [ENGINE])
    book.hear(PEER, book.shares([ENGINE], 10), now=10, is_whole=True)
    load = book.near_shares([ENGINE], 10, OTHER)[0].load
    assert load.requests == 6
    weights = {one.pause_ms: one.weight for one in load.promises}
    assert weights == {250: 4, 800: 2}


def test_age_of_what_is_known_is_that_of_the_oldest_word() -> None:
    book = LoadBook()
    assert book.news_age(ENGINE, 10) is None
    book.hear(PEER, [share(requests=1)], now=10, is_whole=False)
    book.hear(PeerId('entry-3'), [share(requests=1)], now=11, is_whole=False)
    assert book.news_age(ENGINE, 12) == 2
    book.hear_cell(FAR, [share(requests=3)], now=11)
    assert book.news_age(ENGINE, 12) == 1


def test_word_of_a_silent_peer_is_not_passed_on() -> None:
    """A peer is cut off after it has sent work to an engine of this cell.

    Passed on to other cells, its work would keep them away for good.
    """
    book = LoadBook()
    book.hear(PEER, [share(requests=3)], now=10, is_whole=False)
    assert book.near_shares([ENGINE], 11, OTHER)
    assert not book.near_shares([ENGINE], 10.1 + STALE_SECONDS, OTHER)
