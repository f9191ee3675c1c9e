"""A forwarding entry: its start, its tasks and its end."""

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable, Coroutine
from typing import Self

from sycamore_core.clock import SystemClock
from sycamore_core.errors import SettingsError
from sycamore_core.messages import PeerKeys
from sycamore_core.telemetry import Log
from tornado.httpserver import HTTPServer

from .callers.caller import (
    CallerAnswer,
    CallerConnections,
    CallerRequest,
    RequestServer,
)
from .callers.exchange import Exchange
from .callers.readiness import Readiness
from .context import ForwardingContext
from .endpoints.pool import ChannelPool
from .fleet.feed import FleetFeed
from .fleet.keeper import FleetKeeper
from .fleet.read_pace import ReadPace
from .mesh.entry_mesh import EntryMesh
from .metrics import ForwardingMetrics, MetricsPage
from .placement.dispatcher import DirectDispatcher
from .settings import ForwardingSettings
from .wire import WireFormat

#: Idle time of a caller's connection, in seconds. Callers reuse connections
#: that were idle for twelve seconds; one that closes under a request that is
#: on its way costs that caller a repeat.
_IDLE_SECONDS = 20.0
#: Time for the body of a request, in seconds.
_BODY_SECONDS = 10.0
#: Bounds of a request's head and body, in bytes.
_MAX_HEAD = 32_768
_MAX_BODY = 8_388_608
#: How long a stopping entry takes requests that still come, in seconds. The
#: balancer asks once a second and believes the second answer.
_LINGER_SECONDS = 2.8
#: What is left of the time to stop when the last exchanges are cut.
_LAST_SECONDS = 0.8
_LOOK_SECONDS = 0.05
_SWEEP_SECONDS = 0.5
#: The page of metrics is made this long after the start, in seconds; before,
#: it would hold up the first callers by 0.1 s.
_METRICS_SECONDS = 6.0
#: Time between looks whether the settings have changed, in seconds: a file
#: may change without a signal, and nothing in it is urgent.
_RELOAD_SECONDS = 5.0


