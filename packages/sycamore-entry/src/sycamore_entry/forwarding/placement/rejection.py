"""Refusals of requests that cannot be placed or are not worth placing."""

from collections.abc import Iterable, Set
from typing import Final

from sycamore_core.decisions.direct import (
    CallerTime,
    after_backoff,
    after_full,
    after_limit,
    after_overload,
    after_start,
    is_worth_reading,
)
from sycamore_core.decisions.overload import (
    AdmissionForecast,
    CapacityOutlook,
    ReturnKey,
)
from sycamore_core.ids import EndpointId

from ..callers.refusals import Refusal, RefusalBasis, RefusalCause
from ..calls import AdmittedRequest
from ..context import ForwardingContext
from .candidates import Wait
from .dispatcher import Placement
from .read_requests import make_read_request

#: Refusals whose callers return when a slot is expected to be free.
_SLOT_CAUSES: Final = frozenset(
    (
        RefusalCause.OVERLOADED,
        RefusalCause.CANNOT_MEET_LIMIT,
        RefusalCause.DISPLACED,
    ),
)


class RejectionPolicy:
    """Decides whether one request is refused, and with which retry time."""

    def __init__(
        self,
        context: ForwardingContext,
        call: AdmittedRequest,
    ) -> None:
        self.context = context
        self.call = call

    def check_interference(
        self,
        placement: Placement,
        excluded: Set[EndpointId],
    ) -> None:
        """Refuse a prompt that delays other requests by more than its value.

        The value is the weight, and less if the answer is late. The check is
        skipped once an endpoint is ruled out: the prompt was sent there, and
        the work of reading it would be lost.
        """
        costs = self.call.service.engine
        if costs is None or excluded:
            return
        now = self._now()
        request = make_read_request(self.call, now)
        plan = placement.plan
        read_ms = costs.read_ms(request.prompt_tokens)
        if is_worth_reading(plan, request, read_ms):
            return
        raise Refusal(
            RefusalCause.INTERFERENCE,
            f'harm {plan.interference:.1f},'
            f' weight {request.weight:.1f},'
            f' expected {plan.expected_ms:.0f} ms',
            retry_after=after_overload(self.call.caller_time(now)),
        )

    def build_refusal(self, excluded: Set[EndpointId]) -> Refusal:
        """Return the refusal of the request by the present state."""
        caller_time = self.call.caller_time(self._now())
        if not self._usable_endpoints():
            return self._refusal_without_endpoints(caller_time)
        wait = self._shortest_wait(())
        if wait.is_backoff:
            return Refusal(
                RefusalCause.ENDPOINTS_BACKING_OFF,
                f'all endpoints are backing off for {wait.seconds:.2f} s',
                retry_after=after_backoff(wait.seconds, caller_time),
            )
        if not self._has_permitted(excluded):
            return Refusal.from_endpoint(caller_time)
        wait = self._shortest_wait(excluded)
        if wait.seconds:
            return self._refusal_by_rate(wait, caller_time)
        short_requests = self.context.dispatcher.loads.short_requests
        return Refusal(
            self._full_cause(excluded),
            f'no free slot at {len(self._usable_endpoints())} endpoints',
            retry_after=after_full(short_requests.slot_seconds, caller_time),
        )

    def schedule_return(
        self,
        refusal: Refusal,
        excluded: Set[EndpointId],
    ) -> None:
        """Set when the caller of a refused request returns.

        Called once for each refusal, since the schedule advances by a slot.
        Services that are not ranked keep the time that the refusal has.
        """
        admission = self.context.admission
        service = self.call.service
        if refusal.cause not in _SLOT_CAUSES or not admission.is_active(
            service
        ):
            return
        forecast = admission.forecast(self.call, excluded)
        now = self._now()
        refusal.basis = self._basis(forecast, now)
        refusal.retry_after = self.context.overload.returns.assign(
            ReturnKey(service.service, self.call.rank),
            CapacityOutlook(
                first_seconds=forecast.expected_seconds,
                slots_per_s=forecast.supply.freed_per_s,
                entries=self.context.entry_count,
            ),
            self.call.caller_time(now),
            now,
        )

    def _refusal_by_rate(self, wait: Wait, caller_time: CallerTime) -> Refusal:
        if wait.is_cold:
            # The request may wait: there is room again in a moment.
            cause = RefusalCause.OVERLOADED
            detail = 'all endpoints are cold or at their limit'
        else:
            cause = RefusalCause.RATE_LIMITED
            detail = 'all endpoints are at their limit'
        return Refusal(
            cause,
            f'{detail} for {wait.seconds:.2f} s',
            retry_after=after_limit(wait.seconds, caller_time),
        )

    def _refusal_without_endpoints(self, caller_time: CallerTime) -> Refusal:
        candidates = self.context.dispatcher.candidates
        call = self.call
        if candidates.allowed(call.service, call.allowed_zones):
            # The end of an evacuation is unknown, and far off.
            return Refusal(
                RefusalCause.EVACUATED,
                'all zones that may run the request are evacuated',
                retry_after=after_overload(caller_time),
            )
        return Refusal(
            RefusalCause.NO_ENDPOINT,
            retry_after=after_start(0, caller_time),
        )

    def _full_cause(self, excluded: Set[EndpointId]) -> RefusalCause:
        """Return whether a request lacks a slot now, or in all its time."""
        admission = self.context.admission
        if not admission.is_active(self.call.service):
            return RefusalCause.OVERLOADED
        forecast = admission.forecast(self.call, excluded)
        if forecast.can_be_served(admission.need(self.call)):
            return RefusalCause.OVERLOADED
        return RefusalCause.CANNOT_MEET_LIMIT

    def _basis(self, forecast: AdmissionForecast, now: float) -> RefusalBasis:
        loads = self.context.dispatcher.loads
        ages = [
            loads.report_age(endpoint, now)
            for endpoint in self._usable_endpoints()
        ]
        return RefusalBasis(
            rank=self.call.rank,
            expected_seconds=forecast.expected_seconds,
            waiting_before=forecast.waiting_before,
            free_slots=forecast.supply.free,
            report_age=max(
                (age for age in ages if age is not None), default=None
            ),
        )

    def _has_permitted(self, excluded: Iterable[EndpointId]) -> bool:
        """Return whether there are endpoints that are not excluded."""
        return bool(self._usable_endpoints().difference(excluded))

    def _usable_endpoints(self) -> set[EndpointId]:
        candidates = self.context.dispatcher.candidates
        call = self.call
        usable = candidates.in_use(call.service, call.allowed_zones)
        return {record.endpoint for record in usable}

    def _shortest_wait(self, excluded: Iterable[EndpointId]) -> Wait:
        candidates = self.context.dispatcher.candidates
        call = self.call
        return candidates.shortest_wait(
            call.service, excluded, self._now(), call.allowed_zones
        )

    def _now(self) -> float:
        return self.context.clock.monotonic()
