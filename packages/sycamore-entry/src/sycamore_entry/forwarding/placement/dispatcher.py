"""Chooses endpoints for requests and tracks the load of each endpoint."""

import asyncio
from collections.abc import Iterable

import msgspec
from sycamore_core.clock import Clock
from sycamore_core.decisions.direct import (
    Assignment,
    CellView,
    FailureTracker,
    KnownEngine,
    LoadRegistry,
    RateLimits,
    ReadPlan,
    ReadRequest,
    RequestedBackoffs,
    choose_plain,
    is_short_request,
)
from sycamore_core.decisions.pace import EngineSlowdowns
from sycamore_core.decisions.warmup import ColdLimits
from sycamore_core.hashes import stable_fraction
from sycamore_core.ids import EndpointId, EntryId, RequestId, ZoneId
from sycamore_core.routing import (
    EndpointRecord,
    EngineCosts,
    ServiceRecord,
)

from ..fleet.keeper import FleetKeeper
from .candidates import AllowedZones, Candidates
from .cold_endpoints import ColdEndpoints
from .engine_plans import EnginePlans

#: Cost of an endpoint that failed recently, in missed objectives: other
#: endpoints are preferred as long as one of them meets its objectives.
_FAILURE_PENALTY = 3.0
#: Calls that are added to the load of a replica that failed recently.
_FAILURE_EXTRA_CALLS = 6.0


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """The endpoints that a request is sent to.

    Attributes
    ----------
    plan
        Plan for reading the prompt; for a plain service it names only the
        endpoint.
    primary
        Primary endpoint, which serves the request.
    helpers
        Engines that read parts of the prompt.
    is_cold
        Whether one of the engines is cold.
    """

    plan: ReadPlan
    primary: EndpointRecord
    helpers: tuple[EndpointRecord, ...] = ()
    is_cold: bool = False

    @property
    def zones(self) -> frozenset[ZoneId]:
        """Return the zones of all endpoints."""
        return frozenset(one.zone for one in (self.primary, *self.helpers))


