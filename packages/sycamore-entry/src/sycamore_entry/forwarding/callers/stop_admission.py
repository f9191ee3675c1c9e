"""Refuses requests that a stopping entry cannot answer any more."""

from sycamore_core.decisions.direct import (
    AnswerForecast,
    StopMoment,
    with_jitter,
)

from ..calls import AdmittedRequest
from ..context import ForwardingContext
from ..placement.dispatcher import Placement
from ..placement.plain_admission import PlainAdmission
from .refusals import STOPPING_RETRY_SECONDS, Refusal, RefusalCause
from .stop_basis import StopBasis

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
        forced_at = self.context.forced_stop_at
        if forced_at is not None and forced_at <= self._now():
            raise Refusal(
                RefusalCause.STOPPING, retry_after=STOPPING_RETRY_SECONDS
            )

    def check(
        self,
        call: AdmittedRequest,
        placement: Placement,
        *,
        may_have_run: bool,
        has_begun: bool,
    ) -> None:
        """Refuse to send what is not expected to end before the process.

        Parameters
        ----------
        may_have_run
            Whether an earlier attempt may have run.
        has_begun
            Whether the caller has received a part of the answer.

        Raises
        ------
        Refusal
            If the answer would be ended by the end of the process.
        """
        basis = self.basis(call, placement)
        if basis is not None and not basis.forecast.is_sent(
            basis.moment, may_have_run=may_have_run, has_begun=has_begun
        ):
            raise self._refusal(call, basis)

    def basis(
        self, call: AdmittedRequest, placement: Placement
    ) -> StopBasis | None:
        """Return what decides about a placement; None unless it stops."""
        asked_at = self.context.stop_asked_at
        forced_at = self.context.forced_stop_at
        if asked_at is None or forced_at is None:
            return None
        request = call.request
        return StopBasis(
            StopMoment(request.read_at - asked_at, forced_at - self._now()),
            self._forecast(call, placement),
            request.is_kept,
        )

    def _refusal(self, call: AdmittedRequest, basis: StopBasis) -> Refusal:
        forecast = basis.forecast
        left = basis.moment.seconds_left
        caller_time = call.caller_time(self._now())
        refusal = Refusal(
            RefusalCause.STOPPING,
            f'answer begins in {forecast.first_seconds:.2f} s and takes'
            f' {forecast.rest_seconds:.2f} s, {left:.2f} s left',
            retry_after=with_jitter(STOPPING_RETRY_SECONDS, caller_time),
        )
        refusal.stop_basis = basis
        return refusal

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
                comes_whole=not call.route.kind.is_stream,
            )
        short_requests = self.context.dispatcher.loads.short_requests
        return AnswerForecast(
            first_seconds=placement.plan.expected_ms / _MS,
            rest_seconds=short_requests.slot_seconds,
            objective=call.route.objective,
            limit_seconds=limit_seconds,
        )

    def _now(self) -> float:
        return self.context.clock.monotonic()
