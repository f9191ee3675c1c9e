"""State that all exchanges of a forwarding entry share."""

import asyncio
import dataclasses

from sycamore_core.clock import Clock
from sycamore_core.decisions.direct import (
    FleetSize,
    SharedRetryBudget,
    is_isolated,
)
from sycamore_core.ids import EntryId, ServiceId
from sycamore_core.telemetry import Log

from .endpoints.pool import ChannelPool
from .endpoints.unknown_headers import UnknownHeaders
from .fleet.evacuation import RunningRequests
from .fleet.keeper import FleetKeeper
from .flow_control import FlowControl
from .mesh.peer_report import PeerReport
from .metrics import ForwardingMetrics
from .peer_reports import make_peer_reports
from .placement.dispatcher import DirectDispatcher
from .placement.model_admission import ModelAdmission
from .placement.overload_state import OverloadState
from .placement.queue_view import QueueView
from .placement.slot_waits import SlotWaits
from .settings import ForwardingSettings
from .shares import EntryShares
from .suspects import SuspectState
from .trials import LocalTrialGrants, TrialGrants
from .wire import WireFormat


@dataclasses.dataclass
class ForwardingContext:
    """The shared state of one entry.

    Attributes
    ----------
    is_stopping
        Whether a stop signal has arrived.
    stop_asked_at
        When the first stop signal arrived, on the monotonic clock, in seconds;
        None before.
    forced_stop_at
        When a stopping process ends its open requests, on the monotonic clock,
        in seconds; None unless it stops.
    entry_count
        Number of entries that send updates or are named by peers, this entry
        included.
    fleet_size
        Number of entries among which the operator's limits are divided.
    started_at
        When this entry was created, on the monotonic clock, in seconds.
    last_peer_message_at
        When the last message of a peer arrived, on the monotonic clock, in
        seconds.
    suspects
        Requests that may crash endpoints.
    trials
        Grants trial attempts of a suspect request after its quarantine.
    running
        Running requests, by zone.
    slot_waits
        How requests wait for a free slot, by service.
    shares
        Fair shares of workspaces in the engines of ranked services.
    flow
        Bounds the bytes that are held for slow readers.
    overload
        State of admission control.
    admission
        Forecasts for requests of ranked model services.
    peer_reports
        Parts of the updates that this entry and its peers exchange.
    background
        Tasks that outlive the exchange that started them.
    """

    settings: ForwardingSettings
    clock: Clock
    wire: WireFormat
    keeper: FleetKeeper
    dispatcher: DirectDispatcher
    pool: ChannelPool
    metrics: ForwardingMetrics
    log: Log
    is_stopping: bool = False
    stop_asked_at: float | None = None
    forced_stop_at: float | None = None
    entry_count: int = 1
    fleet_size: FleetSize = dataclasses.field(default_factory=FleetSize)
    started_at: float = dataclasses.field(init=False)
    last_peer_message_at: float | None = None
    peer_reports: list[PeerReport] = dataclasses.field(init=False)
    background: set[asyncio.Task[None]] = dataclasses.field(
        default_factory=set,
    )
    retry_budgets: dict[ServiceId, SharedRetryBudget] = dataclasses.field(
        default_factory=dict,
    )
    suspects: SuspectState = dataclasses.field(default_factory=SuspectState)
    overload: OverloadState = dataclasses.field(default_factory=OverloadState)
    admission: ModelAdmission = dataclasses.field(init=False)
    trials: TrialGrants = dataclasses.field(init=False)
    unknown_headers: UnknownHeaders = dataclasses.field(init=False)
    slot_waits: SlotWaits = dataclasses.field(init=False)
    running: RunningRequests = dataclasses.field(init=False)
    shares: EntryShares = dataclasses.field(init=False)
    flow: FlowControl = dataclasses.field(default_factory=FlowControl)

    def __post_init__(self) -> None:
        self.started_at = self.clock.monotonic()
        if not self.settings.peers:
            self.fleet_size.observe(1, is_discovered=True)
        self.unknown_headers = UnknownHeaders(self.metrics, self.log)
        self.trials = LocalTrialGrants(self.suspects.quarantine, self.clock)
        self.running = RunningRequests(self.keeper.evacuation)
        self.metrics.fleet = self.keeper.metrics
        self.metrics.fleet.count_draining = self.running.in_evacuated_zones
        self.flow.apply_memory(self.settings.memory_bytes)
        self.metrics.slow_readers = self.flow.cuts
        self.metrics.retries.left.read = self._retries_left
        self.metrics.retries.fleet = self.fleet_size
        self.pool.flow = self.flow
        self.keeper.ended.on_end.append(self.pool.close_endpoint)
        self._add_overload_control()
        self.peer_reports = make_peer_reports(
            self.keeper,
            self.dispatcher,
            self.slot_waits,
            self.shares,
            lambda: self.is_isolated,
        )
        self.dispatcher.cold.rate = self.settings.cold_rate

    @property
    def is_isolated(self) -> bool:
        """Whether the entry is cut off from its peers and the platform."""
        return is_isolated(
            self.last_peer_message_at,
            self.clock.monotonic(),
            platform_unreachable=self.keeper.is_unreachable,
        )

    @property
    def is_draining(self) -> bool:
        """Whether callers should move to other entries."""
        return self.is_stopping or self.is_isolated

    @property
    def entry(self) -> EntryId:
        """Return the name of this entry."""
        return self.settings.name

    def ask_stop(self) -> None:
        """Record that the process is to stop; safe in a handler of signals.

        Its time to stop began with the first signal.
        """
        if self.stop_asked_at is None:
            self.stop_asked_at = self.clock.monotonic()
        self.is_stopping = True

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Apply changed settings; listening addresses need a restart."""
        self.settings = settings
        self.flow.apply_memory(settings.memory_bytes)
        self.keeper.read_limit.change_seconds = settings.change_seconds
        self.dispatcher.cold.rate = settings.cold_rate
        for budget in self.retry_budgets.values():
            budget.bounds = settings.retry_limit

    def retry_budget(self, service: ServiceId) -> SharedRetryBudget:
        """Return the shared retry budget of a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(
                self.settings.retry_limit,
                self.fleet_size,
                self.started_at,
            )
            self.retry_budgets[service] = budget
        return budget

    def _retries_left(self) -> dict[str, float]:
        now = self.clock.monotonic()
        return {
            service: budget.state(now).left
            for service, budget in self.retry_budgets.items()
        }

    def _add_overload_control(self) -> None:
        """Connect the queues with the shares and the admission control."""
        self.shares = EntryShares(self.keeper, self.clock, self.metrics)
        self.slot_waits = SlotWaits(self.dispatcher, self.metrics, self.log)
        self.admission = ModelAdmission(self.dispatcher, self.overload)
        self.overload.waiting = QueueView(self.slot_waits)
        policy = self.slot_waits.policy
        policy.can_be_served = self.admission.can_be_served
        policy.position = self.shares.current_position
