"""Refuses requests that a stopping entry cannot answer any more."""

from sycamore_core.decisions.direct import AnswerForecast, with_jitter

from ..calls import AdmittedRequest
from ..context import ForwardingContext
from ..placement.dispatcher import Placement
from ..placement.plain_admission import PlainAdmission
from .refusals import STOPPING_RETRY_SECONDS, Refusal, RefusalCause

_MS = 1000.0


class StopAdmission:
    """Decides whether a request is served although the process stops."""

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context

    def check_arrival(self) -> None:
        """Refuse a request that arrives after the forced end.

        Raises
        ------
        Refusal
            If the process ends at any moment.
        """
        if self._seconds_left() <= 0:
            raise Refusal(
                RefusalCause.STOPPING, retry_after=STOPPING_RETRY_SECONDS
            )

    def check(self, call: AdmittedRequest, placement: Placement) -> None:
        """Refuse a request whose answer is not expected before the end.

        Raises
        ------
        Refusal
            If the answer would be ended by the end of the process.
        """
        if self.context.forced_stop_at is None:
            return
        left = self._seconds_left()
        forecast = self._forecast(call, placement)
        if forecast.ends_within(left):
            return
        caller_time = call.caller_time(self._now())
        raise Refusal(
            RefusalCause.STOPPING,
            f'answer begins in {forecast.first_seconds:.2f} s and takes'
            f' {forecast.rest_seconds:.2f} s, {left:.2f} s left',
            retry_after=with_jitter(STOPPING_RETRY_SECONDS, caller_time),
        )

    def _forecast(
        self, call: AdmittedRequest, placement: Placement
    ) -> AnswerForecast:
        limit_seconds = call.deadline - self._now()
        if call.service.engine is None:
            plain = PlainAdmission(self.context, call)
            return AnswerForecast(
                first_seconds=plain.forecast(
                    placement.primary
                ).expected_seconds,
                objective=call.route.objective,
                limit_seconds=limit_seconds,
            )
        short_requests = self.context.dispatcher.loads.short_requests
        return AnswerForecast(
            first_seconds=placement.plan.expected_ms / _MS,
            rest_seconds=short_requests.slot_seconds,
            objective=call.route.objective,
            limit_seconds=limit_seconds,
        )

    def _seconds_left(self) -> float:
        forced_at = self.context.forced_stop_at
        if forced_at is None:
            return float('inf')
        return forced_at - self._now()

    def _now(self) -> float:
        return self.context.clock.monotonic()
