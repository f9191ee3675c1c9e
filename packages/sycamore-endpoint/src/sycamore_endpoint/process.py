"""The endpoint process: start, tasks and shutdown."""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from typing import Self

from sycamore_core.clock import SystemClock
from sycamore_core.errors import PlatformError
from sycamore_core.platform import HttpInstanceSource
from sycamore_core.settings import EndpointProcessSettings
from sycamore_core.tasks import (
    CANCEL_SECONDS,
    cancel_all,
    run_until,
    start_running,
)
from sycamore_core.telemetry import Log
from tornado.httpserver import HTTPServer

from .draining import DrainController
from .pages import make_application
from .parts import EndpointParts

#: Time to send the last messages before the sockets are closed, in seconds.
_LINGER_SECONDS = 0.1
#: Longest time in which entries acknowledge the ends of the last runs, in
#: seconds.
_LAST_ACKS_SECONDS = 1.0


class EndpointProcess:
    """One endpoint process."""

    def __init__(self, parts: EndpointParts) -> None:
        self.parts = parts
        self.settings = parts.settings
        self.log = Log('endpoint')
        self.drain = DrainController(
            parts.state,
            parts.runs,
            parts.reporter,
            parts.node,
        )
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_settings(cls, settings: EndpointProcessSettings) -> Self:
        """Return a process with the parts that its settings require."""
        return cls(EndpointParts.from_settings(settings, SystemClock()))

    def stop(self, asked_at: float | None = None) -> None:
        """Start to drain; `run` returns when no run is in progress.

        Parameters
        ----------
        asked_at
            When this was asked for, on the monotonic clock, in seconds. The
            drain counts from then; now if it is not given.
        """
        self.drain.begin('signal', asked_at)

    async def run(self) -> None:
        """Serve until the process drains, then finish the runs in progress."""
        self.parts.node.start()
        server = self._listen()
        if await run_until(self._start_tasks(), self.drain.started):
            await self.drain.started.wait()
        await self.drain.wait_until_drained(self.settings.drain_seconds)
        await self._end_runs()
        await self._stop_tasks()
        if server is not None:
            server.stop()
        self.log.info('endpoint_stopped')

    def _listen(self) -> HTTPServer | None:
        if not self.settings.http_port:
            return None
        parts = self.parts
        server = HTTPServer(make_application(parts.state, parts.metrics))
        server.listen(self.settings.http_port, self.settings.http_host)
        return server

    async def _start_tasks(self) -> None:
        keeper = self.parts.keeper
        keeper.add_listener(self.parts.apply_settings)
        self._start_task(keeper.run, 'settings')
        if self.settings.instances_url:
            source = HttpInstanceSource(self.settings.instances_url)
            self._start_task(
                functools.partial(self.drain.watch_instances, source),
                'instances',
            )
        try:
            await keeper.wait_for_settings(self.settings.start_seconds)
        except PlatformError as error:
            self.log.error('settings_missing', reason=str(error))
        backend_parts = self.parts.backend_parts
        if backend_parts is None:
            self.drain.begin('no usable settings')
            return
        self._start_task(backend_parts.housekeeping.run, 'housekeeping')
        for part in (backend_parts.watch, backend_parts.orders):
            if part is not None:
                self._start_task(part.run, type(part).__name__)
        self.log.info('endpoint_ready', settings_version=keeper.version)

    def _start_task(
        self, action: Callable[[], Awaitable[None]], name: str
    ) -> None:
        """Start a task that goes on after a defect.

        An input that meets the defect again and again must not end all
        processes of the fleet.
        """
        self._tasks.append(start_running(action, name, self.log))

    async def _end_runs(self) -> None:
        """Tell the entries at once that the runs still open end here.

        Otherwise they would wait until they miss the reports of this process.
        """
        if self.parts.backend_parts is not None:
            self.parts.backend_parts.runner.end_all()
            await self.drain.wait_until_acknowledged(_LAST_ACKS_SECONDS)
        await asyncio.sleep(_LINGER_SECONDS)

    async def _stop_tasks(self) -> None:
        await cancel_all(self._tasks, CANCEL_SECONDS, self.log)
        if self.parts.backend_parts is not None:
            await self.parts.backend_parts.runner.close()
        await self.parts.node.close()
