"""Fair shares of workspaces at entries, and what peers learn of usage."""

import asyncio
import math

import msgspec
import pytest
from sycamore_core.decisions.direct import Assignment
from sycamore_core.decisions.shares import AttemptWork
from sycamore_core.ids import (
    EndpointId,
    EntryId,
    PeerId,
    RequestId,
    WorkspaceId,
    ZoneId,
)
from sycamore_core.messages import CellSummary, LoadUpdate
from sycamore_core.routing import (
    Route,
    RouteKind,
    RoutingTable,
    WorkspaceRecord,
    WorkspaceUsage,
)

from ..context import ForwardingContext
from ..mesh.updates import UpdateWriter
from ..process import ForwardingProcess
from ..shares import UsageReport
from .builders import (
    COSTS,
    KEY,
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    chunk,
    event,
    never_reply,
    reply_with,
    route,
    running_entry,
    stream_head,
    table_of,
)
from .builders_mesh import entries, running

SCHOOL = WorkspaceId('school')
PEER = PeerId('entry-9')
STREAM = route(RouteKind.RESUMABLE_STREAM, MODEL)
#: A route of the same service with another priority, so that it is ranked.
LESS_URGENT = msgspec.structs.replace(
    STREAM, name='r2', prefix='/b/', priority=1
)
WORK = AttemptWork(
    read_ms=3000, expected_ms=3000, decode_ms_per_s=200, memory_tokens=90_000
)
ANSWER = reply_with(stream_head(), chunk(event(0)), LAST_CHUNK)


def ranked_table(weight: float = 1) -> RoutingTable:
    table = table_of(STREAM, LESS_URGENT)
    table.workspaces = {KEY: WorkspaceRecord(SCHOOL, weight=weight)}
    return table


def rank(context: ForwardingContext, weight: float = 1) -> None:
    """Apply a configuration with a ranked service."""
    context.keeper.in_force.table = ranked_table(weight)
    context.shares.apply_table()


def entry(*routes: Route) -> ForwardingProcess:
    made = entries(1)[0]
    made.context.keeper.in_force.table = table_of(*routes)
    return made


def full_update(
    *usage: WorkspaceUsage, zone: str = 'a', is_full: bool = True
) -> LoadUpdate:
    return LoadUpdate(
        EntryId(PEER), ZoneId(zone), 3, is_full=is_full, usage=usage
    )


def report_of(process: ForwardingProcess) -> UsageReport:
    reports = process.context.peer_reports
    return next(one for one in reports if isinstance(one, UsageReport))


async def test_running_attempt_is_charged_to_its_workspace() -> None:
    """Guards against usage that is lost, or stays after the attempt."""
    endpoint = RawEndpoint('e1', never_reply)
    async with running_entry(STREAM, endpoint) as running_one:
        rank(running_one.context)
        fleet = running_one.context.shares.fleet
        asking = asyncio.create_task(running_one.ask(Prompt='5000'))
        while not endpoint.requests:
            await asyncio.sleep(0.01)
        now = running_one.context.clock.monotonic()
        assert fleet.usage(SCHOOL, now).memory_tokens >= 5000
        assert fleet.meter.workspaces[SCHOOL].running == 1
        endpoint.reset()
        asking.cancel()
        async with asyncio.timeout(5):
            while fleet.meter.workspaces[SCHOOL].running:
                await asyncio.sleep(0.01)
        assert fleet.meter.workspaces[SCHOOL].memory_tokens == 0


async def test_service_without_ranks_is_not_metered() -> None:
    """Guards against shares in deployments that have no ranked service."""
    endpoint = RawEndpoint('e1', ANSWER)
    async with running_entry(STREAM, endpoint) as running_one:
        await running_one.ask(Prompt='5000')
        shares = running_one.context.shares
        fleet = shares.fleet
        assert endpoint.requests
        assert not fleet.meter.workspaces
        assert not fleet.rates.workspaces
        assert shares.position(SCHOOL, 0) == 0


def test_update_without_ranked_service_has_no_usage() -> None:
    """Guards against bytes in updates of deployments without shares."""
    process = entry(STREAM)
    fleet = process.context.shares.fleet
    fleet.begin(SCHOOL, WORK, 0)
    writer = UpdateWriter(process.context, process.mesh.membership)
    assert not writer.full(1).usage
    report_of(process).apply(PEER, full_update(WorkspaceUsage('w', 1, 1, 1)), 0)
    assert not fleet.peers.sums
    rank(process.context)
    assert writer.full(1).usage[0].workspace == SCHOOL
    assert not writer.changes((), 1).usage


async def test_refused_request_no_longer_waits() -> None:
    """Guards against contention that remains after the last refusal."""
    endpoint = RawEndpoint('e1', ANSWER)
    async with running_entry(STREAM, endpoint) as running_one:
        rank(running_one.context)
        dispatcher = running_one.context.dispatcher
        for number in range(COSTS.slots):
            assignments = {EndpointId('e1'): Assignment(read_ms=5000)}
            dispatcher.begin(RequestId(str(number)), assignments)
        answer = await running_one.ask(Prompt='5000')
        assert b' 503 ' in answer
        fleet = running_one.context.shares.fleet
        assert not fleet.is_contended
        assert fleet.rates.workspaces[SCHOOL].arrived
        assert not fleet.rates.workspaces[SCHOOL].served


