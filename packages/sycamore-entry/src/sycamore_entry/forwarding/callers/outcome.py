"""Answers of the entry itself, if no endpoint gave a complete answer."""

from sycamore_core.decisions.direct import AttemptLog
from tornado.httputil import HTTPHeaders

from ..context import ForwardingContext
from ..decision_log import DecisionLog
from ..endpoints.relay import AnswerRelay
from .caller import CallerAnswer
from .refusals import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    Refusal,
    RefusalCause,
    send_refusal,
)


class RequestOutcome:
    """Outcome of one request, and the entry's own answer to its caller.

    Attributes
    ----------
    label
        Name of the outcome, for the log and the metrics.
    detail
        Reason for a refusal, for the log.
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

    async def refuse(self, refusal: Refusal) -> None:
        """Refuse the request, or fail it if it may have run."""
        if self.answer.has_begun or self.attempts.may_have_run:
            # Within a stream, the caller would read a second head as a part
            # of the stream. A refusal also states that the request has not
            # run.
            await self.fail()
            return
        cause = refusal.cause.value
        self.label = f'refused_{cause}'
        self.detail = refusal.detail
        self.context.metrics.refusals.add(cause)
        DecisionLog(self.context).log_refusal(self.request_id, refusal)
        await send_refusal(self.answer, self._own_headers(), refusal)

    async def time_out(self) -> None:
        """End the request at its time limit."""
        if self.answer.has_begun:
            self.label = 'cut_at_limit'
            self.answer.abort()
        elif self.attempts.may_have_run:
            self.label = 'late'
            await self.answer.send(GATEWAY_TIMEOUT, self._own_headers(), b'')
        else:
            await self.refuse(Refusal(RefusalCause.TIME_LIMIT))

    async def fail(self) -> None:
        """Answer with a failure, or abort an answer that has begun."""
        if self.answer.has_begun:
            self.label = 'cut'
            self.answer.abort()
            return
        self.label = 'failed'
        await self.answer.send(BAD_GATEWAY, self._own_headers(), b'')

    async def relay_failure(self, relay: AnswerRelay) -> None:
        """Forward the failure that an endpoint answered with."""
        self.label = 'endpoint_failed'
        await relay.relay_failure()

    def _own_headers(self) -> HTTPHeaders:
        return self.context.wire.own_headers(self.request_id)
