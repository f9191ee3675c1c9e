"""Queued requests from their callers to the engine and between entries."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec
import pytest
from sycamore_core.clock import SystemClock
from sycamore_core.decisions.direct import Assignment, CellView
from sycamore_core.ids import EndpointId, EntryId, PeerId, RequestId, ZoneId
from sycamore_core.messages import CellSummary
from sycamore_core.routing import Rank, WaitingReport
from tornado.httpserver import HTTPServer

from ..callers.refusals import Refusal, RefusalCause
from ..context import ForwardingContext
from ..placement.dispatcher import Placement
from ..placement.slot_wait import UnplacedRequest
from ..stopping import GracefulStop
from .builders import (
    HOST,
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    TestEntry,
    chunk,
    event,
    request_bytes,
    running_entry,
    stream_head,
)
from .builders_mesh import entries, running
from .builders_queue import (
    LONG,
    NORMAL,
    PEER,
    SERVICE_RECORD,
    URGENT,
    QueueEntry,
    make_call,
    peer_update,
    ranked_route,
    ranked_table,
)
from .builders_queue import engine as engine_record

#: Bytes of the reports of three ranks, before compression.
MAX_REPORT_BYTES = 150
REPORT = WaitingReport(MODEL, Rank(0, URGENT), 2, 0.5, 60)


class PausedEngine(RawEndpoint):
    """An engine whose answers end when the test says so."""

    def __init__(self) -> None:
        super().__init__('e1', self.answer)
        self.may_end = asyncio.Semaphore(0)

    async def answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(stream_head() + chunk(event(0)))
        await self.may_end.acquire()
        writer.write(LAST_CHUNK)


@contextlib.asynccontextmanager
async def full_entry(engine: PausedEngine) -> AsyncIterator[TestEntry]:
    """Run an entry of a ranked service whose only slot is in use."""
    async with running_entry(ranked_route(URGENT), engine) as entry:
        entry.context.keeper.in_force.table = ranked_table()
        running_request = asyncio.create_task(entry.ask(Id='running'))
        while not engine.requests:
            await asyncio.sleep(0.01)
        yield entry
        engine.may_end.release()
        await running_request


async def wait_for_queue(entry: TestEntry, length: int) -> None:
    async with asyncio.timeout(5):
        while entry.context.slot_waits.count_waiting() != length:
            await asyncio.sleep(0.005)


async def test_waiting_requests_are_served_in_the_order_of_their_ranks() -> (
    None
):
    """Guards against serving the request whose task runs first."""
    engine = PausedEngine()
    async with full_entry(engine) as entry:
        long = asyncio.create_task(
            entry.ask('POST /c/x HTTP/1.1', Id='long', Prompt='5000')
        )
        await wait_for_queue(entry, 1)
        short = asyncio.create_task(entry.ask(Id='short', Prompt='5000'))
        await wait_for_queue(entry, 2)
        for _ in range(3):
            engine.may_end.release()
        answers = await asyncio.gather(long, short)
    assert [one['id'] for one in engine.requests] == [
        'running',
        'short',
        'long',
    ]
    assert all(answer.endswith(LAST_CHUNK) for answer in answers)


async def test_caller_that_disconnects_leaves_the_queue() -> None:
    """Guards against sending an engine requests that nobody waits for."""
    engine = PausedEngine()
    async with full_entry(engine) as entry:
        _, writer = await asyncio.open_connection(HOST, entry.port)
        writer.write(request_bytes(Id='gone', Prompt='5000'))
        await wait_for_queue(entry, 1)
        writer.close()
        await wait_for_queue(entry, 0)
    assert [one['id'] for one in engine.requests] == ['running']


async def test_shutdown_refuses_waiting_callers() -> None:
    """Guards against callers in doubt whether their requests have run."""
    engine = PausedEngine()
    async with full_entry(engine) as entry:
        asking = asyncio.create_task(entry.ask(Id='waits', Prompt='5000'))
        await wait_for_queue(entry, 1)
        assert entry.context.slot_waits.refuse_waiting() == 1
        answer = await asking
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in answer


async def test_stopping_process_refuses_what_waits() -> None:
    """Guards against waiting requests that a shutdown cancels."""
    process = entries(1)[0]
    asking = start_to_wait(process.context)
    process.context.settings = msgspec.structs.replace(
        process.context.settings, stop_seconds=1
    )
    stop = GracefulStop(process.context, process.connections)
    await stop.run(HTTPServer(process.connections))
    with pytest.raises(Refusal):
        await asking


async def test_entry_tells_another_what_waits() -> None:
    """Guards against a report that does not reach the other entries."""
    async with running(entries(2)) as (first, second):
        asking = start_to_wait(first.context)
        claims = second.context.slot_waits.claims
        async with asyncio.timeout(5):
            while not claims.has_any(MODEL, SystemClock().monotonic()):
                await asyncio.sleep(0.005)
        asking.cancel()
        async with asyncio.timeout(5):
            while claims.has_any(MODEL, SystemClock().monotonic()):
                await asyncio.sleep(0.005)


def start_to_wait(context: ForwardingContext) -> asyncio.Task[Placement]:
    """Let a request wait for an engine that is full."""
    context.keeper.in_force.table = ranked_table()
    context.keeper.directory.put(engine_record('e1'))
    name = EndpointId('e1')
    context.dispatcher.begin(RequestId('r1'), {name: Assignment(read_ms=9)})
    now = context.clock.monotonic()
    request = UnplacedRequest(
        call=make_call('waits', URGENT, 5000, now, seconds=10),
        place=lambda: None,
        build_refusal=lambda: Refusal(RefusalCause.OVERLOADED),
    )
    slot_wait = context.slot_waits.for_service(SERVICE_RECORD)
    return asyncio.create_task(slot_wait.place(request))


def entry_of_two_cells() -> QueueEntry:
    entry = QueueEntry('e1')
    zones = frozenset((ZoneId('a'), ZoneId('b')))
    entry.dispatcher.cells = CellView(zone=ZoneId('a'), zones=zones)
    return entry


def summary_of(zone: str) -> CellSummary:
    return CellSummary(EntryId('p'), ZoneId(zone), 4, waiting=(REPORT,))


async def test_slots_are_not_left_to_another_cell() -> None:
    """Guards against yielding to entries that hear of the slot much later."""
    entry = entry_of_two_cells()
    report = entry.waits.report
    report.apply(PeerId('b'), summary_of('b'), entry.now)
    await asyncio.wait_for(entry.send('new'), 1)
    assert not entry.log.named('slot_left_to_peer')
    assert entry.claims.count_ahead(MODEL, Rank(0, LONG), entry.now) == 2


async def test_requests_of_another_cell_are_counted_once() -> None:
    """Guards against counting them from updates and from the summary."""
    entry = entry_of_two_cells()
    update = msgspec.structs.replace(peer_update((REPORT,)), zone=ZoneId('b'))
    entry.waits.report.apply(PeerId('b'), summary_of('b'), entry.now)
    entry.waits.report.apply(PEER, update, entry.now)
    assert entry.claims.count_ahead(MODEL, Rank(0, LONG), entry.now) == 2


async def test_summary_leaves_out_the_receiver() -> None:
    """Guards against telling an entry of its own requests as another's."""
    entry = entry_of_two_cells()
    entry.hear_waiting(Rank(0, URGENT))
    report = entry.waits.report
    empty = CellSummary(EntryId('entry-1'), ZoneId('a'), 4)
    assert report.add_to_summary(empty, PeerId('x'), entry.now).waiting
    assert not report.add_to_summary(empty, PEER, entry.now).waiting


async def test_update_without_waiting_requests_is_unchanged() -> None:
    """Guards against larger updates while nothing waits."""
    entry = QueueEntry('e1')
    update = peer_update(())
    assert entry.waits.report.add_to_update(update, entry.now) is update


async def test_report_adds_few_bytes_to_an_update() -> None:
    """Guards against updates that use the links of small entries."""
    entry = QueueEntry('e1')
    await entry.send('running')
    for priority in (URGENT, NORMAL, LONG):
        await entry.queue(f'waits-{priority}', priority)
    reports = entry.waits.report.add_to_update(peer_update(()), entry.now)
    assert len(reports.waiting) == 3
    assert len(msgspec.msgpack.encode(reports.waiting)) < MAX_REPORT_BYTES