class ForwardingProcess(RequestServer):
    """One forwarding entry."""

    def __init__(
        self,
        context: ForwardingContext,
        mesh: EntryMesh,
        read_settings: Callable[[], ForwardingSettings],
    ) -> None:
        self.context = context
        self.read_settings = read_settings
        self.mesh = mesh
        self.log = Log('process')
        self.connections = CallerConnections(self, context.clock.monotonic)
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_settings(
        cls,
        read_settings: Callable[[], ForwardingSettings],
        feed: FleetFeed,
        wire: WireFormat,
        keys: PeerKeys,
    ) -> Self:
        """Return a process with all its parts.

        Parameters
        ----------
        read_settings
            Reads the settings, now and whenever they may have changed.

        Raises
        ------
        SettingsError
            If they cannot be read.
        """
        settings = read_settings()
        clock = SystemClock()
        keeper = FleetKeeper(feed, clock, ReadPace(settings.change_seconds))
        context = ForwardingContext(
            settings=settings,
            clock=clock,
            wire=wire,
            keeper=keeper,
            dispatcher=DirectDispatcher(
                settings.name,
                settings.zone,
                keeper,
                clock,
            ),
            pool=ChannelPool(wire),
            metrics=ForwardingMetrics(settings.name),
            log=Log('forwarding'),
        )
        mesh = EntryMesh.from_settings(keys, context)
        return cls(context, mesh, read_settings)

    @property
    def hands_over(self) -> bool:
        """Whether connections are to end after their answers."""
        return self.context.hands_over

    def serve(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
    ) -> Coroutine[None, None, None]:
        """Answer one request."""
        return Exchange(self.context, request, answer).run()

    async def run(self) -> None:
        """Serve until told to stop, then let what is in progress finish."""
        stop = _event_on(signal.SIGTERM, signal.SIGINT)
        self._start(self._reload_on(_event_on(signal.SIGHUP)))
        settings = self.context.settings
        self.log.info('started', entry=settings.name, zone=settings.zone)
        callers = self._listen_to_callers()
        ready = self._serve_operators()
        self.start_tasks()
        await stop.wait()
        await self._stop(callers)
        ready.stop()
        await self.close()

    def start_tasks(self) -> None:
        """Start everything but the serving of callers."""
        if self.context.settings.peers:
            self.mesh.start()
            self._start(self.mesh.run())
        self._start(self.context.keeper.run())
        self._start(self.context.keeper.expire())
        self._start(self._sweep())

    def reload(self, *, asked: bool) -> None:
        """Read the settings again; those in force stay if they cannot be."""
        try:
            settings = self.read_settings()
        except SettingsError as error:
            self.log.error('reload_failed', reason=str(error))
            return
        if settings != self.context.settings:
            self.context.take_settings(settings)
            self.mesh.meet_seeds()
        elif not asked:
            return
        self.log.info('reloaded', entry=settings.name, asked=asked)

    async def close(self) -> None:
        """End all tasks and drop all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.context.pool.close()
        await self.mesh.node.close()
        self.log.info('stopped', entry=self.context.entry)

    def _is_ready(self) -> bool:
        return self.context.keeper.is_ready and not self.hands_over

    def _serve_operators(self) -> HTTPServer:
        settings = self.context.settings
        if settings.metrics:
            self._serve_metrics(settings.metrics)
        ready = HTTPServer(Readiness(self._is_ready))
        _listen(ready, settings.ready)
        return ready

    def _serve_metrics(self, address: str) -> None:
        metrics = self.context.metrics
        try:
            _listen(HTTPServer(MetricsPage(metrics)), address)
        except OSError as error:
            # Callers are served all the same.
            self.log.error('metrics_closed', reason=str(error))
        loop = asyncio.get_running_loop()
        loop.call_later(_METRICS_SECONDS, metrics.load)

    def _listen_to_callers(self) -> HTTPServer:
        server = HTTPServer(
            self.connections,
            idle_connection_timeout=_IDLE_SECONDS,
            body_timeout=_BODY_SECONDS,
            max_header_size=_MAX_HEAD,
            max_body_size=_MAX_BODY,
        )
        _listen(server, self.context.settings.callers)
        return server

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._task_ended)
        self._tasks.append(task)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        # A fault of ours. Half alive, the process would look well to the
        # balancer and be deaf to changes: it ends and is started anew.
        self.log.error('task_failed', error=repr(task.exception()))
        os.kill(os.getpid(), signal.SIGTERM)

    async def _reload_on(self, asked: asyncio.Event) -> None:
        """Take changed settings, on a signal or when the file has changed.

        What goes wrong otherwise: a signal that nobody handles ends the
        process in the middle of its requests.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RELOAD_SECONDS):
                    await asked.wait()
            self.reload(asked=asked.is_set())
            asked.clear()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            self.context.pool.sweep()

    async def _stop(self, callers: HTTPServer) -> None:
        """Let callers go, and what is in progress finish."""
        clock = self.context.clock
        began = clock.monotonic()
        self.context.is_stopping = True
        in_progress = len(self.connections.tasks)
        self.log.info('stopping', exchanges=in_progress)
        await asyncio.sleep(_LINGER_SECONDS)
        callers.stop()
        until = began + self.context.settings.stop_seconds - _LAST_SECONDS
        while clock.monotonic() < until:
            self.connections.close_waiting()
            if not self.connections.tasks and not self.connections.waiting:
                break
            await asyncio.sleep(_LOOK_SECONDS)
        for task in tuple(self.connections.tasks):
            task.cancel()
        last = {*self.connections.tasks, *self.context.background}
        if last:
            await asyncio.wait(last, timeout=_LOOK_SECONDS)


def _listen(server: HTTPServer, address: str) -> None:
    host, _, port = address.rpartition(':')
    server.listen(int(port), host)


def _event_on(*signals: signal.Signals) -> asyncio.Event:
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in signals:
        loop.add_signal_handler(signum, event.set)
    return event
