"""Execution state of a request, and whether it may be attempted again.

An attempt can fail in a way that leaves unknown whether the request ran.
Reporting "not run", or running a non-idempotent request again, would then
break the at-most-once guarantee. Each step of an exchange therefore records
its result here, and only this module decides whether another attempt is
allowed.
"""

from sycamore_core.decisions import Refusal, Requeued
from sycamore_core.ids import Attempt, EndpointId
from sycamore_core.messages import Cancel, Declined
from sycamore_core.states import (
    CancelReason,
    Execution,
    RefusalReason,
    RetryReason,
)

from ..errors import RefusedError
from ..fleet import EndpointLink
from .call import CallerRequest
from .context import EntryContext
from .telemetry import ExchangeTelemetry

_RETRY_AFTER_SECONDS = 1.0
#: Detail of the error for a request that is open at the end of a stop.
STOPPED_DETAIL = 'this entry has stopped; another one serves'


class ExchangeProgress:
    """Tracks the execution state of one request in an entry process.

    Attributes
    ----------
    execution
        Whether any attempt so far has run. The caller receives this value if
        there is no answer.
    this_call
        The same for this call alone, see `RefusedError`.
    link
        Link to the endpoint of the latest attempt.
    """

    def __init__(
        self,
        context: EntryContext,
        request: CallerRequest,
        telemetry: ExchangeTelemetry,
    ) -> None:
        self.context = context
        self.request = request
        self.telemetry = telemetry
        self.attempt = Attempt(0)
        self.execution = Execution.NOT_RUN
        self.link: EndpointLink | None = None
        self.this_call = Execution.NOT_RUN
        self._previous_execution = Execution.NOT_RUN
        self._previous_this_call = Execution.NOT_RUN

    @property
    def endpoint(self) -> EndpointId | None:
        """The endpoint of the latest attempt."""
        return None if self.link is None else self.link.endpoint

    @property
    def seconds_left(self) -> float:
        """Time until the deadline, in seconds, at least 0."""
        return max(0, self.request.view.deadline - self.context.now())

    def begin_attempt(self, link: EndpointLink) -> None:
        """Record the start of an attempt at an endpoint."""
        self.attempt = Attempt(self.attempt + 1)
        self.link = link
        self._previous_execution = self.execution
        self._previous_this_call = self.this_call
        self.execution = Execution.UNKNOWN
        self.this_call = Execution.UNKNOWN

    def record_running(self, attempt: Attempt) -> None:
        """Record that the endpoint process runs the request."""
        self.attempt = attempt
        self.execution = Execution.RAN
        self.this_call = Execution.RAN

    def record_declined(self, declined: Declined) -> None:
        """Record that the endpoint process declined this attempt.

        Raises
        ------
        RefusedError
            If no other attempt is allowed.
        """
        known = declined.execution
        is_not_run = known == Execution.NOT_RUN
        self.this_call = self._previous_this_call
        self.execution = self._previous_execution if is_not_run else known
        refusal = Refusal(
            self.request.view.request_id,
            declined.reason,
            declined.retry_after,
        )
        if not self._is_retry_allowed:
            raise self.error_from_refusal(refusal)
        now = self.context.now()
        self._apply_decision(self.context.scheduler.declined(refusal, now))

    def record_barred(self) -> None:
        """Record that the endpoint process will never run this attempt.

        Raises
        ------
        RefusedError
            If no other attempt is allowed.
        """
        self.execution = self._previous_execution
        self.this_call = self._previous_this_call
        self.request_retry(RetryReason.OFFER_LOST)

    def record_lost(
        self, detail: str, *, has_partial_answer: bool = False
    ) -> None:
        """Record that the outcome of the attempt is unknown.

        Parameters
        ----------
        has_partial_answer
            Whether the caller has received a part of the answer. The answer
            of another run would not continue that part.

        Raises
        ------
        RefusedError
            If no other attempt is allowed.
        """
        self.cancel_run(CancelReason.SUPERSEDED)
        self.execution = Execution.UNKNOWN
        if has_partial_answer or not self._is_retry_allowed:
            raise self.make_error(RefusalReason.OUTCOME_UNKNOWN, detail)
        self.request_retry(RetryReason.ENDPOINT_SILENT)

    def record_failed(self, reason: RefusalReason | None, detail: str) -> None:
        """Record that the run failed before its first frame.

        Raises
        ------
        RefusedError
            If no other attempt is allowed.
        """
        if not self._is_retry_allowed:
            known = reason or RefusalReason.BACKEND_FAILED
            raise self.make_error(known, detail)
        self.request_retry(RetryReason.BACKEND_FAILED)

    def request_retry(self, reason: RetryReason) -> None:
        """Request another attempt from the scheduler.

        Raises
        ------
        RefusedError
            If the scheduler allows no other attempt.
        """
        now = self.context.now()
        request_id = self.request.view.request_id
        self._apply_decision(
            self.context.scheduler.lost(request_id, reason, now)
        )

    def make_error(self, reason: RefusalReason, detail: str) -> RefusedError:
        """Return the error for a reason that the exchange found."""
        return RefusedError(
            reason,
            detail,
            execution=self.execution,
            this_call=self.this_call,
            retry_after=_RETRY_AFTER_SECONDS,
        )

    def make_stop_error(self) -> RefusedError:
        """Return the error for an exchange that a stop has ended.

        The run goes on: its caller can resume it through another entry.
        """
        if self.execution == Execution.NOT_RUN:
            return self.make_error(RefusalReason.SHUTTING_DOWN, STOPPED_DETAIL)
        return self.make_error(RefusalReason.OUTCOME_UNKNOWN, STOPPED_DETAIL)

    def error_from_refusal(self, refusal: Refusal) -> RefusedError:
        """Return the error for a refusal by the scheduler or an endpoint."""
        return RefusedError(
            refusal.reason,
            refusal.detail,
            execution=self.execution,
            this_call=self.this_call,
            retry_after=refusal.retry_after,
        )

    def cancel_run(self, reason: CancelReason) -> None:
        """Send a cancellation to the endpoint process if the run may exist."""
        if self.link is not None and self.execution != Execution.NOT_RUN:
            self.link.post(Cancel(self.request.view.request_id, reason))

    @property
    def _is_retry_allowed(self) -> bool:
        is_not_run = self.execution == Execution.NOT_RUN
        return is_not_run or self.request.view.idempotent

    def _apply_decision(self, decision: Requeued | Refusal) -> None:
        if isinstance(decision, Refusal):
            raise self.error_from_refusal(decision)
        self.telemetry.record_retry(decision.reason)
