"""Runs an entry process that a signal stops within a short time."""

import asyncio

from sycamore_core.telemetry import start_logging

from sycamore_entry.forwarding import ForwardingProcess
from sycamore_entry.forwarding.fleet.feed import FleetSnapshot, Revision
from sycamore_entry.forwarding.tests.builders import FixedFeed, SimpleWire
from sycamore_entry.forwarding.tests.builders_process import (
    KEYS,
    settings_that_stop,
)

STOP_SECONDS = 0.9


async def serve() -> None:
    """Serve nothing until a signal arrives."""
    settings = settings_that_stop(STOP_SECONDS)
    process = ForwardingProcess.from_settings(
        lambda: settings,
        FixedFeed(FleetSnapshot(Revision(1), None, ())),
        SimpleWire(),
        KEYS,
    )
    await process.run()


if __name__ == '__main__':
    start_logging('INFO')
    asyncio.run(serve())
