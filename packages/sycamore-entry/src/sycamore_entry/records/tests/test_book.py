"""Tests of the records of refused requests."""

from sycamore_core.ids import RequestId, ServiceId, WorkspaceId
from sycamore_core.states import Execution, RefusalReason

from .. import RecordRegistry, RequestRecord


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


def test_registry_is_bounded_and_keeps_the_newest() -> None:
    """An overload refuses more requests than the registry can hold."""
    registry = RecordRegistry(limit=3)
    for number in range(10):
        registry.add(make_record(str(number)))
    assert [record.request_id for record in registry.newest(2)] == ['9', '8']
    assert registry.find(RequestId('7')) is not None
    assert registry.find(RequestId('6')) is None
