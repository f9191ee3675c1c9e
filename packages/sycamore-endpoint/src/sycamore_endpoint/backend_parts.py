"""Construction of the parts that depend on the kind of the back end."""

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
from .engine_watch import EngineWatch
from .groups import GroupBackend, GroupDispatcher, GroupMemberHandler, LedGroups
from .housekeeping import Housekeeping
from .keys.keeper import KeyChecker
from .ledger import MemoryLedger, OwnerLeases, RunLedger
from .message_handler import MessageHandler
from .orders import OrderReconciler
from .reports import Reporter
from .reservations import Reservations
from .runner import Runner
from .state import EndpointState

#: Concurrent streams to one back end. Further runs wait in the queue of the
#: HTTP client, within their deadlines. Engines batch far fewer sequences.
MAX_STREAMS = 256


@dataclasses.dataclass
class BackendParts:
    """The parts that depend on the kind of the back end.

    Attributes
    ----------
    watch, orders
        None for a plain service, which reports no load and receives no orders.
    """

    message_handler: MessageHandler
    runner: Runner
    housekeeping: Housekeeping
    watch: EngineWatch | None = None
    orders: OrderReconciler | None = None


class SharedParts(Protocol):
    """The parts that `BackendParts` is built from; see `EndpointParts`."""

    settings: EndpointProcessSettings
    state: EndpointState
    runs: RunLedger
    memory: MemoryLedger
    node: Node
    reporter: Reporter
    reservations: Reservations
    keys: KeyChecker
    metrics: Metrics


def make_backend_parts(parts: SharedParts, kind: EndpointKind) -> BackendParts:
    """Return the parts for a back end of this kind."""
    streams = CurlAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_STREAMS,
    )
    url = parts.settings.backend_url
    if kind is EndpointKind.PLAIN:
        parts.state.ready = True
        return _assemble(parts, PlainBackend(url, streams))
    control = ControlClient(url, CurlAsyncHTTPClient(force_instance=True))
    groups = LedGroups()
    backend = GroupBackend(
        EngineBackend(url, streams, control),
        groups,
        parts.state,
        parts.node,
    )
    member = GroupMemberHandler(parts.state, parts.memory, control)
    backend_parts = _assemble(parts, backend)
    backend_parts.message_handler.groups = GroupDispatcher(groups, member)
    backend_parts.watch = EngineWatch(
        parts.state,
        parts.memory,
        parts.reporter,
        control,
    )
    backend_parts.orders = _make_order_keeper(parts, control)
    return backend_parts


def _make_order_keeper(
    parts: SharedParts, control: ControlClient
) -> OrderReconciler:
    weights_url = parts.settings.weights_url
    weights = None
    if weights_url:
        weights = ControlClient(weights_url, control.client)
    return OrderReconciler(
        parts.state,
        control,
        weights,
        checks_fencing=parts.settings.engine_checks_fencing,
    )


def _assemble(parts: SharedParts, backend: Backend) -> BackendParts:
    admission = Admission(
        parts.state,
        parts.runs,
        parts.memory,
        parts.reservations,
        parts.keys,
    )
    runner = Runner(parts.runs, parts.memory, backend, parts.node, admission)
    owners = OwnerLeases()
    message_handler = MessageHandler(
        admission,
        parts.reservations,
        runner,
        parts.reporter,
        owners,
        parts.metrics,
    )
    housekeeping = Housekeeping(runner, owners, parts.metrics)
    return BackendParts(message_handler, runner, housekeeping)
