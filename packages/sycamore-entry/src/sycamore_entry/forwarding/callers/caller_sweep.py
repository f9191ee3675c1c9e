"""Keeps the time limits on callers' connections."""

import asyncio

from sycamore_core.decisions.late_checks import LateChecks

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
#: Time beyond the idle timeout in which the rest of a head may arrive, in
#: seconds. The connection is closed then.
HEAD_SECONDS = 10.0
_INTERVAL_SECONDS = 0.5
#: Longest interval of a process that is in time, in seconds.
_USUAL_SECONDS = 0.6


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
        self.checks = LateChecks(_USUAL_SECONDS)

    async def run(self) -> None:
        """Check the connections until cancelled."""
        while True:
            self.sweep()
            await asyncio.sleep(_INTERVAL_SECONDS)

    def sweep(self) -> None:
        """Refuse bodies that are late, and close idle connections.

        The rest of a body may lie unread if this process is late.
        """
        now = self.context.clock.monotonic()
        if self.checks.record(now):
            self.connections.refuse_incomplete(
                REQUEST_TIMEOUT, now - BODY_TIMEOUT_SECONDS
            )
        idle_seconds = self._idle_timeout()
        self.connections.close_idle(now - idle_seconds)
        # The server itself would close a connection whose request is unread.
        self.server.conn_params.header_timeout = idle_seconds + HEAD_SECONDS

    def _idle_timeout(self) -> float:
        """Return the idle timeout of connections, in seconds."""
        table = self.context.keeper.table
        if table is None:
            return IDLE_TIMEOUT_SECONDS
        return max(IDLE_TIMEOUT_SECONDS, table.limits.idle_timeout)
