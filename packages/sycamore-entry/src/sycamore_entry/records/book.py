"""The last requests that did not get what they asked for.

An operator who is asked "why was our booking refused" finds here the reason,
the settings version, the endpoint and the times. The book is bounded, so that
an overload that refuses thousands a second does not fill the memory.
"""

from collections import OrderedDict

import msgspec
from sycamore_core.ids import EndpointId, RequestId, ServiceId, WorkspaceId
from sycamore_core.states import Execution, PromptBand, RefusalReason

#: About 0.5 KB each, so 2 MB of the 64 MB that a process may take.
MAX_RECORDS = 4096


class RequestRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One refused or failed request; it holds no text of a prompt.

    Attributes
    ----------
    arrived_at, ended_at
        Wall clock, in seconds since 1970.
    """

    request_id: RequestId
    workspace: WorkspaceId
    service: ServiceId
    band: PromptBand | None
    reason: RefusalReason
    execution: Execution
    detail: str
    settings_version: int
    endpoint: EndpointId | None
    attempts: int
    arrived_at: float
    ended_at: float


class RecordBook:
    """Keeps the newest records, by request id."""

    def __init__(self, limit: int = MAX_RECORDS) -> None:
        self.limit = limit
        self._records: OrderedDict[RequestId, RequestRecord] = OrderedDict()

    def add(self, record: RequestRecord) -> None:
        """Keep a record and drop the oldest beyond the limit."""
        self._records[record.request_id] = record
        while len(self._records) > self.limit:
            self._records.popitem(last=False)

    def find(self, request_id: RequestId) -> RequestRecord | None:
        """Return the record of a request, if it is still kept."""
        return self._records.get(request_id)

    def newest(self, count: int) -> list[RequestRecord]:
        """Return up to `count` records, the newest first."""
        newest_first = reversed(self._records.values())
        return [record for record, _ in zip(newest_first, range(count))]
