"""An entry's queue in front of engines with one slot each."""

import asyncio

import msgspec
from sycamore_core.clock import SystemClock
from sycamore_core.decisions.direct import Assignment, ReadRequest
from sycamore_core.decisions.waiting import PeerClaims
from sycamore_core.ids import (
    EndpointId,
    EntryId,
    PeerId,
    RequestId,
    SettingsVersion,
    WorkspaceId,
    ZoneId,
)
from sycamore_core.messages import LoadUpdate
from sycamore_core.routing import (
    EndpointRecord,
    EngineLoad,
    EngineShare,
    Rank,
    Route,
    RouteKind,
    RoutingTable,
    ServiceRecord,
    WaitingReport,
    WorkspaceRecord,
)
from sycamore_core.telemetry import Log
from tornado.httputil import HTTPHeaders, RequestStartLine

from ..callers.caller_request import CallerRequest
from ..callers.refusals import Refusal, RefusalCause
from ..calls import AdmittedRequest
from ..content import RequestContent
from ..fleet.keeper import FleetKeeper
from ..metrics import ForwardingMetrics
from ..placement.dispatcher import DirectDispatcher, Placement
from ..placement.queued_wait import QueuedSlotWait
from ..placement.slot_wait import UnplacedRequest
from ..placement.slot_waits import SlotWaits
from ..wire import CallTerms
from .builders import COSTS, HOST, KEY, MODEL, SNAPSHOT, FixedFeed, route

SERVICE_RECORD = ServiceRecord(
    service=MODEL,
    max_connections=100,
    engine=msgspec.structs.replace(COSTS, slots=1),
)
ZONE = ZoneId('a')
PEER = PeerId('entry-2')
URGENT, NORMAL, LONG = 0, 1, 2
NONE_EXCLUDED: frozenset[EndpointId] = frozenset()


