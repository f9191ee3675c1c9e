"""Whether what is known explains that a prompt has not been read yet."""

import pytest

from ....ids import EndpointId, PeerId, RequestId
from ....routing import EngineLoad, EngineShare, Unread
from ..engine_work import Assignment
from ..load_book import LoadBook
from ..overdue import is_overdue
from .builders import COSTS

REPORT = RequestId('report-0')
ENGINES = (EndpointId('e1'), EndpointId('e2'))
READ_MS = 300


def sent_book(*, is_ahead: bool = True) -> LoadBook:
    """Return what an entry knows that has sent a report at second 10."""
    book = LoadBook()
    parts = {
        engine: Assignment(read_ms=READ_MS, is_ahead=is_ahead)
        for engine in ENGINES
    }
    book.begin(REPORT, parts, now=10)
    return book


@pytest.mark.parametrize('is_ahead', [True, False])
@pytest.mark.parametrize(('now', 'expected'), [(10.1, False), (10.8, True)])
def test_report_at_a_mute_engine_becomes_overdue(
    now: float,
    *,
    expected: bool,
    is_ahead: bool,
) -> None:
    """Nobody else has sent anything to the engines, and no answer comes."""
    book = sent_book(is_ahead=is_ahead)
    assert is_overdue(REPORT, ENGINES, book, COSTS, now) is expected


@pytest.mark.parametrize('engine', ENGINES)
def test_part_that_came_later_explains_the_wait(engine: EndpointId) -> None:
    """Another entry puts a part of two seconds on one of the engines.

    Taken for the fault of an engine, the report would be read twice.
    """
    book = sent_book()
    part = Unread('archive-', 40, 2000, 0, 4000, is_ahead=True)
    share = EngineShare(engine, EngineLoad(unread=(part,)))
    book.hear(PeerId('p'), (share,), 10.1, is_whole=False)
    assert not is_overdue(REPORT, ENGINES, book, COSTS, 10.8)
    assert is_overdue(REPORT, ENGINES, book, COSTS, 13)
