"""The endpoint process: its start, its tasks and its end."""

import asyncio
from typing import Self

from sycamore_core.clock import SystemClock
from sycamore_core.errors import PlatformError
from sycamore_core.platform import HttpInstanceSource
from sycamore_core.settings import EndpointProcessSettings
from sycamore_core.telemetry import Log
from tornado.httpserver import HTTPServer

from .draining import Departure
from .pages import make_application
from .parts import EndpointParts

#: Time for the last messages to leave before the sockets are closed, in
#: seconds.
_LINGER_SECONDS = 0.1


class EndpointProcess:
    """One endpoint process."""

    def __init__(self, parts: EndpointParts) -> None:
        self.parts = parts
        self.settings = parts.settings
        self.log = Log('endpoint')
        self.departure = Departure(
            parts.state,
            parts.runs,
            parts.reporter,
            parts.node,
        )
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_settings(cls, settings: EndpointProcessSettings) -> Self:
        """Return a process with the parts that the settings ask for."""
        return cls(EndpointParts.from_settings(settings, SystemClock()))

    def stop(self) -> None:
        """Begin to leave; `run` returns when nothing is in progress."""
        self.departure.begin('signal')

    async def run(self) -> None:
        """Serve until told to leave, then let what is in progress finish."""
        self.parts.node.start()
        server = self._listen()
        await self._start_tasks()
        await self._wait_for_end()
        await self.departure.finish(self.settings.drain_seconds)
        await asyncio.sleep(_LINGER_SECONDS)
        await self._end_tasks()
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
        keeper.add_listener(self.parts.take_settings)
        self._tasks.append(asyncio.create_task(keeper.run()))
        if self.settings.instances_url:
            source = HttpInstanceSource(self.settings.instances_url)
            watch = asyncio.create_task(self.departure.watch(source))
            self._tasks.append(watch)
        try:
            await keeper.wait_for_settings(self.settings.start_seconds)
        except PlatformError as error:
            self.log.error('settings_missing', reason=str(error))
        gate = self.parts.gate
        if gate is None:
            self.departure.begin('no usable settings')
            return
        self._tasks.append(asyncio.create_task(gate.housekeeping.run()))
        for part in (gate.watch, gate.orders):
            if part is not None:
                self._tasks.append(asyncio.create_task(part.run()))
        self.log.info('endpoint_ready', settings_version=keeper.version)

    async def _wait_for_end(self) -> None:
        """Return when told to leave, or when one of the tasks has failed."""
        begun = asyncio.create_task(self.departure.begun.wait())
        ended, _ = await asyncio.wait(
            (begun, *self._tasks),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in ended.difference({begun}):
            self.log.error('task_failed', error=repr(task.exception()))
            self.departure.begin('task failed')
        begun.cancel()

    async def _end_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.parts.gate is not None:
            await self.parts.gate.runner.close()
        await self.parts.node.close()
