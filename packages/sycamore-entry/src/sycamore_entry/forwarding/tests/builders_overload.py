"""Entries with ranked services and endpoints without free slots."""

import contextlib
from collections.abc import AsyncIterator, Iterable, Iterator
from typing import Any

import logbook
import msgspec
from sycamore_core.decisions.direct import Assignment
from sycamore_core.decisions.overload import EndpointSlots
from sycamore_core.ids import EndpointId, RequestId, ServiceId
from sycamore_core.routing import Rank, Route, RouteKind, WaitingReport

from ..callers.refusals import Refusal, RefusalCause
from ..placement.dispatcher import Placement
from ..placement.overload_state import WaitingView
from ..placement.slot_wait import SlotWait, UnplacedRequest
from .builders import (
    COSTS,
    MODEL,
    SERVICE,
    RawEndpoint,
    TestEntry,
    route,
    running_entry,
    table_of,
)

LogFields = dict[str, Any]

STREAM = route(RouteKind.RESUMABLE_STREAM, MODEL, time_limit=8)
PLAIN = route(RouteKind.UNSAFE)
SAFE = route(RouteKind.SAFE)
#: A less urgent route of the model service, which makes the service ranked.
LESS_URGENT = msgspec.structs.replace(STREAM, prefix='/b/', priority=2)


@contextlib.asynccontextmanager
async def ranked_entry(
    served: Route,
    *endpoints: RawEndpoint,
    others: tuple[Route, ...] = (),
) -> AsyncIterator[TestEntry]:
    """Run an entry whose model service is ranked."""
    async with running_entry(served, *endpoints) as entry:
        entry.context.keeper.in_force.table = table_of(
            served, STREAM, LESS_URGENT, *others
        )
        yield entry


def occupy(entry: TestEntry, name: str, count: int = COSTS.slots) -> None:
    """Record requests in progress at an endpoint."""
    dispatcher = entry.context.dispatcher
    for number in range(count):
        request = RequestId(f'{name} {number}')
        dispatcher.begin(request, {EndpointId(name): Assignment(read_ms=0)})
        dispatcher.loads.record_first_token(request, [EndpointId(name)])


def know_call_time(entry: TestEntry, seconds: float) -> None:
    """Record a call at an idle replica of the plain service."""
    times = entry.context.overload.plain_times[SERVICE]
    times.record(seconds, EndpointSlots(slots=6, requests=0))


class FixedWaiting(WaitingView):
    """Waiting requests that do not change."""

    def __init__(self, rank: Rank, count: int) -> None:
        self.report = WaitingReport(MODEL, rank, count, 0.2)

    def reports(self, service: ServiceId) -> Iterable[WaitingReport]:
        return (self.report,)


class DisplacingWait(SlotWait):
    """A full queue in which more urgent requests displace every request."""

    async def place(self, request: UnplacedRequest) -> Placement:
        raise Refusal(RefusalCause.DISPLACED)


@contextlib.contextmanager
def captured_lines(event: str, lines: list[LogFields]) -> Iterator[None]:
    """Add the fields of the log lines of one event to a list."""
    handler = logbook.TestHandler(level='INFO')
    with handler.applicationbound():
        yield
    lines.extend(
        dict(record.extra)
        for record in handler.records
        if record.message == event
    )
