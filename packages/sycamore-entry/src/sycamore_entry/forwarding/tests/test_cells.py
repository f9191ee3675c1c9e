"""Entries of a fleet that is too large for each to tell all others."""

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
from .builders_mesh import entries, news_of, running

TURN = ReadRequest(
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
    """Have a fleet of four entries be too large for one cell."""
    monkeypatch.setattr(members, 'LARGEST_CELL', 3)


def cells(number: int = 4) -> list[ForwardingProcess]:
    """Return entries in two zones, with an engine in each."""
    return entries(number, 'ab', FLEET)


def begin(process: ForwardingProcess, endpoint: str, requests: int) -> None:
    """Have an entry send requests to an engine."""
    name = process.context.entry
    for number in range(requests):
        process.context.dispatcher.begin(
            RequestId(f'{name}-{number}'),
            {EndpointId(endpoint): Assignment(read_ms=400)},
        )


def known(process: ForwardingProcess, endpoint: str) -> int:
    """Return the requests that an entry believes to be at an engine."""
    book = process.context.dispatcher.book
    now = process.context.clock.monotonic()
    return book.load(EndpointId(endpoint), now).requests


async def until_known(
    process: ForwardingProcess,
    endpoint: str,
    requests: int,
    seconds: float = 5,
) -> None:
    async with asyncio.timeout(seconds):
        while known(process, endpoint) != requests:
            await asyncio.sleep(0.01)


async def test_entries_of_all_cells_count_one_another() -> None:
    """A fleet of two cells knows only one of its entries at the start.

    Whoever counts too few entries takes too large a part of the repeats that
    the operator allows for all of them.
    """
    async with running(cells()) as made:
        for process in made:
            assert process.context.entries == 4
            assert process.context.dispatcher.cells.zones == {'a', 'b'}


async def test_load_of_another_cell_is_known_without_its_every_request() -> (
    None
):
    async with running(cells()) as (first, second, third, _):
        begin(first, 'e-a', 3)
        await until_known(third, 'e-a', 3)
        await until_known(second, 'e-a', 3)
        heard = second.context.dispatcher.book.heard
        assert EndpointId('e-a') not in heard


async def test_work_sent_to_another_cell_is_known_there_at_once() -> None:
    """An entry finds its own cell full and sends turns to another one.

    If the entries there learned of it from a summary only, they would fill
    the same engine for a second, and its turns would be late.
    """
    async with running(cells()) as (first, second, *_):
        begin(first, 'e-b', 2)
        await until_known(second, 'e-b', 2, seconds=0.5)


async def test_own_work_elsewhere_is_not_counted_twice() -> None:
    """An entry has sent two turns to another cell when its summary comes.

    Counted once more with what the summary says, they would keep it away from
    an engine that has room.
    """
    async with running(cells()) as (first, second, *_):
        begin(first, 'e-b', 2)
        begin(second, 'e-b', 1)
        book = first.context.dispatcher.book
        async with asyncio.timeout(5):
            while EndpointId('e-b') not in book.totals:
                await asyncio.sleep(0.01)
        assert known(first, 'e-b') == 3
        await until_known(second, 'e-b', 3)


async def test_turns_stay_in_their_cell_until_it_is_full() -> None:
    async with running(cells()) as made:
        first = made[0]
        dispatcher = first.context.dispatcher
        table = first.context.keeper.table
        service = table.services[MODEL]
        near = dispatcher.place_model(service, COSTS, TURN, ())
        assert near.home.endpoint == 'e-a'
        begin(first, 'e-a', COSTS.slots)
        far = dispatcher.place_model(service, COSTS, TURN, ())
        assert far.home.endpoint == 'e-b'


async def test_cell_goes_on_when_an_entry_of_it_dies() -> None:
    """One of the two entries of a zone dies.

    The others of its cell must take over nothing from it, and the other
    cell must hear of the first as before.
    """
    async with running(cells()) as (first, second, third, _):
        await third.close()
        begin(first, 'e-a', 3)
        await until_known(second, 'e-a', 3, seconds=8)


async def test_configuration_crosses_cells_that_the_platform_turns_away() -> (
    None
):
    """The platform turns a whole zone away while the operator changes routes.

    Until it takes them in again, the entries of that zone would serve routes
    that are gone.
    """
    async with running(cells()) as made:
        for process in made[1::2]:
            process.context.keeper.feed.is_away = True
        newer = table_of(route(RouteKind.SAFE))
        newer.version += 6
        change = TableChanged(PublishedTable(newer, b'9'))
        news_of(made[0]).put_nowait(change)
        async with asyncio.timeout(8):
            while any(one.context.keeper.version < 9 for one in made):
                await asyncio.sleep(0.02)


async def test_restarted_entry_is_told_by_its_cell() -> None:
    """An entry starts anew while its seed, an entry of another zone, is dead.

    Its cell goes on telling it what happens, so that it finds them all.
    """
    made = cells()
    async with running(made) as (first, _, _, fourth):
        await first.close()
        settings = fourth.context.settings
        await fourth.close()
        anew = ForwardingProcess.from_settings(
            lambda: msgspec.structs.replace(settings),
            fourth.context.keeper.feed,
            fourth.context.wire,
            fourth.mesh.node.codec.keys,
        )
        anew.start_tasks()
        try:
            async with asyncio.timeout(15):
                while anew.mesh.membership.living < 3:
                    await asyncio.sleep(0.02)
        finally:
            await anew.close()
