"""Refuses plain calls that no replica can answer in time.

It applies if the routing table has a ranked service; see `is_active`.
"""

import msgspec
from sycamore_core.decisions.overload import (
    CapacityOutlook,
    EndpointSlots,
    PlainForecast,
    PlainTimes,
    ReturnKey,
)
from sycamore_core.routing import EndpointRecord

from ..callers.refusals import Refusal, RefusalBasis, RefusalCause
from ..calls import AdmittedRequest
from ..context import ForwardingContext
from .dispatcher import Placement

#: Part of its time that a refused caller has left when it returns.
_RETURN_TIME_FRACTION = 2 / 3


class PlainTiming(msgspec.Struct, frozen=True):
    """Measures one call.

    Attributes
    ----------
    replica
        The replica when the call was sent, without the call.
    sent_at
        Time at which the call was sent, on the monotonic clock.
    """

    times: PlainTimes
    replica: EndpointSlots
    sent_at: float

    def end(self, now: float) -> None:
        """Record that the call was answered."""
        self.times.record(now - self.sent_at, self.replica)


class PlainAdmission:
    """Decides whether a plain call is sent.

    Parameters
    ----------
    call
        Request of any service; all methods accept model requests as well.
    """

    def __init__(
        self,
        context: ForwardingContext,
        call: AdmittedRequest,
    ) -> None:
        self.context = context
        self.call = call

    @property
    def is_active(self) -> bool:
        """Whether admission control applies to the call."""
        if self.call.service.engine is not None:
            return False
        table = self.context.keeper.table
        return table is not None and table.has_ranked_services

    def check(self, placement: Placement) -> None:
        """Refuse a call that its replica is not expected to answer in time.

        Raises
        ------
        Refusal
            If the answer is expected after the time that the call has.
        """
        if not self.is_active:
            return
        forecast = self.forecast(placement.primary)
        usable = self._usable_seconds(forecast)
        if forecast.can_be_answered(usable):
            return
        refusal = Refusal(
            RefusalCause.PLAIN_FULL,
            f'answer expected in {forecast.expected_seconds:.2f} s,'
            f' {usable:.2f} s left',
            retry_after=self._return_seconds(forecast, usable),
        )
        refusal.basis = self._basis(forecast, placement)
        raise refusal

    def measure(self, placement: Placement) -> PlainTiming | None:
        """Return a measurement that begins now; None for other requests."""
        if not self.is_active:
            return None
        times = self._times()
        return PlainTiming(times, self._slots(placement.primary), self._now())

    def forecast(self, replica: EndpointRecord) -> PlainForecast:
        """Return the forecast for the call at a replica."""
        return PlainForecast(
            replica=self._slots(replica),
            call_seconds=self._times().call_seconds,
        )

    def _usable_seconds(self, forecast: PlainForecast) -> float:
        """Return the time within which the call must be answered.

        A call that is less urgent than others leaves the time of one call, so
        that it is refused first. Replicas do not report the ranks of calls.
        """
        bounds = self.context.overload.time_bounds
        table = self.context.keeper.table
        usable = bounds.usable_seconds(table, self.call, self._now())
        if bounds.urgent_limit(table, self.call) is None:
            return usable
        return usable - forecast.call_seconds

    def _return_seconds(self, forecast: PlainForecast, usable: float) -> float:
        now = self._now()
        service = self.call.service.service
        replicas = self.context.keeper.directory.usable(service)
        slots = sum(record.slots for record in replicas)
        return self.context.overload.returns.assign(
            ReturnKey(service, self.call.rank),
            CapacityOutlook(
                first_seconds=forecast.seconds_until_answerable(
                    usable * _RETURN_TIME_FRACTION
                ),
                slots_per_s=slots / forecast.call_seconds,
                entries=self.context.entry_count,
            ),
            self.call.caller_time(now),
            now,
        )

    def _basis(
        self, forecast: PlainForecast, placement: Placement
    ) -> RefusalBasis:
        loads = self.context.dispatcher.loads
        return RefusalBasis(
            rank=self.call.rank,
            expected_seconds=forecast.expected_seconds,
            waiting_before=forecast.waiting_before,
            free_slots=0,
            report_age=loads.report_age(
                placement.primary.endpoint, self._now()
            ),
        )

    def _slots(self, replica: EndpointRecord) -> EndpointSlots:
        loads = self.context.dispatcher.loads
        load = loads.load(replica.endpoint, self._now())
        return EndpointSlots(replica.slots, load.requests)

    def _times(self) -> PlainTimes:
        return self.context.overload.plain_times[self.call.service.service]

    def _now(self) -> float:
        return self.context.clock.monotonic()
