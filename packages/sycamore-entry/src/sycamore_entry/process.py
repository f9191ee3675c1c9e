"""Start, tasks and shutdown of the entry process."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Self

from sycamore_core.clock import SystemClock
from sycamore_core.decisions import FairScheduler
from sycamore_core.errors import PlatformError
from sycamore_core.ids import SettingsVersion
from sycamore_core.settings import EntryProcessSettings, FleetSettings
from sycamore_core.stop_signal import StopSignal
from sycamore_core.tasks import (
    CANCEL_SECONDS,
    cancel_all,
    run_until,
    start_running,
)
from tornado.httpserver import HTTPServer

from .components import EntryComponents
from .dispatcher import Dispatcher
from .web import make_application

#: Largest body that the HTTP server accepts; the limits of the services are
#: lower.
MAX_BODY_BYTES = 67_108_864
_DRAIN_POLL_SECONDS = 0.05
#: Longest time for the last answers to be sent, in seconds. A caller that does
#: not read may not delay the end of the process.
_ANSWER_SECONDS = 1.0


class EntryProcess:
    """One entry process."""

    def __init__(
        self,
        settings: EntryProcessSettings,
        components: EntryComponents,
    ) -> None:
        self.settings = settings
        self.components = components
        self.log = components.context.log
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_settings(cls, settings: EntryProcessSettings) -> Self:
        """Return a process with components built from the settings."""
        empty_fleet = FleetSettings(version=SettingsVersion(0), name='')
        scheduler = FairScheduler.from_settings(
            empty_fleet,
            random.random,
            settings.zone,
        )
        clock = SystemClock()
        components = EntryComponents.from_settings(settings, scheduler, clock)
        return cls(settings, components)

    async def run(self) -> None:
        """Serve until a stop signal, then drain the exchanges in progress.

        From the end on, stop signals are ignored.
        """
        stop = StopSignal(self.components.context.clock)
        stop.handle()
        try:
            await self._run_until_stopped(stop)
        finally:
            stop.ignore()

    async def _run_until_stopped(self, stop: StopSignal) -> None:
        server = self._listen()
        if await run_until(self._start_tasks(), stop.arrived):
            version = self.components.keeper.version
            self.log.info('entry_ready', settings_version=version)
            await stop.arrived.wait()
        await self._drain(stop.arrived_at or 0)
        await self._answer_open()
        server.stop()
        await self._cancel_tasks()
        self.log.info('entry_stopped')

    def _listen(self) -> HTTPServer:
        self.components.node.start()
        server = HTTPServer(
            make_application(self.components.web),
            max_buffer_size=MAX_BODY_BYTES,
        )
        server.listen(self.settings.http_port, self.settings.http_host)
        return server

    async def _start_tasks(self) -> None:
        keeper = self.components.keeper
        self._start_task(keeper.run, 'settings')
        try:
            await keeper.wait_for_settings(self.settings.start_seconds)
        except PlatformError as error:
            # The process cannot serve without settings, but the platform may
            # recover. The process stays alive, reports that it is not ready
            # and logs the reason.
            self.log.error('settings_missing', reason=str(error))
        keeper.add_listener(self.components.apply_settings)
        context = self.components.context
        self._start_task(context.links.run, 'links')
        self._start_task(Dispatcher(context).run, 'dispatch')

    def _start_task(
        self, action: Callable[[], Awaitable[None]], name: str
    ) -> None:
        """Start a task that goes on after a defect.

        An input that meets the defect again and again must not end all
        processes of the fleet.
        """
        self._tasks.append(start_running(action, name, self.log))

    async def _drain(self, began: float) -> None:
        """Refuse new requests and wait for the exchanges in progress.

        ``/healthz`` reports to the load balancer that the process is not
        ready. Requests that still arrive are refused as not run, so callers
        can send them to another entry.

        Parameters
        ----------
        began
            When the stop signal arrived, on the monotonic clock, in seconds.
        """
        self.components.web.draining.set()
        context = self.components.context
        context.links.draining = True
        exchanges = context.open.tasks
        self.log.info('entry_draining', exchanges=len(exchanges))
        until = began + self.settings.drain_seconds
        while exchanges and context.now() < until:
            await asyncio.sleep(_DRAIN_POLL_SECONDS)

    async def _answer_open(self) -> None:
        """Answer the requests that are still open, as far as is known.

        Otherwise their callers would not know whether to repeat them.
        """
        exchanges = self.components.context.open
        self.log.info('entry_drained', exchanges=len(exchanges.tasks))
        self.components.web.refuse_unserved()
        await exchanges.end(_ANSWER_SECONDS)
        # Callers get time to close their connections.
        await asyncio.sleep(_DRAIN_POLL_SECONDS)

    async def _cancel_tasks(self) -> None:
        await cancel_all(self._tasks, CANCEL_SECONDS, self.log)
        await self.components.node.close()