class RecordedLog(Log):
    """Keeps the events that are logged."""

    def __init__(self) -> None:
        super().__init__('test')
        self.events: list[tuple[str, dict[str, object]]] = []

    def info(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    def named(self, event: str) -> list[dict[str, object]]:
        return [fields for name, fields in self.events if name == event]


def ranked_route(priority: int, prefix: str = '/a/') -> Route:
    return msgspec.structs.replace(
        route(RouteKind.RESUMABLE_STREAM, MODEL, time_limit=10),
        name=f'r{priority}',
        prefix=prefix,
        priority=priority,
    )


def ranked_table(*services: ServiceRecord) -> RoutingTable:
    """Return a table whose model service has routes of three priorities."""
    routes = [
        ranked_route(URGENT, '/a/'),
        ranked_route(NORMAL, '/b/'),
        ranked_route(LONG, '/c/'),
    ]
    return RoutingTable(
        SettingsVersion(4),
        routes,
        services or (SERVICE_RECORD,),
        {KEY: WorkspaceRecord(WorkspaceId('school'))},
    )


def engine(name: str) -> EndpointRecord:
    return EndpointRecord(
        endpoint=EndpointId(name),
        service=MODEL,
        host=HOST,
        port=1,
        zone=ZONE,
        started_ms=5,
    )


class QueueEntry:
    """The placement of one entry; requests end when the test says so.

    Attributes
    ----------
    order
        Names of the placed requests, in order.
    """

    def __init__(self, *engines: str) -> None:
        clock = SystemClock()
        keeper = FleetKeeper(FixedFeed(SNAPSHOT), clock)
        keeper.in_force.table = ranked_table()
        self.keeper = keeper
        self.directory = keeper.directory
        for name in engines:
            self.directory.put(engine(name))
        self.dispatcher = DirectDispatcher(
            EntryId('entry-1'), ZONE, keeper, clock
        )
        self.log = RecordedLog()
        self.metrics = ForwardingMetrics()
        self.waits = SlotWaits(self.dispatcher, self.metrics, self.log)
        self.order: list[str] = []
        self.placed: dict[str, Placement] = {}
        self.tries = 0

    @property
    def now(self) -> float:
        return self.dispatcher.clock.monotonic()

    @property
    def wait(self) -> QueuedSlotWait:
        found = self.waits.for_service(SERVICE_RECORD)
        assert isinstance(found, QueuedSlotWait)
        return found

    @property
    def claims(self) -> PeerClaims:
        return self.waits.claims

    @property
    def dequeued(self) -> dict[str, int]:
        return dict(self.metrics.dequeued.counts)

    def send(
        self,
        name: str,
        priority: int = URGENT,
        *,
        prompt: int = 5000,
        seconds: float = 10,
        excluded: frozenset[EndpointId] = NONE_EXCLUDED,
    ) -> asyncio.Task[None]:
        """Send a request; its task ends when it has been placed."""
        call = make_call(name, priority, prompt, self.now, seconds)
        return asyncio.create_task(self._send(call, excluded))

    async def queue(self, name: str, *args, **more) -> asyncio.Task[None]:
        """Send a request and wait until it waits in the queue."""
        count = len(self.wait.queue)
        task = self.send(name, *args, **more)
        while len(self.wait.queue) == count:
            assert not task.done()
            await asyncio.sleep(0)
        return task

    def end(self, name: str) -> None:
        """End a placed request."""
        self.dispatcher.end(RequestId(name), self.placed.pop(name))

    def hear_waiting(
        self, rank: Rank, seconds: float = 5, count: int = 1
    ) -> None:
        """Apply a peer's report of waiting requests."""
        reports = (WaitingReport(MODEL, rank, count, seconds, 60),)
        self.waits.report.apply(PEER, peer_update(reports), self.now)

    def hear_load(self, name: str, requests: int) -> None:
        """Apply a peer's report of its requests at an engine."""
        share = EngineShare(EndpointId(name), EngineLoad(requests=requests))
        self.dispatcher.loads.apply_update(
            PEER, (share,), self.now, is_full=False
        )

    async def _send(
        self,
        call: AdmittedRequest,
        excluded: frozenset[EndpointId],
    ) -> None:
        placement = await self.wait.place(
            UnplacedRequest(
                call=call,
                place=lambda: self._place(call, excluded),
                build_refusal=self._refusal,
                excluded=excluded,
            )
        )
        name = call.request_id
        assignment = Assignment(read_ms=30, memory_tokens=6000)
        self.dispatcher.begin(name, {placement.primary.endpoint: assignment})
        self.order.append(name)
        self.placed[name] = placement

    def _place(
        self,
        call: AdmittedRequest,
        excluded: frozenset[EndpointId],
    ) -> Placement | None:
        self.tries += 1
        request = ReadRequest(
            prompt_tokens=call.terms.prompt_tokens,
            answer_tokens=call.terms.answer_tokens,
            objective_ms=300,
        )
        costs = SERVICE_RECORD.engine
        assert costs is not None
        return self.dispatcher.place_model(
            SERVICE_RECORD, costs, request, excluded
        )

    def _refusal(self) -> Refusal:
        candidates = self.dispatcher.candidates
        if not self.directory.usable(MODEL):
            return Refusal(RefusalCause.NO_ENDPOINT)
        if candidates.shortest_wait(SERVICE_RECORD, (), self.now).seconds:
            return Refusal(RefusalCause.RATE_LIMITED)
        return Refusal(RefusalCause.OVERLOADED)


def make_call(
    name: str,
    priority: int,
    prompt: int,
    now: float,
    seconds: float,
) -> AdmittedRequest:
    request = CallerRequest(
        RequestStartLine('POST', '/a/x', 'HTTP/1.1'), HTTPHeaders(), b'', now
    )
    return AdmittedRequest(
        request_id=RequestId(name),
        terms=CallTerms(
            request_id=name, prompt_tokens=prompt, answer_tokens=900
        ),
        request=request,
        route=ranked_route(priority),
        service=SERVICE_RECORD,
        workspace=WorkspaceId('school'),
        rank=Rank(0, priority),
        deadline=now + seconds,
        content=RequestContent(request, None),
    )


def peer_update(reports: tuple[WaitingReport, ...]) -> LoadUpdate:
    return LoadUpdate(
        entry=EntryId(PEER),
        zone=ZONE,
        settings_version=4,
        is_full=False,
        waiting=reports,
    )


async def settle(seconds: float = 0) -> None:
    """Let all callbacks run that are due."""
    await asyncio.sleep(seconds)
    for _ in range(10):
        await asyncio.sleep(0)