class DirectDispatcher:
    """Places requests on endpoints.

    Attributes
    ----------
    loads
        Load of each endpoint: work of this entry and reports of its peers.
    cells
        Engines that are considered first.
    cold
        Bound and slowdown of cold endpoints.
    failures
        Recent failures of endpoints.
    limits
        Rate limits that endpoints set.
    backoffs
        Backoffs that endpoints requested from this entry.
    slowdowns
        Engines that are slower than published.
    candidates
        Endpoints that may be sent a request.
    has_unsent_load
        Set when a request has been sent. The sender of load updates clears
        it.
    """

    def __init__(
        self,
        entry: EntryId,
        zone: ZoneId,
        keeper: FleetKeeper,
        clock: Clock,
    ) -> None:
        self.entry = entry
        self.keeper = keeper
        self.clock = clock
        self.loads = LoadRegistry()
        self.limits = RateLimits(entry)
        self.cells = CellView(zone=zone)
        self.cold = ColdEndpoints(
            ColdLimits(entry, self.limits.sends, keeper.cold.periods),
            is_own_cell=lambda zone: self.cells.owns(zone),
        )
        self.failures = FailureTracker()
        self.backoffs = RequestedBackoffs()
        self.slowdowns = EngineSlowdowns()
        self.candidates = Candidates(
            keeper, self.limits, self.backoffs, self.cold
        )
        self.has_unsent_load = asyncio.Event()
        self._tie_breakers: dict[EndpointId, float] = {}

    def place_model(
        self,
        service: ServiceRecord,
        costs: EngineCosts,
        request: ReadRequest,
        excluded: Iterable[EndpointId],
        zones: AllowedZones = None,
    ) -> Placement | None:
        """Return the engines for a prompt; None if no engine has a slot."""
        now = self.clock.monotonic()
        records = self.candidates.accepting(service, excluded, now, zones)
        if not is_short_request(costs, request.prompt_tokens):
            records = self.candidates.prefer_unlimited(records, now)
        cold = self.cold.cold_among(service, records.values(), now)
        plans = EnginePlans(
            request=request,
            engines=[
                self._known_engine(record, now) for record in records.values()
            ],
            terms=self.cold.costs(service, costs, request, cold),
            cells=self.cells,
            loads=self.loads,
            costs=costs,
            now=now,
        )
        plan = plans.best()
        if plan is None:
            return None
        return Placement(
            plan=plan,
            primary=records[plan.primary],
            helpers=tuple(records[name] for name in plan.helpers),
            is_cold=not cold.isdisjoint(plan.members),
        )

    def place_plain(
        self,
        service: ServiceRecord,
        excluded: Iterable[EndpointId],
        zones: AllowedZones = None,
    ) -> Placement | None:
        """Return the replica for a request; None if no replica accepts it."""
        now = self.clock.monotonic()
        records = self.candidates.accepting(service, excluded, now, zones)
        cold = self.cold.cold_among(service, records.values(), now)
        # A cold replica is used once the others have no free slot.
        extra_calls = {
            name: record.slots if name in cold else 0
            for name, record in records.items()
        }
        chosen = choose_plain(
            tuple(records.values()),
            lambda name: self._call_count(name, now) + extra_calls[name],
        )
        if chosen is None:
            return None
        return Placement(plan=ReadPlan(primary=chosen.endpoint), primary=chosen)

    def begin(
        self,
        request_id: RequestId,
        assignments: dict[EndpointId, Assignment],
    ) -> None:
        """Record that a request was sent."""
        self.loads.begin(request_id, assignments, self.clock.monotonic())
        self.has_unsent_load.set()

    def first_event(
        self,
        request_id: RequestId,
        placed: Placement,
        seconds: float,
    ) -> None:
        """Record that the prompt of a request has been read.

        Parameters
        ----------
        seconds
            Time since the request was sent.
        """
        self.loads.record_first_token(request_id, placed.plan.members)
        if placed.is_cold:
            slowdown = self.cold.slowdown(placed.primary.service)
            forecast_ms = placed.plan.expected_ms / slowdown.factor
            slowdown.record(forecast_ms, seconds)

    def end(self, request_id: RequestId, placed: Placement) -> None:
        """Record that an attempt has ended."""
        self.loads.end(request_id, placed.plan.members)

    def record_request(self, placed: Placement) -> None:
        """Count a request towards rate limits and requested backoffs."""
        now = self.clock.monotonic()
        for record in (placed.primary, *placed.helpers):
            self.limits.sent(record.lifetime, now)
            self.backoffs.record_send(record.lifetime, now)

    def record_order(self, record: EndpointRecord) -> None:
        """Count an order towards the rate limit, like a request."""
        now = self.clock.monotonic()
        self.limits.sent(record.lifetime, now)
        if self.cold.limits.periods.is_cold(record.lifetime, now):
            self.send_update_now(record.endpoint)

    def record_activity(self, endpoint: EndpointId) -> None:
        """Record that an endpoint has sent an event, so it is alive."""
        self.failures.record_activity(endpoint, self.clock.monotonic())

    def record_interval(
        self,
        record: EndpointRecord,
        costs: EngineCosts,
        interval_ms: float,
    ) -> None:
        """Record the interval between two events of a stream."""
        now = self.clock.monotonic()
        load = self.loads.load(record.endpoint, now)
        pass_ms = costs.pass_ms(load.writers, load.context_tokens)
        self.slowdowns.record_interval(
            record.lifetime,
            interval_ms,
            pass_ms + load.unread_ms,
            now,
        )

    def record_arrival(self, costs: EngineCosts, prompt_tokens: int) -> None:
        """Record the arrival of a request, if its prompt is short."""
        if is_short_request(costs, prompt_tokens):
            self.loads.short_requests.record_arrival(self.clock.monotonic())

    def record_short_request(self, seconds: float) -> None:
        """Record the residence time of a short request, in seconds."""
        self.loads.short_requests.record_end(seconds)

    def record_failure(self, endpoint: EndpointId) -> None:
        """Record that an attempt at an endpoint failed."""
        self.failures.record_failure(endpoint, self.clock.monotonic())
        # The next load update reports the failure to the peers.
        self.loads.changed.add(endpoint)

    def send_update_now(self, endpoint: EndpointId) -> None:
        """Send the peers an update on an endpoint without delay."""
        self.loads.changed.add(endpoint)
        self.has_unsent_load.set()

    def endpoint_at(self, address: str) -> EndpointId | None:
        """Return the endpoint at an address; None if none is registered."""
        for record in self.keeper.directory.records.values():
            if record.address == address:
                return record.endpoint
        return None

    def _known_engine(self, record: EndpointRecord, now: float) -> KnownEngine:
        endpoint = record.endpoint
        has_failed = self.failures.is_backing_off(endpoint, now)
        slowdown = 1.0
        if not self.slowdowns.is_empty:
            slowdown = self.slowdowns.slowdown(record.lifetime, now)
        return KnownEngine(
            endpoint=endpoint,
            zone=record.zone,
            penalty=_FAILURE_PENALTY if has_failed else 0,
            tie_break=self._tie_breaker(endpoint),
            slowdown=slowdown,
        )

    def _call_count(self, endpoint: EndpointId, now: float) -> float:
        calls = self.loads.load(endpoint, now).requests + self._tie_breaker(
            endpoint
        )
        has_failed = self.failures.is_backing_off(endpoint, now)
        return calls + _FAILURE_EXTRA_CALLS if has_failed else calls

    def _tie_breaker(self, endpoint: EndpointId) -> float:
        tie_breaker = self._tie_breakers.get(endpoint)
        if tie_breaker is None:
            tie_breaker = stable_fraction(f'{self.entry} {endpoint}')
            self._tie_breakers[endpoint] = tie_breaker
        return tie_breaker
