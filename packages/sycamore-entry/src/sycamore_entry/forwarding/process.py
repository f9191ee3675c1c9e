"""The process of a forwarding entry: start, background tasks and shutdown."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Self

from sycamore_core.messages import PeerKeys
from sycamore_core.telemetry import (
    EventLoopWatch,
    Log,
    ProcessTimes,
    process_age_seconds,
)

from .background_tasks import TASKS_END_SECONDS, BackgroundTasks
from .callers.caller import CallerConnections
from .callers.caller_answer import (
    CallerAnswer,
    CallerRequest,
    RequestServer,
)
from .callers.caller_sweep import CallerSweep
from .callers.descriptor_gate import DescriptorGate
from .callers.exchange import Exchange
from .callers.listening import listen
from .callers.server import CallerServer, ConnectionGate
from .context import ForwardingContext
from .fleet.feed import FleetFeed
from .mesh.entry_mesh import EntryMesh
from .new_context import context_from_settings
from .operator_servers import serve_operators
from .process_signals import ProcessSignals
from .settings import ForwardingSettings
from .settings_read import read_in_thread
from .stopping import GracefulStop
from .wire import WireFormat

#: Longest time to receive the body of a request until its connection is closed
#: in any case, in seconds.
_BODY_CLOSE_SECONDS = 15.0
#: Largest header block and body of a request, in bytes.
_MAX_HEADER_BYTES = 32_768
_MAX_BODY_BYTES = 8_388_608
_SWEEP_INTERVAL_SECONDS = 0.5
#: Interval between reads of the settings, in seconds. The file may change
#: without a signal; no setting in it is urgent.
_RELOAD_INTERVAL_SECONDS = 5.0


class ForwardingProcess(RequestServer):
    """The process of one forwarding entry."""

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
        self.connections = CallerConnections(
            self, context.clock.monotonic, context.flow
        )
        context.metrics.outcomes.lost_answers = self.connections.lost_answers
        self.loop_watch = EventLoopWatch(
            context.clock, self.log, self._observe_lateness
        )
        self.gate = ConnectionGate(
            context.clock, self.log, context.metrics.refusals
        )
        self.descriptors = DescriptorGate.from_process(
            self.log, context.metrics.refusals
        )
        self.tasks = BackgroundTasks(
            self.log, context.metrics.outcomes.failed_tasks
        )

    @classmethod
    def from_settings(
        cls,
        read_settings: Callable[[], ForwardingSettings],
        feed: FleetFeed,
        wire: WireFormat,
        keys: PeerKeys,
    ) -> Self:
        """Create a process with all its components.

        Parameters
        ----------
        read_settings
            Reads the settings, at the start and whenever they may have
            changed.

        Raises
        ------
        SettingsError
            If the settings cannot be read.
        """
        context = context_from_settings(read_settings(), feed, wire)
        mesh = EntryMesh.from_settings(keys, context)
        return cls(context, mesh, read_settings)

    @property
    def is_draining(self) -> bool:
        """Whether connections close after their current answer."""
        return self.context.is_draining

    def serve(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
    ) -> Coroutine[None, None, None]:
        """Return the coroutine that answers one request."""
        return Exchange(self.context, request, answer).run()

    async def run(self) -> None:
        """Serve until a stop signal arrives, then finish open requests.

        From the end on, signals are ignored.
        """
        signals = ProcessSignals(self.context.ask_stop)
        signals.handle()
        try:
            await self._run_until_stopped(signals)
        finally:
            signals.ignore()

    def start_tasks(self) -> None:
        """Start all background tasks; callers are not yet served."""
        if self.context.settings.peers:
            self.mesh.start()
            self.tasks.start(self.mesh.run, 'send updates')
        self.tasks.start(self.context.keeper.run, 'read platform')
        self.tasks.start(self.context.keeper.expire, 'expire endpoints')
        self.tasks.start(self._sweep, 'sweep connections to endpoints')
        self.tasks.start(self.loop_watch.run, 'watch event loop')
        self.tasks.start(self.gate.run, 'limit connections')

    async def reload(self, *, asked: bool) -> None:
        """Read the settings again; keep the current ones if that fails.

        Parameters
        ----------
        asked
            Whether a signal requested it; the reload is then logged even if
            nothing has changed.
        """
        settings = await read_in_thread(self.read_settings, self.log)
        if settings is None:
            return
        if settings != self.context.settings:
            self.context.apply_settings(settings)
            self.mesh.introduce_to_seeds()
        elif not asked:
            return
        self.log.info('reloaded', entry=settings.name, asked=asked)

    async def close(self) -> None:
        """Cancel all tasks and close all connections."""
        await self.tasks.cancel()
        self.context.pool.close()
        await self.mesh.node.close(TASKS_END_SECONDS)

    async def _run_until_stopped(self, signals: ProcessSignals) -> None:
        self.tasks.start(
            lambda: self._reload_when_changed(signals.reload), 'reload settings'
        )
        _log_start(self.log, self.context.settings)
        self.callers = self._serve_callers()
        sweep = CallerSweep(self.context, self.connections, self.callers)
        self.tasks.start(sweep.run, 'sweep callers')
        ready = serve_operators(self.context, self._is_ready, self.log)
        self.start_tasks()
        await signals.stop.wait()
        stop = GracefulStop(self.context, self.connections)
        await stop.run(self.callers)
        ready.stop()
        await self.close()
        stop.log_end()

    def _admit(self) -> bool:
        is_admitted = self.descriptors.admit(
            self.callers.open_count,
            len(self.mesh.node.peers),
            len(self.connections.lingering.sockets),
        )
        return is_admitted and self.gate.admit()

    def _observe_lateness(self, seconds: float) -> None:
        self.context.metrics.observe_lateness(seconds)
        self.gate.observe(seconds)

    def _is_ready(self) -> bool:
        return self.context.keeper.is_ready and not self.is_draining

    def _serve_callers(self) -> CallerServer:
        server = CallerServer(
            self.connections,
            admit=self._admit,
            body_timeout=_BODY_CLOSE_SECONDS,
            max_header_size=_MAX_HEADER_BYTES,
            max_body_size=_MAX_BODY_BYTES,
        )
        listen(server, self.context.settings.callers)
        return server

    async def _reload_when_changed(self, requested: asyncio.Event) -> None:
        """Apply changed settings, on a signal or when the file has changed.

        Without this, the unhandled signal would end the process while it
        serves requests. A signal that arrives during a read causes another
        one, so that the settings of the latest read are in force.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RELOAD_INTERVAL_SECONDS):
                    await requested.wait()
            is_asked = requested.is_set()
            requested.clear()
            await self.reload(asked=is_asked)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_SECONDS)
            self.context.pool.close_expired()


def _log_start(log: Log, settings: ForwardingSettings) -> None:
    limit = settings.retry_limit
    times = ProcessTimes.read()
    log.info(
        'started',
        entry=settings.name,
        zone=settings.zone,
        retry_ratio=limit.ratio,
        retry_slack=limit.slack,
        retry_window_seconds=limit.window,
        start_seconds=round(process_age_seconds(), 3),
        cpu_seconds=round(times.cpu_seconds, 3),
        queued_seconds=round(times.queued_seconds, 3),
        major_faults=times.major_faults,
    )
