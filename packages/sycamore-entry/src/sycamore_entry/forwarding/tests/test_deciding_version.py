"""Which configuration decided a request, as the logs and metrics tell it."""

import asyncio

from sycamore_core.ids import SettingsVersion
from sycamore_core.routing import PublishedTable, RouteKind

from ..fleet.feed import TableChanged
from .builders import RawEndpoint, full_answer, route, running_entry, table_of
from .builders_overload import LogFields, captured_lines


def newer_table() -> TableChanged:
    table = table_of(route(RouteKind.SAFE))
    table.version = SettingsVersion(8)
    return TableChanged(PublishedTable(table, b'8'))


class HeldEndpoint(RawEndpoint):
    """Answers once it may."""

    def __init__(self) -> None:
        super().__init__('e1', self.answer)
        self.may_answer = asyncio.Event()

    async def answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await self.may_answer.wait()
        writer.write(full_answer())


async def test_line_names_the_version_that_admitted_the_request() -> None:
    """Guards against a request that seems decided by a version that came later.

    The configuration changes while the request runs.
    """
    endpoint = HeldEndpoint()
    ended: list[LogFields] = []
    with captured_lines('request_ended', ended):
        async with running_entry(route(RouteKind.SAFE), endpoint) as entry:
            asking = asyncio.create_task(entry.ask())
            while not endpoint.requests:
                await asyncio.sleep(0.01)
            keeper = entry.context.keeper
            keeper._apply_change(newer_table())
            endpoint.may_answer.set()
            await asking
    assert keeper.version == 8
    assert [line['settings_version'] for line in ended] == [3]
    assert 'settings_age' in ended[0]


async def test_page_shows_the_version_and_the_age() -> None:
    """Guards against an old configuration that no metric shows."""
    endpoint = RawEndpoint('e1', reply)
    async with running_entry(route(RouteKind.SAFE), endpoint) as entry:
        entry.context.keeper._apply_change(newer_table())
        page = entry.context.metrics.render().decode()
    assert 'sycamore_settings_version 8.0' in page
    assert 'sycamore_settings_age_seconds' in page
    assert 'sycamore_tables_in_force_total{source="platform"}' in page


async def reply(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.write(full_answer())
