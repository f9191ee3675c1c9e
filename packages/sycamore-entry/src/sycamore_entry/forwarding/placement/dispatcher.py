"""Chooses endpoints for requests and keeps count of what is where."""

import asyncio
from collections.abc import Iterable

import msgspec
from sycamore_core.clock import Clock
from sycamore_core.decisions.direct import (
    AskedRests,
    Assignment,
    CellView,
    FailureBook,
    KnownEngine,
    LoadBook,
    RateLimits,
    ReadPlan,
    ReadRequest,
    choose_plain,
    is_turn,
    plan_in_cells,
)
from sycamore_core.hashes import stable_part
from sycamore_core.ids import EndpointId, EntryId, RequestId, ZoneId
from sycamore_core.routing import (
    EndpointRecord,
    EngineCosts,
    ServiceRecord,
)

from ..fleet.keeper import FleetKeeper
from .candidates import Candidates

#: Cost of an endpoint that failed lately, in broken promises: others are
#: taken as long as any of them keeps its promises.
_FAILED_COST = 3.0
#: Calls by which a replica that failed lately seems busier than it is.
_FAILED_CALLS = 6.0


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request is sent.

    Attributes
    ----------
    plan
        What was planned; of a plain service, its home alone.
    home
        Endpoint that gets the request.
    helpers
        Engines that read parts of the prompt.
    """

    plan: ReadPlan
    home: EndpointRecord
    helpers: tuple[EndpointRecord, ...] = ()


class DirectDispatcher:
    """Places requests on endpoints.

    Attributes
    ----------
    book
        What is in progress where.
    cells
        Which engines are weighed first.
    failures
        Which endpoints fail.
    limits
        Which endpoints name a limit.
    rests
        Which endpoints have asked this entry for rest.
    candidates
        Which endpoints may be given a request.
    has_sent
        Set when a request has been sent; whoever tells others of it clears it.
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
        self.book = LoadBook()
        self.cells = CellView(zone=zone)
        self.failures = FailureBook()
        self.limits = RateLimits(entry)
        self.rests = AskedRests()
        self.candidates = Candidates(keeper, self.limits, self.rests)
        self.has_sent = asyncio.Event()
        self._ties: dict[EndpointId, float] = {}

    def place_model(
        self,
        service: ServiceRecord,
        costs: EngineCosts,
        request: ReadRequest,
        excluded: Iterable[EndpointId],
    ) -> Placement | None:
        """Return where a prompt is read; None if no engine has a slot."""
        now = self.clock.monotonic()
        records = self.candidates.taking(service, excluded, now)
        if not is_turn(costs, request.prompt_tokens):
            records = self.candidates.without_limit(records, now)
        plan = plan_in_cells(
            request,
            [self._known(record, now) for record in records.values()],
            self.cells,
            self.book,
            costs,
            now,
        )
        if plan is None:
            return None
        return Placement(
            plan=plan,
            home=records[plan.home],
            helpers=tuple(records[name] for name in plan.helpers),
        )

    def place_plain(
        self,
        service: ServiceRecord,
        excluded: Iterable[EndpointId],
    ) -> Placement | None:
        """Return the replica for a call; None if there is none."""
        now = self.clock.monotonic()
        records = self.candidates.taking(service, excluded, now)
        chosen = choose_plain(
            tuple(records.values()),
            lambda name: self._calls(name, now),
        )
        if chosen is None:
            return None
        return Placement(plan=ReadPlan(home=chosen.endpoint), home=chosen)

    def begin(
        self,
        request_id: RequestId,
        assignments: dict[EndpointId, Assignment],
    ) -> None:
        """Note that a request was sent."""
        self.book.begin(request_id, assignments, self.clock.monotonic())
        self.has_sent.set()

    def first_event(self, request_id: RequestId, placed: Placement) -> None:
        """Note that a prompt has been read."""
        self.book.first_token(request_id, placed.plan.members)

    def end(self, request_id: RequestId, placed: Placement) -> None:
        """Note that an attempt is over."""
        self.book.end(request_id, placed.plan.members)

    def request_sent(self, placed: Placement) -> None:
        """Note a request to endpoints that may have named a limit, or rest."""
        now = self.clock.monotonic()
        for record in (placed.home, *placed.helpers):
            self.limits.sent(record.lifetime, now)
            self.rests.sent(record.lifetime, now)

    def order_sent(self, record: EndpointRecord) -> None:
        """Note an order to an endpoint, which arrives like a request."""
        self.limits.sent(record.lifetime, self.clock.monotonic())

    def sent_something(self, endpoint: EndpointId) -> None:
        """Note a sign of life of an endpoint."""
        self.failures.sent_something(endpoint, self.clock.monotonic())

    def turn_came(self, costs: EngineCosts, prompt_tokens: int) -> None:
        """Note the arrival of a request, which may be a short turn."""
        if is_turn(costs, prompt_tokens):
            self.book.turns.arrived(self.clock.monotonic())

    def turn_ended(self, seconds: float) -> None:
        """Note for how long a short turn held its slot."""
        self.book.turns.ended(seconds)

    def failed(self, endpoint: EndpointId) -> None:
        """Note that an attempt at an endpoint broke."""
        self.failures.failed(endpoint, self.clock.monotonic())
        # Peers are told with what has changed there.
        self.book.changed.add(endpoint)

    def tell_at_once(self, endpoint: EndpointId) -> None:
        """Have peers told now what this entry has at an endpoint."""
        self.book.changed.add(endpoint)
        self.has_sent.set()

    def endpoint_at(self, address: str) -> EndpointId | None:
        """Return the endpoint that has an address, if one is registered."""
        for record in self.keeper.directory.records.values():
            if record.address == address:
                return record.endpoint
        return None

    def _known(self, record: EndpointRecord, now: float) -> KnownEngine:
        endpoint = record.endpoint
        is_resting = self.failures.is_resting(endpoint, now)
        return KnownEngine(
            endpoint=endpoint,
            zone=record.zone,
            penalty=_FAILED_COST if is_resting else 0,
            tie=self._tie(endpoint),
        )

    def _calls(self, endpoint: EndpointId, now: float) -> float:
        calls = self.book.load(endpoint, now).requests + self._tie(endpoint)
        is_resting = self.failures.is_resting(endpoint, now)
        return calls + _FAILED_CALLS if is_resting else calls

    def _tie(self, endpoint: EndpointId) -> float:
        known = self._ties.get(endpoint)
        if known is None:
            known = stable_part(f'{self.entry} {endpoint}')
            self._ties[endpoint] = known
        return known
