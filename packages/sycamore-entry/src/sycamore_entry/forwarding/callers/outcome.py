"""Answers of the entry itself, if no endpoint gave a complete answer."""

from sycamore_core.decisions.direct import AttemptLog
from sycamore_core.telemetry import error_fields
from tornado.httputil import HTTPHeaders

from ..context import ForwardingContext
from ..decision_log import DecisionLog
from ..endpoints.relay import AnswerRelay
from ..errors import CallerDisconnectedError, SlowReaderError
from .caller_answer import CallerAnswer
from .refusals import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    STOPPING_RETRY_SECONDS,
    OwnAnswer,
    Refusal,
    RefusalCause,
    refusal_answer,
)
from .request_state import EarlyAnswer
from .unanswered import UnansweredReason, UnansweredReport


class RequestOutcome(EarlyAnswer):
    """Outcome of one request, and the entry's own answer to its caller.

    Attributes
    ----------
    label
        Name of the outcome, for the log and the metrics.
    detail
        Reason for a refusal, for the log.
    unanswered
        Why the caller has no complete answer; None if it has one, or if the
        request is not over.
    """

    def __init__(
        self,
        context: ForwardingContext,
        answer: CallerAnswer,
        attempts: AttemptLog,
        request_id: str,
    ) -> None:
        self.context = context
        self.answer = answer
        self.attempts = attempts
        self.request_id = request_id
        self.label = 'none'
        self.detail = ''
        self.unanswered: UnansweredReason | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request, or may run it yet.

        An attempt in progress counts from the moment at which it is sent.
        """
        is_at_endpoint = self.answer.request.is_at_endpoint
        return is_at_endpoint or self.attempts.possibly_ran > 0

    async def refuse(self, refusal: Refusal) -> None:
        """Refuse the request, or fail it if it may have run."""
        if self.answer.has_begun or self.may_have_run:
            # Within a stream, the caller would read a second head as a part
            # of the stream. A refusal also states that the request has not
            # run.
            self.detail = refusal.detail
            await self.fail()
            return
        cause = refusal.cause.value
        self.label = f'refused_{cause}'
        self.detail = refusal.detail
        self.context.metrics.refusals.add(cause)
        DecisionLog(self.context).log_refusal(self.request_id, refusal)
        await self.answer.send(*refusal_answer(self._own_headers(), refusal))

    async def refuse_admitted(self, refusal: Refusal) -> None:
        """Refuse a request that was admitted, or end it at its time limit."""
        if refusal.cause == RefusalCause.TIME_LIMIT:
            await self.time_out()
        else:
            await self.refuse(refusal)

    async def time_out(self) -> None:
        """End the request at its time limit."""
        if self.answer.has_begun:
            self.label = 'cut_at_limit'
            self.unanswered = UnansweredReason.TIME_LIMIT
            self.answer.abort()
        elif self.may_have_run:
            self.label = 'late'
            await self.answer.send(GATEWAY_TIMEOUT, self._own_headers(), b'')
        else:
            await self.refuse(Refusal(RefusalCause.TIME_LIMIT))

    async def fail(self) -> None:
        """Answer with a failure, or abort an answer that has begun."""
        if self.answer.has_begun:
            self.label = 'cut'
            self.unanswered = UnansweredReason.NOT_RESUMED
            self.answer.abort()
            return
        self.label = 'failed'
        await self.answer.send(BAD_GATEWAY, self._own_headers(), b'')

    async def relay_failure(self, relay: AnswerRelay) -> None:
        """Forward the failure that an endpoint answered with.

        An answer that has begun is aborted: its caller would read the failure
        as a part of it.
        """
        if self.answer.has_begun:
            await self.fail()
            return
        self.label = 'endpoint_failed'
        await relay.relay_failure()

    def disconnect(self, error: CallerDisconnectedError) -> None:
        """Record that the connection of the caller has ended."""
        self.label = error.label
        if isinstance(error, SlowReaderError):
            self.unanswered = UnansweredReason.SLOW_READER
        else:
            self.unanswered = UnansweredReason.CALLER_LEFT

    async def end_cancelled(self) -> None:
        """Answer a request whose exchange was cancelled.

        Only the end of the process and the end of a caller's sending side
        cancel the exchange of a caller that may read the answer.

        Raises
        ------
        CallerDisconnectedError
            If the caller does not receive the answer.
        """
        if self.answer.is_sent_early:
            self.record_stop()
            await self.answer.finish_early()
        elif self.answer.is_given_up:
            self.label = 'caller_ended'
            self.unanswered = UnansweredReason.CALLER_LEFT
            await self._end_early(Refusal(RefusalCause.CALLER_ENDED))
        else:
            self.record_stop()
            await self._end_early(_stopping())

    def send_early(self) -> None:
        """Answer a request before its exchange is told that the entry stops."""
        self.answer.send_early(*self._early_answer(_stopping()))

    def cancel(self) -> None:
        """Record that the exchange was cancelled without an answer."""
        if self.answer.caller_has_left:
            self.label = 'caller_left'
            self.unanswered = UnansweredReason.CALLER_LEFT
        else:
            self.record_stop()

    def record_stop(self) -> None:
        """Record that the end of the process ended the request."""
        self.label = 'stopped'
        self.unanswered = UnansweredReason.FORCED_STOP

    async def answer_defect(self, error: Exception) -> None:
        """Answer a request that a defect of the entry has ended.

        Raises
        ------
        CallerDisconnectedError
            If the caller does not receive the answer.
        """
        self.record_defect(error)
        await self._end_early(Refusal(RefusalCause.DEFECT))

    def record_defect(self, error: Exception) -> None:
        """Record that a defect of the entry ended the request."""
        self.label = 'fault'
        self.unanswered = UnansweredReason.DEFECT
        self.context.log.error(
            'exchange_fault',
            request_id=self.request_id,
            **error_fields(error),
        )

    def report_unanswered(self) -> None:
        """Log and count the request if its caller has no complete answer."""
        if self.unanswered is None or self.answer.is_complete:
            return
        report = UnansweredReport(self.context.metrics, self.context.log)
        report.record(
            self.request_id,
            self.unanswered,
            has_begun=self.answer.has_begun,
            last_end=self.attempts.last_end,
            closing=self.answer.closing,
        )

    async def _end_early(self, refusal: Refusal) -> None:
        """Refuse the request, or fail it if it may have run."""
        if self.answer.has_begun:
            self.detail = 'truncated'
            self.answer.abort()
        else:
            await self.answer.send(*self._early_answer(refusal))

    def _early_answer(self, refusal: Refusal) -> OwnAnswer:
        """Return a refusal, or a failure if the request may have run."""
        headers = self._own_headers()
        if self.may_have_run:
            self.detail = 'failed'
            return OwnAnswer(BAD_GATEWAY, headers, b'')
        self.detail = 'refused'
        self.context.metrics.refusals.add(refusal.cause)
        return refusal_answer(headers, refusal)

    def _own_headers(self) -> HTTPHeaders:
        return self.context.wire.own_headers(self.request_id)


def _stopping() -> Refusal:
    """Return the refusal of an entry that stops."""
    return Refusal(RefusalCause.STOPPING, retry_after=STOPPING_RETRY_SECONDS)
