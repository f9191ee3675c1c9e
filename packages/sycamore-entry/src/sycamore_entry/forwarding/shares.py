"""Fair shares of workspaces: metering of attempts, exchange with peers.

Only requests to ranked services are metered. Without such a service, nothing
is reported, and all positions are 0.
"""

import contextlib
from collections.abc import Iterator

import msgspec
from sycamore_core.clock import Clock
from sycamore_core.decisions.direct import ReadPlan
from sycamore_core.decisions.shares import (
    AttemptWork,
    RunningWork,
    SlotSize,
    WorkspaceShares,
    clean_weight,
    is_valid_weight,
    largest_usages,
)
from sycamore_core.ids import PeerId, WorkspaceId
from sycamore_core.messages import CellSummary, LoadUpdate
from sycamore_core.routing import (
    EngineCosts,
    RoutingTable,
    WorkspaceRecord,
    WorkspaceUsage,
)
from sycamore_core.telemetry import Log

from .calls import AdmittedRequest
from .fleet.keeper import FleetKeeper
from .mesh.peer_report import PeerReport
from .metrics import ForwardingMetrics
from .placement.dispatcher import DirectDispatcher
from .placement.read_requests import make_read_request

#: Shortest interval between two log lines on one workspace, in seconds.
_LOG_SECONDS = 1.0
#: Shortest wait that counts as a wait for a slot, in seconds. Finding a free
#: slot at once takes some milliseconds.
_MIN_WAIT_SECONDS = 0.005
#: Number of workspaces whose usage the metrics page shows.
_METRICS_PLACES = 10
#: Workspace of the requests on public routes, which have no key.
_PUBLIC = WorkspaceId('')


class EntryShares:
    """Usage and fair shares of workspaces, as one entry knows them.

    Attributes
    ----------
    fleet
        Usage of all entries, and the shares computed from it.
    """

    def __init__(
        self,
        keeper: FleetKeeper,
        clock: Clock,
        metrics: ForwardingMetrics,
    ) -> None:
        self.keeper = keeper
        self.clock = clock
        self.fleet = WorkspaceShares()
        self.log = Log('shares')
        self._table: RoutingTable | None = None
        self._logged_at: dict[WorkspaceId, float] = {}
        metrics.engine_time.read = self.engine_time_by_place
        metrics.memory.read = self.memory_by_place

    @property
    def is_enabled(self) -> bool:
        """Whether the configuration has a ranked service."""
        table = self.keeper.table
        return table is not None and table.has_ranked_services

    def position(self, workspace: WorkspaceId | None, now: float) -> float:
        """Return the usage of a workspace divided by its fair share.

        A workspace below 1 is under its share. Requests with the lowest
        position are served first within equal rank, and those with the
        highest are refused first. While nothing waits, all positions are 0.
        """
        self.apply_table()
        return self.fleet.position(workspace or _PUBLIC, now)

    def current_position(self, workspace: WorkspaceId | None) -> float:
        """Return the position of a workspace now."""
        return self.position(workspace, self.clock.monotonic())

    def claim(self, workspace: WorkspaceId | None, now: float) -> float:
        """Return the position as if the waiting requests of this entry ran.

        It decides whose request is refused within equal rank, see
        `WorkspaceShares.claim`.
        """
        self.apply_table()
        return self.fleet.claim(workspace or _PUBLIC, now)

    def meter_attempt(
        self, call: AdmittedRequest, plan: ReadPlan
    ) -> 'AttemptUsage':
        """Return the meter of one attempt."""
        costs = call.service.engine if self._is_ranked(call) else None
        return AttemptUsage(self, call, plan, costs)

    @contextlib.contextmanager
    def count_waiting(self, call: AdmittedRequest) -> Iterator[None]:
        """Count a request as waiting for a slot, and log if it is over."""
        costs = call.service.engine
        if costs is None or not self._is_ranked(call):
            yield
            return
        workspace = call.workspace or _PUBLIC
        begun_at = self.clock.monotonic()
        request = make_read_request(call, begun_at)
        work = AttemptWork.from_request(request, costs)
        self.fleet.begin_wait(workspace, work, begun_at)
        try:
            yield
        except BaseException:
            self._end_wait(workspace, work, begun_at, is_served=False)
            raise
        self._end_wait(workspace, work, begun_at, is_served=True)

    def apply_table(self) -> None:
        """Apply the weights and the engines of a new configuration."""
        table = self.keeper.table
        if table is None or table is self._table:
            return
        self._table = table
        records = {
            record.workspace: record for record in table.workspaces.values()
        }
        self.fleet.weights = {
            workspace: self._weight_of(record)
            for workspace, record in records.items()
        }
        self.fleet.slot = _slot_of(table)

    def engine_time_by_place(self) -> dict[str, float]:
        """Return the largest engine times per second, in milliseconds."""
        return {
            str(place): usage.engine_ms_per_s
            for place, usage in enumerate(self._largest(), start=1)
        }

    def memory_by_place(self) -> dict[str, float]:
        """Return the memory of the same workspaces, in tokens."""
        return {
            str(place): usage.memory_tokens
            for place, usage in enumerate(self._largest(), start=1)
        }

    def _largest(self) -> list[WorkspaceUsage]:
        self.fleet.refresh_if_due(self.clock.monotonic())
        return largest_usages(self.fleet.usages(), _METRICS_PLACES)

    def _is_ranked(self, call: AdmittedRequest) -> bool:
        table = self.keeper.table
        return table is not None and table.is_ranked(call.service.service)

    def _end_wait(
        self,
        workspace: WorkspaceId,
        work: AttemptWork,
        begun_at: float,
        *,
        is_served: bool,
    ) -> None:
        now = self.clock.monotonic()
        if now - begun_at >= _MIN_WAIT_SECONDS:
            self._log_over_share(workspace)
        self.fleet.end_wait(workspace, work, now, is_served=is_served)

    def _weight_of(self, record: WorkspaceRecord) -> float:
        """Return the weight of a workspace; log it if it is invalid."""
        if not is_valid_weight(record.weight):
            self.log.warning(
                'workspace_weight_invalid',
                workspace=record.workspace,
                weight=repr(record.weight),
            )
        return clean_weight(record.weight)

    def _log_over_share(self, workspace: WorkspaceId) -> None:
        """Log at most once a second that a waiting workspace is over."""
        now = self.clock.monotonic()
        position = self.position(workspace, now)
        self._logged_at = {
            name: at
            for name, at in self._logged_at.items()
            if now - at < _LOG_SECONDS
        }
        if position <= 1 or workspace in self._logged_at:
            return
        self._logged_at[workspace] = now
        usage = self.fleet.usage(workspace, now)
        self.log.info(
            'workspace_over_share',
            workspace=workspace,
            position=round(position, 2),
            engine_ms_per_s=round(usage.engine_ms_per_s),
            memory_tokens=usage.memory_tokens,
            waiting=usage.waiting,
            weight=self.fleet.weight(workspace),
        )


