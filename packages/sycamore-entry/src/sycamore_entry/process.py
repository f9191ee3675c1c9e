"""The entry process: its start, its tasks and its end."""

import asyncio
import random
import signal
from typing import Self

from sycamore_core.clock import SystemClock
from sycamore_core.decisions import FairScheduler
from sycamore_core.errors import PlatformError
from sycamore_core.ids import SettingsVersion
from sycamore_core.settings import EntryProcessSettings, FleetSettings
from tornado.httpserver import HTTPServer

from .dispatcher import Dispatcher
from .parts import EntryParts
from .web import make_application

#: Largest body that the HTTP server takes at all; the services' own limits
#: are lower.
MAX_BODY_BYTES = 67_108_864
_DRAIN_POLL_SECONDS = 0.05


class EntryProcess:
    """One entry process."""

    def __init__(
        self,
        settings: EntryProcessSettings,
        parts: EntryParts,
    ) -> None:
        self.settings = settings
        self.parts = parts
        self.log = parts.context.log
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_settings(cls, settings: EntryProcessSettings) -> Self:
        """Return a process with the parts that the settings ask for."""
        nothing_yet = FleetSettings(version=SettingsVersion(0), name='')
        scheduler = FairScheduler.from_settings(
            nothing_yet,
            random.random,
            settings.zone,
        )
        clock = SystemClock()
        parts = EntryParts.from_settings(settings, scheduler, clock)
        return cls(settings, parts)

    async def run(self) -> None:
        """Serve until told to stop, then let what is in progress finish."""
        stop = _stop_on_signal()
        server = self._listen()
        await self._start_tasks()
        version = self.parts.keeper.version
        self.log.info('entry_ready', settings_version=version)
        await self._wait_for_end(stop)
        await self._drain()
        server.stop()
        await self._end_tasks()
        self.log.info('entry_stopped')

    def _listen(self) -> HTTPServer:
        self.parts.node.start()
        server = HTTPServer(
            make_application(self.parts.web),
            max_buffer_size=MAX_BODY_BYTES,
        )
        server.listen(self.settings.http_port, self.settings.http_host)
        return server

    async def _start_tasks(self) -> None:
        keeper = self.parts.keeper
        self._tasks.append(asyncio.create_task(keeper.run()))
        try:
            await keeper.wait_first(self.settings.start_seconds)
        except PlatformError as error:
            # Without settings nothing can be served, but the platform may
            # come back: the process stays, not ready, and says why.
            self.log.error('settings_missing', reason=str(error))
        keeper.listen(self.parts.take_settings)
        context = self.parts.context
        self._tasks.append(asyncio.create_task(context.links.run()))
        self._tasks.append(asyncio.create_task(Dispatcher(context).run()))

    async def _wait_for_end(self, stop: asyncio.Event) -> None:
        """Return when told to stop, or when one of the tasks has failed.

        What goes wrong otherwise: a task dies of a fault of ours, and the
        process goes on half alive, healthy to the balancer and deaf to new
        settings. It ends instead, and the platform starts it anew.
        """
        stopped = asyncio.create_task(stop.wait())
        ended, _ = await asyncio.wait(
            (stopped, *self._tasks),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in ended.difference({stopped}):
            self.log.error('task_failed', error=repr(task.exception()))
        stopped.cancel()

    async def _drain(self) -> None:
        """Take nothing new and wait for the exchanges in progress.

        The balancer learns by ``/healthz`` that this process is leaving. New
        requests that still come are refused as not run and go elsewhere.
        """
        self.parts.web.draining.set()
        context = self.parts.context
        context.links.draining = True
        self.log.info('entry_draining', exchanges=len(context.registry))
        until = context.now() + self.settings.drain_seconds
        while len(context.registry) and context.now() < until:
            await asyncio.sleep(_DRAIN_POLL_SECONDS)
        # The last answers are written; their connections get a moment.
        await asyncio.sleep(_DRAIN_POLL_SECONDS)

    async def _end_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.parts.node.close()


def _stop_on_signal() -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    return stop
