"""Forecasts for the requests of a ranked model service."""

from collections.abc import Iterable, Set

import msgspec
from sycamore_core.decisions.overload import (
    REPORT_DELAY_SECONDS,
    AdmissionForecast,
    EndpointSlots,
    RequestNeed,
    SlotSupply,
    count_before,
    count_waiting,
    is_fleet_full,
)
from sycamore_core.ids import EndpointId, ServiceId
from sycamore_core.routing import ServiceRecord

from ..calls import AdmittedRequest
from .dispatcher import DirectDispatcher
from .overload_state import OverloadState

#: Time for which a count of free slots is used, in seconds. Reports of peers
#: are as old, and a count over 54 engines takes a third of a millisecond.
_SUPPLY_SECONDS = REPORT_DELAY_SECONDS
_NO_ENDPOINTS: frozenset[EndpointId] = frozenset()


class _CountedSupply(msgspec.Struct, frozen=True):
    """A count of free slots and its time on the monotonic clock."""

    supply: SlotSupply
    counted_at: float


class ModelAdmission:
    """Decides whether requests can be served within their time limits.

    It is used for ranked services only, see `is_active`.
    """

    def __init__(
        self,
        dispatcher: DirectDispatcher,
        state: OverloadState,
    ) -> None:
        self.dispatcher = dispatcher
        self.state = state
        self._counted: dict[ServiceId, _CountedSupply] = {}

    def is_active(self, service: ServiceRecord) -> bool:
        """Return whether admission control applies to a service."""
        table = self.dispatcher.keeper.table
        return table is not None and table.is_ranked(service.service)

    def can_be_served(self, call: AdmittedRequest) -> bool:
        """Return whether a request can still be served in its time."""
        return self.forecast(call).can_be_served(self.need(call))

    def forecast(
        self,
        call: AdmittedRequest,
        excluded: Set[EndpointId] = _NO_ENDPOINTS,
    ) -> AdmissionForecast:
        """Return the forecast for a request that has no slot.

        Parameters
        ----------
        excluded
            Endpoints that the request must not use.
        """
        reports = self.state.waiting.reports(call.service.service)
        return AdmissionForecast(
            supply=self.supply(call.service, excluded),
            waiting_before=count_before(call.rank, reports),
        )

    def need(self, call: AdmittedRequest) -> RequestNeed:
        """Return the time that a request has and needs."""
        table = self.dispatcher.keeper.table
        bounds = self.state.time_bounds
        return RequestNeed(
            seconds_left=bounds.usable_seconds(table, call, self._now()),
            service_seconds=self._slot_seconds(),
        )

    def supply(
        self,
        service: ServiceRecord,
        excluded: Set[EndpointId] = _NO_ENDPOINTS,
    ) -> SlotSupply:
        """Return the slots of the engines in zones that are in use.

        Engines at a rate limit or a cold bound count: they accept requests
        again within a second, and a request may wait for that.
        """
        now = self._now()
        counted = self._counted.get(service.service)
        if excluded:
            return self._count_slots(service, excluded, now)
        if counted is None or now - counted.counted_at > _SUPPLY_SECONDS:
            supply = self._count_slots(service, excluded, now)
            counted = _CountedSupply(supply, now)
            self._counted[service.service] = counted
        return counted.supply

    def is_full(self, service: ServiceRecord) -> bool:
        """Return whether the service has more requests than slots."""
        loads = self.dispatcher.loads
        return is_fleet_full(
            self.supply(service),
            count_waiting(self.state.waiting.reports(service.service)),
            loads.predicted_demand(self._now(), everywhere=True),
        )

    def _count_slots(
        self,
        service: ServiceRecord,
        excluded: Iterable[EndpointId],
        now: float,
    ) -> SlotSupply:
        loads = self.dispatcher.loads
        in_use = self.dispatcher.candidates.in_use(service)
        names = {record.endpoint for record in in_use}.difference(excluded)
        slots = 0 if service.engine is None else service.engine.slots
        return SlotSupply.from_endpoints(
            (
                EndpointSlots(slots, loads.load(name, now).requests)
                for name in names
            ),
            self._slot_seconds(),
        )

    def _slot_seconds(self) -> float:
        return self.dispatcher.loads.short_requests.slot_seconds

    def _now(self) -> float:
        return self.dispatcher.clock.monotonic()