class AttemptUsage:
    """Charges the workspace of one attempt for what the attempt uses.

    Parameters
    ----------
    costs
        Cost model of the engines; None if the attempt is not charged.
    """

    def __init__(
        self,
        shares: EntryShares,
        call: AdmittedRequest,
        plan: ReadPlan,
        costs: EngineCosts | None,
    ) -> None:
        self.shares = shares
        self.call = call
        self.plan = plan
        self.costs = costs
        self._running: RunningWork | None = None

    @contextlib.contextmanager
    def metered(self, *, is_resumed: bool = False) -> Iterator[None]:
        """Meter the attempt while the block runs.

        Parameters
        ----------
        is_resumed
            Whether its prompt was read and charged before.
        """
        self.begin(is_resumed=is_resumed)
        try:
            yield
        finally:
            self.end()

    def begin(self, *, is_resumed: bool = False) -> None:
        """Record that the attempt begins or is resumed."""
        if self.costs is None:
            return
        now = self.shares.clock.monotonic()
        request = make_read_request(self.call, now)
        work = AttemptWork.from_request(
            request, self.costs, self.plan.expected_ms
        )
        if is_resumed:
            work = msgspec.structs.replace(work, read_ms=0)
        workspace = self.call.workspace or _PUBLIC
        self._running = self.shares.fleet.begin(workspace, work, now)

    def record_first_event(self) -> None:
        """Record that the prompt has been read."""
        if self._running is not None:
            self._running.record_first_event(self.shares.clock.monotonic())

    def end(self) -> None:
        """Record that the attempt has ended."""
        if self._running is not None:
            self._running.end(self.shares.clock.monotonic())
            self._running = None


class UsageReport(PeerReport):
    """Exchanges the usage of workspaces with other entries.

    Entries of the own cell report their own usage, and other cells report
    their sum.
    """

    def __init__(
        self, shares: EntryShares, dispatcher: DirectDispatcher
    ) -> None:
        self.shares = shares
        self.dispatcher = dispatcher

    def add_to_update(self, update: LoadUpdate, now: float) -> LoadUpdate:
        """Add the usage through this entry to a full update."""
        if not update.is_full or not self.shares.is_enabled:
            return update
        self._refresh(now)
        usage = self.shares.fleet.own_report(now)
        return msgspec.structs.replace(update, usage=usage)

    def add_to_summary(
        self,
        summary: CellSummary,
        receiver: PeerId,
        now: float,
    ) -> CellSummary:
        """Add the usage through the own cell to a summary."""
        if not self.shares.is_enabled:
            return summary
        usage = self.shares.fleet.cell_report(now)
        return msgspec.structs.replace(summary, usage=usage)

    def apply(
        self,
        source: PeerId,
        message: LoadUpdate | CellSummary,
        now: float,
    ) -> None:
        """Replace the usage that an entry or a cell has reported."""
        if not self.shares.is_enabled:
            return
        fleet = self.shares.fleet
        if isinstance(message, CellSummary):
            fleet.cells.apply(source, message.usage, now)
        elif message.is_full and self.dispatcher.cells.owns(message.zone):
            # An entry of another cell is part of the summary of its cell.
            fleet.peers.apply(source, message.usage, now)
        self._refresh(now)

    def remove_peer(self, peer: PeerId) -> None:
        """Drop the usage of a peer that is lost."""
        self.shares.fleet.peers.remove(peer)

    def _refresh(self, now: float) -> None:
        self.shares.apply_table()
        self.shares.fleet.refresh_if_due(now)


def _slot_of(table: RoutingTable) -> SlotSize:
    """Return the size of the slots of the first ranked service."""
    for service in table.services.values():
        if service.engine is not None and table.is_ranked(service.service):
            return SlotSize.from_costs(service.engine)
    return SlotSize()
