"""The endpoint process: start, tasks and shutdown."""

import asyncio
from typing import Self

from sycamore_core.clock import SystemClock
from sycamore_core.errors import PlatformError
from sycamore_core.platform import HttpInstanceSource
from sycamore_core.settings import EndpointProcessSettings
from sycamore_core.tasks import log_failure
from sycamore_core.telemetry import Log
from tornado.httpserver import HTTPServer

from .draining import DrainController
from .pages import make_application
from .parts import EndpointParts

#: Time to send the last messages before the sockets are closed, in seconds.
_LINGER_SECONDS = 0.1


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

    def stop(self) -> None:
        """Start to drain; `run` returns when no run is in progress."""
        self.drain.begin('signal')

    async def run(self) -> None:
        """Serve until the process drains, then finish the runs in progress."""
        self.parts.node.start()
        server = self._listen()
        await self._start_tasks()
        await self._wait_until_draining()
        await self.drain.wait_until_drained(self.settings.drain_seconds)
        await asyncio.sleep(_LINGER_SECONDS)
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
        self._tasks.append(asyncio.create_task(keeper.run()))
        if self.settings.instances_url:
            source = HttpInstanceSource(self.settings.instances_url)
            watch = asyncio.create_task(self.drain.watch_instances(source))
            self._tasks.append(watch)
        try:
            await keeper.wait_for_settings(self.settings.start_seconds)
        except PlatformError as error:
            self.log.error('settings_missing', reason=str(error))
        backend_parts = self.parts.backend_parts
        if backend_parts is None:
            self.drain.begin('no usable settings')
            return
        self._tasks.append(
            asyncio.create_task(backend_parts.housekeeping.run())
        )
        for part in (backend_parts.watch, backend_parts.orders):
            if part is not None:
                self._tasks.append(asyncio.create_task(part.run()))
        self.log.info('endpoint_ready', settings_version=keeper.version)

    async def _wait_until_draining(self) -> None:
        """Wait until draining starts or a task has failed."""
        drain_started = asyncio.create_task(self.drain.started.wait())
        ended, _ = await asyncio.wait(
            (drain_started, *self._tasks),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in ended.difference({drain_started}):
            log_failure(self.log, task)
            self.drain.begin('task failed')
        drain_started.cancel()

    async def _stop_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.parts.backend_parts is not None:
            await self.parts.backend_parts.runner.close()
        await self.parts.node.close()
