"""Construction of the parts of one endpoint process."""

import dataclasses
import time
from typing import Self

from sycamore_core.clock import Clock
from sycamore_core.identity import RequestIdSigner
from sycamore_core.ids import Incarnation, PeerId
from sycamore_core.messages import PacketCodec, PeerKeys
from sycamore_core.platform import SeedPeers, SettingsKeeper
from sycamore_core.settings import EndpointProcessSettings, FleetSettings
from sycamore_core.telemetry import Gauge, Metrics
from sycamore_core.transport import Node, NodeAddress, Peer

from .backend_parts import BackendParts, make_backend_parts
from .keys.keeper import KeyChecker
from .ledger import MemoryLedger, RunLedger
from .reports import Reporter
from .reservations import Reservations
from .state import EndpointState


@dataclasses.dataclass
class EndpointParts:
    """The parts of one endpoint process.

    Attributes
    ----------
    backend_parts
        The parts that depend on the kind of the back end; None until the
        first settings name it.
    """

    settings: EndpointProcessSettings
    state: EndpointState
    runs: RunLedger
    memory: MemoryLedger
    node: Node
    keeper: SettingsKeeper
    reporter: Reporter
    reservations: Reservations
    keys: KeyChecker
    metrics: Metrics
    backend_parts: BackendParts | None = None

    @classmethod
    def from_settings(
        cls,
        settings: EndpointProcessSettings,
        clock: Clock,
    ) -> Self:
        """Create the parts of one process."""
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
            keys=KeyChecker(state, keeper),
            metrics=metrics,
        )
        node.serve_peer = parts.serve_peer
        parts.register_metrics()
        return parts

    def register_metrics(self) -> None:
        """Register the gauges and transport counters of this process."""
        self.metrics.export_transport_counts(self.node.counts)
        memory = self.memory
        self.metrics.export_gauge(Gauge.LEASES, lambda: len(memory.leases))
        self.metrics.export_gauge(
            Gauge.LEASED_TOKENS, lambda: memory.leased_tokens
        )
        self.metrics.export_gauge(Gauge.FREE_TOKENS, lambda: memory.free_tokens)
        runs = self.runs
        self.metrics.export_gauge(
            Gauge.RUNNING, lambda: len(runs.in_progress())
        )

    async def serve_peer(self, peer: Peer) -> None:
        """Handle the messages of one peer until cancelled."""
        await self.keeper.wait_for_settings(self.settings.start_seconds)
        if self.backend_parts is not None:
            await self.backend_parts.message_handler.serve(peer)

    def apply_settings(self, fleet: FleetSettings) -> None:
        """Apply settings; the first ones determine the kind of the back end.

        Raises
        ------
        SettingsError
            If the settings do not list this endpoint.
        """
        self.state.apply_settings(fleet)
        own_settings = self.state.own_settings
        if own_settings is None:
            return
        self.keys.refresh()
        self.memory.capacity_tokens = own_settings.endpoint.capacity_tokens
        if self.backend_parts is None:
            self.backend_parts = make_backend_parts(
                self, own_settings.service.kind
            )


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
        _ignore_peer,
    )


async def _ignore_peer(peer: Peer) -> None:
    """Stand in for the peer handler until all parts are created."""
