"""Runs an entry process that a signal stops within a short time."""

import asyncio

from sycamore_core.ids import EntryId, KeyId, ZoneId
from sycamore_core.messages import PeerKeys
from sycamore_core.telemetry import start_logging

from sycamore_entry.forwarding import ForwardingProcess, ForwardingSettings
from sycamore_entry.forwarding.fleet.feed import FleetSnapshot, Revision
from sycamore_entry.forwarding.tests.builders import FixedFeed, SimpleWire

NOWHERE = '127.0.0.1:0'
STOP_SECONDS = 0.9


async def serve() -> None:
    """Serve nothing until a signal arrives."""
    settings = ForwardingSettings(
        name=EntryId('entry-1'),
        zone=ZoneId('a'),
        callers=NOWHERE,
        ready=NOWHERE,
        stop_seconds=STOP_SECONDS,
    )
    process = ForwardingProcess.from_settings(
        lambda: settings,
        FixedFeed(FleetSnapshot(Revision(1), None, ())),
        SimpleWire(),
        PeerKeys({KeyId('k'): b'0123456789abcdef'}, KeyId('k')),
    )
    await process.run()


if __name__ == '__main__':
    start_logging('INFO')
    asyncio.run(serve())
