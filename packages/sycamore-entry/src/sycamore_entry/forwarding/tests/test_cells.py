"""Entries of a fleet that is too large for a single cell."""

import asyncio

import msgspec
import pytest
from sycamore_core.decisions.direct import Assignment, ReadRequest
from sycamore_core.ids import EndpointId, RequestId, ZoneId
from sycamore_core.membership import members
from sycamore_core.routing import EndpointRecord, PublishedTable, RouteKind

from ..fleet.feed import FleetSnapshot, Revision, TableChanged
from ..process import ForwardingProcess
from .builders import COSTS, HOST, MODEL, route, table_of
from .builders_mesh import entries, queued_changes_of, running

SHORT_REQUEST = ReadRequest(
    prompt_tokens=5000,
    answer_tokens=1700,
    objective_ms=300,
    pause_ms=250,
)


def engine(name: str, zone: str) -> EndpointRecord:
    return EndpointRecord(
        endpoint=EndpointId(name),
        service=MODEL,
        host=HOST,
        port=1,
        zone=ZoneId(zone),
        started_ms=5,
    )


ENGINES = (engine('e-a', 'a'), engine('e-b', 'b'))
TABLE = PublishedTable(table_of(route(RouteKind.SAFE, MODEL)), b'3')
FLEET = FleetSnapshot(Revision(1), TABLE, ENGINES)


@pytest.fixture(autouse=True)
def small_cells(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make a fleet of four entries too large for one cell."""
    monkeypatch.setattr(members, 'LARGEST_CELL', 3)


def two_cells(number: int = 4) -> list[ForwardingProcess]:
    """Return entries in two zones, with one engine in each zone."""
    return entries(number, 'ab', FLEET)


def send_requests(
    process: ForwardingProcess,
    endpoint: str,
    requests: int,
) -> None:
    """Register requests that an entry sends to an engine."""
    name = process.context.entry
    for number in range(requests):
        process.context.dispatcher.begin(
            RequestId(f'{name}-{number}'),
            {EndpointId(endpoint): Assignment(read_ms=400)},
        )


def known_requests(process: ForwardingProcess, endpoint: str) -> int:
    """Return the number of requests that an entry counts at an engine."""
    loads = process.context.dispatcher.loads
    now = process.context.clock.monotonic()
    return loads.load(EndpointId(endpoint), now).requests


async def wait_until_known(
    process: ForwardingProcess,
    endpoint: str,
    requests: int,
    seconds: float = 5,
) -> None:
    async with asyncio.timeout(seconds):
        while known_requests(process, endpoint) != requests:
            await asyncio.sleep(0.01)


async def test_entry_counts_the_entries_of_all_cells() -> None:
    """Guards against an entry that uses too many of the permitted retries.

    All entries share the retries that the operator allows. At the start, each
    entry knows only one other entry, and may count too few of them.
    """
    async with running(two_cells()) as processes:
        for process in processes:
            assert process.context.entry_count == 4
            assert process.context.dispatcher.cells.zones == {'a', 'b'}


async def test_load_of_another_cell_is_known_from_its_summary() -> None:
    async with running(two_cells()) as (first, second, third, _):
        send_requests(first, 'e-a', 3)
        await wait_until_known(third, 'e-a', 3)
        await wait_until_known(second, 'e-a', 3)
        peer_loads = second.context.dispatcher.loads.peer_loads
        assert EndpointId('e-a') not in peer_loads


async def test_requests_sent_to_another_cell_are_known_there_at_once() -> None:
    """Guards against two cells that fill the same engine for a second.

    An entry whose own cell is full sends short requests to another cell. They
    would be late if the entries there received them only in a summary.
    """
    async with running(two_cells()) as (first, second, *_):
        send_requests(first, 'e-b', 2)
        await wait_until_known(second, 'e-b', 2, seconds=0.5)


async def test_own_requests_in_another_cell_are_not_counted_twice() -> None:
    """Guards against an engine with free capacity that looks full.

    An entry has sent two short requests to another cell when a summary of that
    cell arrives. The entry must not add its own requests to the summary.
    """
    async with running(two_cells()) as (first, second, *_):
        send_requests(first, 'e-b', 2)
        send_requests(second, 'e-b', 1)
        loads = first.context.dispatcher.loads
        async with asyncio.timeout(5):
            while EndpointId('e-b') not in loads.cell_loads:
                await asyncio.sleep(0.01)
        assert known_requests(first, 'e-b') == 3
        await wait_until_known(second, 'e-b', 3)


async def test_short_requests_stay_in_their_cell_until_it_is_full() -> None:
    async with running(two_cells()) as processes:
        first = processes[0]
        dispatcher = first.context.dispatcher
        table = first.context.keeper.table
        service = table.services[MODEL]
        near = dispatcher.place_model(service, COSTS, SHORT_REQUEST, ())
        assert near.primary.endpoint == 'e-a'
        send_requests(first, 'e-a', COSTS.slots)
        far = dispatcher.place_model(service, COSTS, SHORT_REQUEST, ())
        assert far.primary.endpoint == 'e-b'


async def test_cell_continues_to_report_when_one_of_its_entries_dies() -> None:
    """Guards against a cell whose reports end when one of its entries dies.

    No entry has a role that another entry would have to take over: the other
    cell must receive the loads of the remaining entry as before.
    """
    async with running(two_cells()) as (first, second, third, _):
        await third.close()
        send_requests(first, 'e-a', 3)
        await wait_until_known(second, 'e-a', 3, seconds=8)


async def test_configuration_reaches_a_cell_that_the_platform_refuses() -> None:
    """Guards against a zone that serves routes that have been removed.

    The platform refuses all entries of a zone while the operator changes
    routes.
    """
    async with running(two_cells()) as processes:
        for process in processes[1::2]:
            process.context.keeper.feed.is_away = True
        newer = table_of(route(RouteKind.SAFE))
        newer.version += 6
        change = TableChanged(PublishedTable(newer, b'9'))
        queued_changes_of(processes[0]).put_nowait(change)
        async with asyncio.timeout(8):
            while any(one.context.keeper.version < 9 for one in processes):
                await asyncio.sleep(0.02)


async def test_restarted_entry_is_found_by_its_cell() -> None:
    """Guards against an entry that stays alone because its seed is dead.

    The entry restarts while its seed, an entry of another zone, is dead. Its
    cell goes on sending it updates, from which it discovers all entries.
    """
    processes = two_cells()
    async with running(processes) as (first, _, _, fourth):
        await first.close()
        settings = fourth.context.settings
        await fourth.close()
        restarted = ForwardingProcess.from_settings(
            lambda: msgspec.structs.replace(settings),
            fourth.context.keeper.feed,
            fourth.context.wire,
            fourth.mesh.node.codec.keys,
        )
        restarted.start_tasks()
        try:
            async with asyncio.timeout(15):
                while restarted.mesh.membership.alive_count < 3:
                    await asyncio.sleep(0.02)
        finally:
            await restarted.close()
