"""Applies the bound and the slowdown of cold endpoints to placement."""

from collections.abc import Callable, Iterable

from sycamore_core.decisions.direct import ReadRequest, is_short_request
from sycamore_core.decisions.warmup import (
    ColdCosts,
    ColdLimits,
    Slowdown,
    cold_bound,
)
from sycamore_core.ids import EndpointId, ServiceId, ZoneId
from sycamore_core.routing import (
    EndpointLifetime,
    EndpointRecord,
    EngineCosts,
    ServiceRecord,
)

from ..settings import ColdRate

#: Longest time to open a connection to a cold endpoint, in seconds. After it,
#: the requests that waited for connections would arrive together, and outside
#: the second for which they were counted.
MAX_CONNECT_SECONDS = 0.25


class ColdEndpoints:
    """Decides what may be sent to cold endpoints, and for which requests.

    Attributes
    ----------
    limits
        Requests that entries sent to cold endpoints.
    rate
        Bound that the operator sets; None if there is none.
    is_own_cell
        Returns whether endpoints of a zone belong to the own cell.
    slowdowns
        Learned slowdown of cold endpoints, by service.
    """

    def __init__(
        self,
        limits: ColdLimits,
        is_own_cell: Callable[[ZoneId], bool],
    ) -> None:
        self.limits = limits
        self.is_own_cell = is_own_cell
        self.rate: ColdRate | None = None
        self.slowdowns: dict[ServiceId, Slowdown] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether the operator sets a bound."""
        return self.rate is not None

    def is_cold(
        self,
        service: ServiceRecord,
        lifetime: EndpointLifetime,
        now: float,
    ) -> bool:
        """Return whether an endpoint is cold, and bounded."""
        is_bounded = self._bound(service) is not None
        return is_bounded and self.limits.periods.is_cold(lifetime, now)

    def has_room(
        self,
        service: ServiceRecord,
        record: EndpointRecord,
        now: float,
    ) -> bool:
        """Return whether an endpoint may be sent a request now."""
        bound = self._bound(service)
        return bound is None or self.limits.has_room(
            record.lifetime,
            bound,
            now,
            is_own_cell=self.is_own_cell(record.zone),
        )

    def seconds_to_room(
        self,
        service: ServiceRecord,
        record: EndpointRecord,
        now: float,
    ) -> float:
        """Return the time until a request may be sent, in seconds."""
        bound = self._bound(service)
        if bound is None:
            return 0
        return self.limits.seconds_to_room(
            record.lifetime,
            bound,
            now,
            is_own_cell=self.is_own_cell(record.zone),
        )

    def cold_among(
        self,
        service: ServiceRecord,
        records: Iterable[EndpointRecord],
        now: float,
    ) -> frozenset[EndpointId]:
        """Return the endpoints that are cold."""
        if self.limits.periods.is_empty:
            return frozenset()
        return frozenset(
            record.endpoint
            for record in records
            if self.is_cold(service, record.lifetime, now)
        )

    def costs(
        self,
        service: ServiceRecord,
        engine: EngineCosts,
        request: ReadRequest,
        cold: frozenset[EndpointId],
    ) -> ColdCosts:
        """Return what it costs to place a request on cold engines."""
        return ColdCosts(
            engines=cold,
            is_short=is_short_request(engine, request.prompt_tokens),
            objective_ms=request.objective_ms,
            weight=request.weight,
            factor=self.slowdown(service.service).factor,
        )

    def slowdown(self, service: ServiceId) -> Slowdown:
        """Return the slowdown of the cold endpoints of a service."""
        return self.slowdowns.setdefault(service, Slowdown())

    def _bound(self, service: ServiceRecord) -> float | None:
        """Return the requests in any second; None if there is no bound."""
        if self.rate is None or not (
            service.cold_seconds > 0 and service.cold_per_s > 0
        ):
            return None
        return cold_bound(service.cold_per_s, self.rate.over, self.rate.slack)
