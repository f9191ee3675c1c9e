"""Records of recent requests that were refused or failed.

Operators use a record to find the reason for a refusal, with the settings
version, the endpoint and the times. The registry is bounded, so that an
overload that refuses thousands of requests a second does not fill the memory.
"""

from collections import OrderedDict

import msgspec
from sycamore_core.ids import EndpointId, RequestId, ServiceId, WorkspaceId
from sycamore_core.states import Execution, PromptBand, RefusalReason

#: A record takes about 0.5 KB, so all take 2 MB of the 64 MB that a process
#: may use.
MAX_RECORDS = 4096


class RequestRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One refused or failed request, without any text of the prompt.

    Attributes
    ----------
    arrived_at, ended_at
        Wall-clock time, in seconds since the epoch.
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


class RecordRegistry:
    """Stores the newest records by request id."""

    def __init__(self, limit: int = MAX_RECORDS) -> None:
        self.limit = limit
        self._records: OrderedDict[RequestId, RequestRecord] = OrderedDict()

    def add(self, record: RequestRecord) -> None:
        """Add a record and remove the oldest ones beyond the limit."""
        self._records[record.request_id] = record
        while len(self._records) > self.limit:
            self._records.popitem(last=False)

    def find(self, request_id: RequestId) -> RequestRecord | None:
        """Return the record of a request, or None if there is none."""
        return self._records.get(request_id)

    def newest(self, count: int) -> list[RequestRecord]:
        """Return up to `count` records, newest first."""
        newest_first = reversed(self._records.values())
        return [record for record, _ in zip(newest_first, range(count))]
