"""Entries that tell one another what the platform hides from some of them."""

import asyncio

import msgspec
import pytest
from sycamore_core.decisions.direct import Assignment
from sycamore_core.ids import EndpointId, RequestId, ServiceId
from sycamore_core.routing import PublishedTable, RouteKind

from ..fleet.feed import EndpointChanged, TableChanged
from ..mesh import entry_mesh
from .builders import ENDPOINT, route, table_of
from .builders_mesh import entries, news_of, running


async def test_configuration_reaches_an_entry_that_is_turned_away() -> None:
    """The platform turns one entry away while the operator takes a key back.

    Until the platform takes it in again, that entry would serve a workspace
    that has been closed.
    """
    async with running(entries(2)) as (first, second):
        second.context.keeper.feed.is_away = True
        newer = table_of(route(RouteKind.SAFE))
        newer.version += 6
        published = PublishedTable(newer, b'9')
        change = TableChanged(published)
        news_of(first).put_nowait(change)
        async with asyncio.timeout(5):
            while second.context.keeper.version < 9:
                await asyncio.sleep(0.02)


async def test_leaving_endpoint_is_known_to_an_entry_that_is_turned_away() -> (
    None
):
    """An endpoint announces that it leaves, which one entry cannot read.

    Requests that it goes on sending there are cut off when the endpoint
    exits.
    """
    async with running(entries(2)) as (first, second):
        second.context.keeper.feed.is_away = True
        leaving = msgspec.structs.replace(ENDPOINT, is_leaving=True)
        news_of(first).put_nowait(EndpointChanged(leaving))
        directory = second.context.keeper.directory
        async with asyncio.timeout(5):
            while directory.usable(ServiceId('booking')):
                await asyncio.sleep(0.02)


async def test_work_of_one_entry_is_known_to_the_other() -> None:
    async with running(entries(2)) as (first, second):
        assignment = Assignment(read_ms=5000)
        name = EndpointId('e1')
        first.context.dispatcher.begin(RequestId('r1'), {name: assignment})
        book = second.context.dispatcher.book
        now = second.context.clock.monotonic
        async with asyncio.timeout(5):
            while book.load(name, now()).requests < 1:
                await asyncio.sleep(0.005)
        unread = book.load(name, now()).unread[0]
        assert unread.read_ms - unread.waited_ms > 4000


async def test_newcomer_is_told_at_once_what_the_others_have(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An entry starts anew while the others have filled some engines.

    Until it is told, it fills the same engines once more, and the callers of
    both wait. The next update of all work is put off here for ten minutes.
    """
    monkeypatch.setattr(entry_mesh, 'WHOLE_SECONDS', 600)
    first, second = entries(2)
    first.start_tasks()
    await asyncio.sleep(0.1)
    work = {ENDPOINT.endpoint: Assignment(read_ms=5000)}
    first.context.dispatcher.begin(RequestId('r1'), work)
    first.context.dispatcher.book.take_changed()
    second.start_tasks()
    book = second.context.dispatcher.book
    now = second.context.clock.monotonic
    try:
        async with asyncio.timeout(5):
            while not book.load(ENDPOINT.endpoint, now()).requests:
                await asyncio.sleep(0.01)
    finally:
        await asyncio.gather(first.close(), second.close())


async def test_silent_endpoint_is_left_alone_by_word_of_a_peer() -> None:
    """An endpoint falls silent, and one entry has lost a request there.

    Without its word, each other entry would lose one there as well.
    """
    async with running(entries(2)) as (first, second):
        first.context.dispatcher.failed(ENDPOINT.endpoint)
        failures = second.context.dispatcher.failures
        now = second.context.clock.monotonic
        async with asyncio.timeout(5):
            while not failures.is_resting(ENDPOINT.endpoint, now()):
                await asyncio.sleep(0.01)
