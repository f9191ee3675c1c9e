"""A server for callers with a gate, in front of one endpoint."""

import contextlib
from collections.abc import AsyncIterator

from sycamore_core.routing import RouteKind
from sycamore_core.telemetry import Log

from ..callers.server import CallerServer, ConnectionGate
from .builders import (
    HOST,
    RawEndpoint,
    TestEntry,
    full_answer,
    reply_with,
    route,
    running_entry,
)

SAFE = route(RouteKind.SAFE)


@contextlib.asynccontextmanager
async def gated_entry() -> AsyncIterator[tuple[TestEntry, ConnectionGate]]:
    """Run an entry whose gate is checked by the test alone."""
    endpoint = RawEndpoint('e0', reply_with(full_answer()))
    async with running_entry(SAFE, endpoint) as entry:
        context = entry.context
        gate = ConnectionGate(
            context.clock, Log('process'), context.metrics.refusals
        )
        entry.server.stop()
        entry.server = CallerServer(entry.connections, admit=gate.admit)
        entry.server.listen(0, HOST)
        yield entry, gate
