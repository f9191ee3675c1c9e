"""Entries that report to one another what the platform does not show."""

import asyncio

import msgspec
import pytest
from sycamore_core.decisions.direct import Assignment
from sycamore_core.ids import EndpointId, RequestId, ServiceId
from sycamore_core.routing import PublishedTable, RouteKind

from ..fleet.feed import EndpointChanged, TableChanged
from ..mesh import entry_mesh
from .builders import ENDPOINT, route, table_of
from .builders_mesh import entries, queued_changes_of, running


async def test_configuration_reaches_an_entry_without_platform() -> None:
    """Guards against an entry that serves a workspace that has been closed.

    The platform refuses one entry while the operator revokes a key. That entry
    reads the platform again only later.
    """
    async with running(entries(2)) as (first, second):
        second.context.keeper.feed.is_away = True
        newer = table_of(route(RouteKind.SAFE))
        newer.version += 6
        published = PublishedTable(newer, b'9')
        change = TableChanged(published)
        queued_changes_of(first).put_nowait(change)
        async with asyncio.timeout(5):
            while second.context.keeper.version < 9:
                await asyncio.sleep(0.02)


async def test_leaving_endpoint_is_known_to_an_entry_without_platform() -> None:
    """Guards against requests that are lost when their endpoint exits.

    One entry cannot reach the platform, so it does not read that the endpoint
    is leaving. It would go on sending requests to this endpoint.
    """
    async with running(entries(2)) as (first, second):
        second.context.keeper.feed.is_away = True
        leaving = msgspec.structs.replace(ENDPOINT, is_leaving=True)
        queued_changes_of(first).put_nowait(EndpointChanged(leaving))
        directory = second.context.keeper.directory
        async with asyncio.timeout(5):
            while directory.usable(ServiceId('booking')):
                await asyncio.sleep(0.02)


async def test_load_of_one_entry_is_known_to_the_other() -> None:
    async with running(entries(2)) as (first, second):
        assignment = Assignment(read_ms=5000)
        name = EndpointId('e1')
        first.context.dispatcher.begin(RequestId('r1'), {name: assignment})
        loads = second.context.dispatcher.loads
        now = second.context.clock.monotonic
        async with asyncio.timeout(5):
            while loads.load(name, now()).requests < 1:
                await asyncio.sleep(0.005)
        unread = loads.load(name, now()).unread[0]
        assert unread.read_ms - unread.waited_ms > 4000


async def test_new_entry_receives_the_load_of_the_others_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a restarted entry that overloads full engines.

    It would send requests to the engines that the other entries have filled,
    and the callers of all entries would wait. The next full update is ten
    minutes away in this test.
    """
    monkeypatch.setattr(entry_mesh, 'FULL_UPDATE_SECONDS', 600)
    first, second = entries(2)
    first.start_tasks()
    await asyncio.sleep(0.1)
    assignments = {ENDPOINT.endpoint: Assignment(read_ms=5000)}
    first.context.dispatcher.begin(RequestId('r1'), assignments)
    first.context.dispatcher.loads.pop_changed()
    second.start_tasks()
    loads = second.context.dispatcher.loads
    now = second.context.clock.monotonic
    try:
        async with asyncio.timeout(5):
            while not loads.load(ENDPOINT.endpoint, now()).requests:
                await asyncio.sleep(0.01)
    finally:
        await asyncio.gather(first.close(), second.close())


async def test_endpoint_that_a_peer_reports_as_silent_is_skipped() -> None:
    """Guards against one lost request per entry at a silent endpoint.

    One entry has lost a request there and reports it to its peers.
    """
    async with running(entries(2)) as (first, second):
        first.context.dispatcher.record_failure(ENDPOINT.endpoint)
        failures = second.context.dispatcher.failures
        now = second.context.clock.monotonic
        async with asyncio.timeout(5):
            while not failures.is_backing_off(ENDPOINT.endpoint, now()):
                await asyncio.sleep(0.01)


async def test_load_that_no_message_can_carry_does_not_end_the_exchange() -> (
    None
):
    """Guards against a request whose figures end the exchange, and the entry.

    Its load cannot be reported while it runs; all else is.
    """
    async with running(entries(2)) as (first, second):
        odd = Assignment(read_ms=1, memory_tokens=2**64)
        name = EndpointId('e1')
        first.context.dispatcher.begin(RequestId('odd'), {name: odd})
        counts = first.mesh.node.counts
        async with asyncio.timeout(5):
            while counts.unencodable_messages < 2:
                await asyncio.sleep(0.005)
        first.context.dispatcher.loads.end(RequestId('odd'), (name,))
        first.context.dispatcher.begin(
            RequestId('r1'), {name: Assignment(read_ms=5000)}
        )
        loads = second.context.dispatcher.loads
        now = second.context.clock.monotonic
        async with asyncio.timeout(5):
            while loads.load(name, now()).requests < 1:
                await asyncio.sleep(0.005)
