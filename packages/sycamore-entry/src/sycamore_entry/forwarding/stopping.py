"""The graceful shutdown of an entry process."""

import asyncio

from sycamore_core.telemetry import Log
from tornado.httpserver import HTTPServer

from .callers.caller import CallerConnections
from .context import ForwardingContext

#: How long a stopping entry accepts new connections, in seconds. The balancer
#: checks readiness once a second and acts on the second failed check.
_BALANCER_DELAY_SECONDS = 2.8
#: Part of the time to stop that remains when the last exchanges are ended, in
#: seconds.
_FORCED_STOP_SECONDS = 0.8
#: Longest time in which their answers are written, in seconds.
_LAST_ANSWERS_SECONDS = 0.4
_POLL_SECONDS = 0.05


class GracefulStop:
    """Ends the requests and connections of an entry before the process ends.

    Attributes
    ----------
    began
        When the stop signal arrived, on the monotonic clock, in seconds.
    """

    def __init__(
        self,
        context: ForwardingContext,
        connections: CallerConnections,
    ) -> None:
        self.context = context
        self.connections = connections
        self.log = Log('process')
        self.began = context.clock.monotonic()

    @property
    def forced_at(self) -> float:
        """Return when open requests are ended, on the monotonic clock."""
        return (
            self.began
            + self.context.settings.stop_seconds
            - _FORCED_STOP_SECONDS
        )

    async def run(self, callers: HTTPServer) -> None:
        """Serve until all connections have ended or the time is over."""
        self.context.is_stopping = True
        in_progress = len(self.connections.tasks)
        self.log.info('stopping', exchanges=in_progress)
        await asyncio.sleep(_BALANCER_DELAY_SECONDS)
        callers.stop()
        await self._wait_for_requests()
        await self._end_requests()

    async def _wait_for_requests(self) -> None:
        clock = self.context.clock
        while clock.monotonic() < self.forced_at:
            self.connections.close_idle()
            if not self.connections.tasks and not self.connections.idle:
                break
            await asyncio.sleep(_POLL_SECONDS)

    async def _end_requests(self) -> None:
        """Answer all open requests, and wait until the answers are written."""
        if self.context.slot_waits.refuse_waiting():
            # The refusals are sent before the remaining tasks are cancelled.
            await asyncio.sleep(_POLL_SECONDS)
        self.connections.end_exchanges()
        remaining = {*self.connections.tasks, *self.context.background}
        if remaining:
            await asyncio.wait(remaining, timeout=_LAST_ANSWERS_SECONDS)
