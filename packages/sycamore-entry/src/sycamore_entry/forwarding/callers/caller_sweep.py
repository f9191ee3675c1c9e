"""Keeps the time limits on callers' connections."""

import asyncio

from ..context import ForwardingContext
from .caller import CallerConnections
from .server import CallerServer
from .statuses import REQUEST_TIMEOUT

#: Shortest idle timeout of a caller's connection, in seconds. Callers reuse
#: connections that were idle for up to four fifths of the timeout that the
#: operator has set; if the entry closed one while a request is on its way, the
#: caller would have to repeat the request.
IDLE_TIMEOUT_SECONDS = 20.0
#: Longest time to receive the body of a request, in seconds. It is refused
#: then.
BODY_TIMEOUT_SECONDS = 10.0
_INTERVAL_SECONDS = 0.5


class CallerSweep:
    """Checks the connections of callers at intervals."""

    def __init__(
        self,
        context: ForwardingContext,
        connections: CallerConnections,
        server: CallerServer,
    ) -> None:
        self.context = context
        self.connections = connections
        self.server = server

    async def run(self) -> None:
        """Check the connections until cancelled."""
        while True:
            self.sweep()
            await asyncio.sleep(_INTERVAL_SECONDS)

    def sweep(self) -> None:
        """Refuse bodies that are late, and set the idle timeout."""
        now = self.context.clock.monotonic()
        self.connections.refuse_incomplete(
            REQUEST_TIMEOUT, now - BODY_TIMEOUT_SECONDS
        )
        table = self.context.keeper.table
        if table is not None:
            self.server.conn_params.header_timeout = max(
                IDLE_TIMEOUT_SECONDS, table.limits.idle_timeout
            )
