"""The endpoint process: its parts, its tasks, its start and its end."""

import asyncio
import signal
import time
from typing import Self

from sycamore_core.clock import SystemClock
from sycamore_core.errors import BackendError
from sycamore_core.identity import RequestIdSigner
from sycamore_core.ids import Incarnation, PeerId
from sycamore_core.messages import PacketCodec, PeerKeys
from sycamore_core.settings import EndpointProcessSettings, FleetSettings
from sycamore_core.states import EndpointKind
from sycamore_core.telemetry import Log, Metrics
from sycamore_core.transport import Node, NodeAddress
from tornado.curl_httpclient import CurlAsyncHTTPClient

from .admission import Admission
from .backends import Backend, EngineBackend, PlainBackend
from .backends.calls import ControlClient
from .desk import Desk
from .ledger import MemoryLedger, RunLedger
from .reports import Reporter
from .reservations import Reservations
from .runner import Runner
from .settings_reader import watch_settings
from .state import EndpointState

MAX_STREAMS = 256


class EndpointProcess:
    """One endpoint process."""

    def __init__(self, settings: EndpointProcessSettings) -> None:
        self.settings = settings
        self.log = Log('endpoint')
        clock = SystemClock()
        keys = PeerKeys.from_files(
            settings.peer_keys.files,
            settings.peer_keys.signing,
        )
        incarnation = Incarnation(time.time_ns())
        self.state = EndpointState(
            settings.name, settings.zone, incarnation, clock
        )
        self.runs = RunLedger()
        self.memory = MemoryLedger(0)
        advertise = settings.advertise or settings.listen
        codec = PacketCodec(keys, PeerId(settings.name), incarnation, advertise)
        self.node = Node(
            NodeAddress(settings.listen, advertise),
            codec,
            clock,
            self.serve_peer,
        )
        self.reservations = Reservations(
            self.runs,
            RequestIdSigner(keys),
            settings.name,
            incarnation,
            clock,
        )
        self.reporter = Reporter(self.state, self.memory)
        self.metrics = Metrics('sycamore-endpoint')
        self.desk: Desk | None = None
        self.stopped = asyncio.Event()

    async def serve_peer(self, peer) -> None:
        while self.desk is None:
            await asyncio.sleep(0.05)
        await self.desk.serve(peer)

    def adopt(self, fleet: FleetSettings) -> None:
        self.state.adopt(fleet)
        own = self.state.own
        self.memory.capacity_tokens = own.endpoint.capacity_tokens
        if self.desk is None:
            self._build(own.service.kind)
        self.state.ready = True

    def _build(self, kind: EndpointKind) -> None:
        streams = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_STREAMS
        )
        url = self.settings.backend_url
        if kind is EndpointKind.PLAIN:
            backend: Backend = PlainBackend(url, streams)
        else:
            control = ControlClient(
                url, CurlAsyncHTTPClient(force_instance=True)
            )
            backend = EngineBackend(url, streams, control)
        runner = Runner(
            self.runs, self.memory, backend, self.node, self.state.clock
        )
        self.desk = Desk(
            Admission(self.state, self.runs, self.memory, self.reservations),
            self.reservations,
            runner,
            self.reporter,
            self.metrics,
        )

    async def run(self) -> None:
        self.node.start()
        watch = asyncio.create_task(
            watch_settings(self.settings.settings_url, self.adopt),
        )
        self.log.info('started', name=self.settings.name)
        await self.stopped.wait()
        watch.cancel()
        await self.node.close()

    def stop(self) -> None:
        self.state.leaving = True
        self.stopped.set()
