"""What stands between the peers and the back end, once it is known."""

import dataclasses
from typing import Protocol

from sycamore_core.settings import EndpointProcessSettings
from sycamore_core.states import EndpointKind
from sycamore_core.telemetry import Metrics
from sycamore_core.transport import Node
from tornado.curl_httpclient import CurlAsyncHTTPClient

from .admission import Admission
from .backends import Backend, EngineBackend, PlainBackend
from .backends.calls import ControlClient
from .desk import Desk
from .engine_watch import EngineWatch
from .groups import GroupBackend, GroupDesk, GroupMemberDesk, Groups
from .housekeeping import Housekeeping
from .keys.keeper import KeyKeeper
from .ledger import MemoryLedger, OwnerLeases, RunLedger
from .orders import OrderKeeper
from .reports import Reporter
from .reservations import Reservations
from .runner import Runner
from .state import EndpointState

#: Streams of one back end at a time. A run beyond them waits in our own
#: queue, within its deadline; engines batch far fewer sequences.
MAX_STREAMS = 256


@dataclasses.dataclass
class Gate:
    """The parts that need to know the kind of the back end.

    Attributes
    ----------
    watch, orders
        None for a plain service, which reports no load and takes no orders.
    """

    desk: Desk
    runner: Runner
    housekeeping: Housekeeping
    watch: EngineWatch | None = None
    orders: OrderKeeper | None = None


class GateParts(Protocol):
    """What a gate is made of; see `EndpointParts`."""

    settings: EndpointProcessSettings
    state: EndpointState
    runs: RunLedger
    memory: MemoryLedger
    node: Node
    reporter: Reporter
    reservations: Reservations
    keys: KeyKeeper
    metrics: Metrics


def make_gate(parts: GateParts, kind: EndpointKind) -> Gate:
    """Return the gate to a back end of this kind."""
    streams = CurlAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_STREAMS,
    )
    url = parts.settings.backend_url
    if kind is EndpointKind.PLAIN:
        parts.state.ready = True
        return _assemble(parts, PlainBackend(url, streams))
    control = ControlClient(url, CurlAsyncHTTPClient(force_instance=True))
    groups = Groups()
    backend = GroupBackend(
        EngineBackend(url, streams, control),
        groups,
        parts.state,
        parts.node,
    )
    member = GroupMemberDesk(parts.state, parts.memory, control)
    gate = _assemble(parts, backend)
    gate.desk.groups = GroupDesk(groups, member)
    gate.watch = EngineWatch(
        parts.state,
        parts.memory,
        parts.reporter,
        control,
    )
    gate.orders = _make_orders(parts, control)
    return gate


def _make_orders(parts: GateParts, control: ControlClient) -> OrderKeeper:
    weights_url = parts.settings.weights_url
    weights = None
    if weights_url:
        weights = ControlClient(weights_url, control.client)
    return OrderKeeper(
        parts.state,
        control,
        weights,
        checks_fencing=parts.settings.engine_checks_fencing,
    )


def _assemble(parts: GateParts, backend: Backend) -> Gate:
    admission = Admission(
        parts.state,
        parts.runs,
        parts.memory,
        parts.reservations,
        parts.keys,
    )
    runner = Runner(parts.runs, parts.memory, backend, parts.node, admission)
    owners = OwnerLeases()
    desk = Desk(
        admission,
        parts.reservations,
        runner,
        parts.reporter,
        owners,
        parts.metrics,
    )
    housekeeping = Housekeeping(runner, owners, parts.metrics)
    return Gate(desk, runner, housekeeping)