async def test_usage_at_one_entry_is_known_to_the_other() -> None:
    """Guards against a workspace that gets a share at each entry."""
    async with running(entries(2)) as (first, second):
        for process in (first, second):
            rank(process.context)
        begun_at = first.context.clock.monotonic()
        first.context.shares.fleet.begin(SCHOOL, WORK, begun_at)
        shares = second.context.shares
        sums = shares.fleet.peers.sums
        async with asyncio.timeout(5):
            while SCHOOL not in sums or not sums[SCHOOL].engine_ms_per_s:
                await asyncio.sleep(0.02)
        assert sums[SCHOOL].memory_tokens == WORK.memory_tokens


async def test_usage_of_a_killed_entry_expires(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a workspace that is charged for a dead entry."""
    async with running(entries(2)) as (first, second):
        for process in (first, second):
            rank(process.context)
        fleet = second.context.shares.fleet
        begun_at = first.context.clock.monotonic()
        first.context.shares.fleet.begin(SCHOOL, WORK, begun_at)
        async with asyncio.timeout(5):
            while SCHOOL not in fleet.peers.sums:
                await asyncio.sleep(0.02)
        await first.close()
        async with asyncio.timeout(5):
            while SCHOOL in fleet.peers.sums:
                await asyncio.sleep(0.05)
                fleet.refresh_if_due(second.context.clock.monotonic())


def test_partial_update_does_not_replace_a_report() -> None:
    """Guards against usage that counts for one update of twenty only."""
    process = entry(STREAM)
    rank(process.context)
    report = report_of(process)
    report.apply(PEER, full_update(WorkspaceUsage(SCHOOL, 500, 0, 1)), 0)
    report.apply(PEER, full_update(is_full=False), 0.1)
    shares = process.context.shares
    sums = shares.fleet.peers.sums
    assert sums[SCHOOL].engine_ms_per_s == 500
    report.apply(PEER, full_update(), 1)
    assert not sums


def test_usage_in_another_cell_is_counted_once() -> None:
    """Guards against an entry of another cell that its cell reports too."""
    process = entry(STREAM)
    rank(process.context)
    process.context.dispatcher.cells = msgspec.structs.replace(
        process.context.dispatcher.cells,
        zones=frozenset((ZoneId('a'), ZoneId('b'))),
    )
    report = report_of(process)
    usage = WorkspaceUsage(SCHOOL, 500, 1000, 2)
    report.apply(PEER, full_update(usage, zone='b'), 0)
    summary = CellSummary(EntryId(PEER), ZoneId('b'), 3, usage=(usage,))
    report.apply(PeerId('b'), summary, 0)
    shares = process.context.shares
    total = shares.fleet.usage(SCHOOL, 0)
    assert total.engine_ms_per_s == 500


def test_removed_workspace_still_has_a_position() -> None:
    """Guards against a waiting request that fails when its key is revoked."""
    process = entry(STREAM)
    rank(process.context, weight=3)
    shares = process.context.shares
    shares.fleet.begin_wait(SCHOOL, WORK, 0)
    shares.fleet.begin(SCHOOL, WORK, 0)
    without_workspace = table_of(STREAM, LESS_URGENT)
    without_workspace.workspaces.clear()
    process.context.keeper.in_force.table = without_workspace
    assert shares.position(SCHOOL, 2) > 0
    assert shares.claim(SCHOOL, 2) > shares.position(SCHOOL, 2)
    assert shares.fleet.weight(SCHOOL) == 1
    shares.fleet.end_wait(SCHOOL, WORK, 2, is_served=True)


@pytest.mark.parametrize('weight', [-2, math.nan, 'heavy', None])
def test_invalid_weight_is_logged_and_counts_as_one(
    weight: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a configuration that stops the entry."""
    process = entry(STREAM)
    shares = process.context.shares
    lines: list[str] = []
    monkeypatch.setattr(
        shares.log, 'warning', lambda text, **fields: lines.append(text)
    )
    rank(process.context, weight)
    shares.apply_table()
    assert lines == ['workspace_weight_invalid']
    assert shares.fleet.weight(SCHOOL) == 1


def test_workspace_over_its_share_is_logged_once_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a line for each request of a flood."""
    process = entry(STREAM)
    rank(process.context)
    shares = process.context.shares
    now = shares.clock.monotonic()
    usages = (WorkspaceUsage(SCHOOL, 9000, 0, 9), WorkspaceUsage('w', 90, 0, 1))
    shares.fleet.peers.apply(PEER, usages, now)
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(
        shares.log, 'info', lambda text, **fields: lines.append(fields)
    )
    for _ in range(50):
        shares.fleet.begin_wait(SCHOOL, WORK, now)
        shares._end_wait(SCHOOL, WORK, now - 1, is_served=False)
    assert [line['workspace'] for line in lines] == [SCHOOL]
    assert lines[0]['position'] > 1


def test_metrics_show_the_ten_largest_usages_by_place() -> None:
    """Guards against a metric with a series for each of 2,400 workspaces."""
    process = entry(STREAM)
    rank(process.context)
    fleet = process.context.shares.fleet
    now = process.context.clock.monotonic()
    fleet.peers.apply(
        PEER,
        [WorkspaceUsage(f'w{one}', 100 * one, 7, 0) for one in range(1, 30)],
        now,
    )
    page = process.context.metrics.render().decode()
    assert 'sycamore_workspace_engine_ms_per_s{place="1"} 2900.0' in page
    assert 'sycamore_workspace_memory_tokens{place="10"} 7.0' in page
    assert 'place="11"' not in page
