"""Log lines of failed attempts."""

from sycamore_core.decisions.direct import AttemptLog
from sycamore_core.ids import EndpointId

from ..context import ForwardingContext
from ..endpoints.attempt import Attempt
from ..errors import AttemptError, EndpointEndedError
from .retry_control import RetryDecision


class FailureLog:
    """Logs why the attempts of one request failed, and what is done next."""

    def __init__(
        self, context: ForwardingContext, attempts: AttemptLog
    ) -> None:
        self.log = context.log
        self.attempts = attempts

    def record(
        self,
        attempt: Attempt,
        error: AttemptError,
        decision: RetryDecision,
        *,
        failed_endpoint: EndpointId,
        last_event_id: int,
    ) -> None:
        """Log a failed attempt.

        Parameters
        ----------
        failed_endpoint
            Endpoint that is excluded because of the failure.
        last_event_id
            Id of the last event that the caller has received; -1 without one.
        """
        if isinstance(error, EndpointEndedError):
            self._record_ended(attempt, error)
        call = attempt.call
        self.log.info(
            'attempt_failed',
            request_id=call.request_id,
            endpoint=attempt.placement.primary.endpoint,
            at_fault=failed_endpoint,
            how=error.end,
            detail=error.detail,
            sent=self.attempts.sent,
            may_have_run=self.attempts.may_have_run,
            events=last_event_id,
            content=call.content.digest_for_log(error.end),
            step=decision.step,
            retry=decision.permission,
            **decision.budget.log_fields(),
        )

    def _record_ended(
        self, attempt: Attempt, error: EndpointEndedError
    ) -> None:
        lifetime = error.cause.lifetime
        self.log.info(
            'attempt_ended_with_endpoint',
            request_id=attempt.call.request_id,
            endpoint=lifetime.endpoint,
            started_ms=lifetime.started_ms,
            evidence=error.cause.evidence,
            is_primary=lifetime == attempt.placement.primary.lifetime,
            was_sent=error.end.was_sent,
        )
