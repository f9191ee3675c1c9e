"""Tests of the records of refused requests."""

from sycamore_core.ids import RequestId, ServiceId, WorkspaceId
from sycamore_core.states import Execution, RefusalReason

from .. import RecordBook, RequestRecord


def make_record(name: str) -> RequestRecord:
    return RequestRecord(
        request_id=RequestId(name),
        workspace=WorkspaceId('w'),
        service=ServiceId('s'),
        band=None,
        reason=RefusalReason.OVERLOADED,
        execution=Execution.NOT_RUN,
        detail='',
        settings_version=1,
        endpoint=None,
        attempts=0,
        arrived_at=0,
        ended_at=0,
    )


def test_book_is_bounded_and_keeps_the_newest() -> None:
    """An overload refuses far more requests than the book holds."""
    book = RecordBook(limit=3)
    for number in range(10):
        book.add(make_record(str(number)))
    assert [record.request_id for record in book.newest(2)] == ['9', '8']
    assert book.find(RequestId('7')) is not None
    assert book.find(RequestId('6')) is None
