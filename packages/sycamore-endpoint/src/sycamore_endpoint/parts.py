"""The parts of one endpoint process, put together."""

import dataclasses
import time
from typing import Self

from sycamore_core.clock import Clock
from sycamore_core.identity import RequestIdSigner
from sycamore_core.ids import Incarnation, PeerId
from sycamore_core.messages import PacketCodec, PeerKeys
from sycamore_core.platform import SeedPeers, SettingsKeeper
from sycamore_core.settings import EndpointProcessSettings, FleetSettings
from sycamore_core.states import EndpointKind
from sycamore_core.telemetry import Gauge, Metrics
from sycamore_core.transport import Node, NodeAddress, Peer
from tornado.curl_httpclient import CurlAsyncHTTPClient

from .admission import Admission
from .backends import Backend, EngineBackend, PlainBackend
from .backends.calls import ControlClient
from .desk import Desk
from .engine_watch import EngineWatch
from .housekeeping import Housekeeping
from .ledger import MemoryLedger, OwnerLeases, RunLedger
from .reports import Reporter
from .reservations import Reservations
from .runner import Runner
from .state import EndpointState

#: Streams of one back end at a time. A run beyond them waits in our own
#: queue, within its deadline; engines batch far fewer sequences.
MAX_STREAMS = 256


@dataclasses.dataclass
class Gate:
    """What stands between the peers and the back end, once it is known.

    Attributes
    ----------
    watch
        None for a plain service, which reports no load.
    """

    desk: Desk
    runner: Runner
    housekeeping: Housekeeping
    watch: EngineWatch | None


@dataclasses.dataclass
class EndpointParts:
    """What is there before the first settings: ledgers, node and keeper."""

    settings: EndpointProcessSettings
    state: EndpointState
    runs: RunLedger
    memory: MemoryLedger
    node: Node
    keeper: SettingsKeeper
    reporter: Reporter
    reservations: Reservations
    metrics: Metrics
    gate: Gate | None = None

    @classmethod
    def from_settings(
        cls,
        settings: EndpointProcessSettings,
        clock: Clock,
    ) -> Self:
        """Put the parts of one process together."""
        keys = PeerKeys.from_files(
            settings.peer_keys.files,
            settings.peer_keys.signing,
        )
        incarnation = Incarnation(time.time_ns())
        state = EndpointState(settings.name, settings.zone, incarnation, clock)
        metrics = Metrics(settings.name)
        runs = RunLedger()
        memory = MemoryLedger(0)
        node = _make_node(settings, keys, incarnation, clock)
        seeds = SeedPeers(node, settings.seed_peers)
        keeper = SettingsKeeper.from_settings(settings, metrics, seeds)
        parts = cls(
            settings=settings,
            state=state,
            runs=runs,
            memory=memory,
            node=node,
            keeper=keeper,
            reporter=Reporter(state, memory, runs, keeper),
            reservations=Reservations(
                runs,
                RequestIdSigner(keys),
                settings.name,
                incarnation,
                clock,
            ),
            metrics=metrics,
        )
        node.serve_peer = parts.serve_peer
        parts.show()
        return parts

    def show(self) -> None:
        """Put the state of the moment on the metrics page."""
        self.metrics.watch_transport(self.node.counts)
        memory = self.memory
        self.metrics.watch(Gauge.LEASES, lambda: len(memory.leases))
        self.metrics.watch(Gauge.LEASED_TOKENS, lambda: memory.leased_tokens)
        self.metrics.watch(Gauge.FREE_TOKENS, lambda: memory.free_tokens)
        runs = self.runs
        self.metrics.watch(Gauge.RUNNING, lambda: len(runs.in_progress()))

    async def serve_peer(self, peer: Peer) -> None:
        """Handle the messages of one peer until cancelled."""
        await self.keeper.wait_first(self.settings.start_seconds)
        if self.gate is not None:
            await self.gate.desk.serve(peer)

    def take_settings(self, fleet: FleetSettings) -> None:
        """Take settings into force; the first ones say what stands behind.

        Raises
        ------
        SettingsError
            If they do not list this endpoint.
        """
        self.state.adopt(fleet)
        own = self.state.own
        if own is None:
            return
        self.memory.capacity_tokens = own.endpoint.capacity_tokens
        if self.gate is None:
            self.gate = self._make_gate(own.service.kind)

    def _make_gate(self, kind: EndpointKind) -> Gate:
        streams = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_STREAMS,
        )
        url = self.settings.backend_url
        if kind is EndpointKind.PLAIN:
            self.state.ready = True
            return self._assemble(PlainBackend(url, streams), None)
        calls = CurlAsyncHTTPClient(force_instance=True)
        control = ControlClient(url, calls)
        watch = EngineWatch(self.state, self.memory, self.reporter, control)
        return self._assemble(EngineBackend(url, streams, control), watch)

    def _assemble(self, backend: Backend, watch: EngineWatch | None) -> Gate:
        runner = Runner(
            self.runs,
            self.memory,
            backend,
            self.node,
            self.state.clock,
        )
        owners = OwnerLeases()
        desk = Desk(
            Admission(self.state, self.runs, self.memory, self.reservations),
            self.reservations,
            runner,
            self.reporter,
            owners,
            self.metrics,
        )
        housekeeping = Housekeeping(runner, owners, self.metrics)
        return Gate(desk, runner, housekeeping, watch)


def _make_node(
    settings: EndpointProcessSettings,
    keys: PeerKeys,
    incarnation: Incarnation,
    clock: Clock,
) -> Node:
    advertise = settings.advertise or settings.listen
    codec = PacketCodec(keys, PeerId(settings.name), incarnation, advertise)
    return Node(
        NodeAddress(settings.listen, advertise),
        codec,
        clock,
        _serve_nobody,
    )


async def _serve_nobody(peer: Peer) -> None:
    """Stand for the handler of peers until the parts are put together."""
