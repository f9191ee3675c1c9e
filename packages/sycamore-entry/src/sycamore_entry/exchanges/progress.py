"""What is known so far of a request, and what may follow from it.

What goes wrong: an attempt fails in a way that leaves open whether the
request ran. To call it "not run" or to run a non-idempotent one again would
break a promise. Each step therefore notes here what it knows, and only here
it is decided whether another attempt is allowed.
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
from .reports import ExchangeReport

_COME_BACK_SECONDS = 1.0


class ExchangeProgress:
    """The state of one request in an entry process.

    Attributes
    ----------
    execution
        Whether any attempt so far has run; it is what the caller is told
        when there is no answer.
    this_call
        The same of this call alone, see `RefusedError`.
    link
        The endpoint of the latest attempt.
    """

    def __init__(
        self,
        context: EntryContext,
        request: CallerRequest,
        report: ExchangeReport,
    ) -> None:
        self.context = context
        self.request = request
        self.report = report
        self.attempt = Attempt(0)
        self.execution = Execution.NOT_RUN
        self.link: EndpointLink | None = None
        self.this_call = Execution.NOT_RUN
        self._before = Execution.NOT_RUN
        self._call_before = Execution.NOT_RUN

    @property
    def endpoint(self) -> EndpointId | None:
        """The endpoint of the latest attempt."""
        return None if self.link is None else self.link.endpoint

    @property
    def seconds_left(self) -> float:
        """Time until the deadline, in seconds, at least 0."""
        return max(0, self.request.view.deadline - self.context.now())

    def begin_attempt(self, link: EndpointLink) -> None:
        """Note that the request is being offered."""
        self.attempt = Attempt(self.attempt + 1)
        self.link = link
        self._before = self.execution
        self._call_before = self.this_call
        self.execution = Execution.UNKNOWN
        self.this_call = Execution.UNKNOWN

    def running(self, attempt: Attempt) -> None:
        """Note that the endpoint process runs the request."""
        self.attempt = attempt
        self.execution = Execution.RAN
        self.this_call = Execution.RAN

    def declined(self, declined: Declined) -> None:
        """Note that the endpoint process does not run this attempt.

        Raises
        ------
        RefusedError
            If there is to be no other attempt.
        """
        known = declined.execution
        is_clear = known == Execution.NOT_RUN
        self.this_call = self._call_before
        self.execution = self._before if is_clear else known
        refusal = Refusal(
            self.request.view.request_id,
            declined.reason,
            declined.retry_after,
        )
        if not self._may_run_again:
            raise self.refused_by(refusal)
        now = self.context.now()
        self._follow(self.context.scheduler.declined(refusal, now))

    def barred(self) -> None:
        """Note that the endpoint process will never run this attempt.

        Raises
        ------
        RefusedError
            If there is to be no other attempt.
        """
        self.execution = self._before
        self.this_call = self._call_before
        self.try_again(RetryReason.OFFER_LOST)

    def lost(self, detail: str, *, has_begun: bool = False) -> None:
        """Note that nobody can tell what became of the attempt.

        Parameters
        ----------
        has_begun
            Whether the caller has a part of the answer, to which the answer
            of another run would not fit.

        Raises
        ------
        RefusedError
            If there is to be no other attempt.
        """
        self.cancel_run(CancelReason.SUPERSEDED)
        self.execution = Execution.UNKNOWN
        if has_begun or not self._may_run_again:
            raise self.refused(RefusalReason.OUTCOME_UNKNOWN, detail)
        self.try_again(RetryReason.ENDPOINT_SILENT)

    def failed(self, reason: RefusalReason | None, detail: str) -> None:
        """Note that the run has failed before its first frame.

        Raises
        ------
        RefusedError
            If there is to be no other attempt.
        """
        if not self._may_run_again:
            known = reason or RefusalReason.BACKEND_FAILED
            raise self.refused(known, detail)
        self.try_again(RetryReason.BACKEND_FAILED)

    def try_again(self, reason: RetryReason) -> None:
        """Have the scheduler decide on another attempt.

        Raises
        ------
        RefusedError
            If there is to be none.
        """
        now = self.context.now()
        request_id = self.request.view.request_id
        self._follow(self.context.scheduler.lost(request_id, reason, now))

    def refused(self, reason: RefusalReason, detail: str) -> RefusedError:
        """Return the final answer for a reason found here."""
        return RefusedError(
            reason,
            detail,
            execution=self.execution,
            this_call=self.this_call,
            retry_after=_COME_BACK_SECONDS,
        )

    def refused_by(self, refusal: Refusal) -> RefusedError:
        """Return the final answer for a decision or an endpoint's reply."""
        return RefusedError(
            refusal.reason,
            refusal.detail,
            execution=self.execution,
            this_call=self.this_call,
            retry_after=refusal.retry_after,
        )

    def cancel_run(self, reason: CancelReason) -> None:
        """Tell the endpoint process that nobody waits for the answer."""
        if self.link is not None and self.execution != Execution.NOT_RUN:
            self.link.post(Cancel(self.request.view.request_id, reason))

    @property
    def _may_run_again(self) -> bool:
        is_clear = self.execution == Execution.NOT_RUN
        return is_clear or self.request.view.idempotent

    def _follow(self, decision: Requeued | Refusal) -> None:
        if isinstance(decision, Refusal):
            raise self.refused_by(decision)
        self.report.retried(decision.reason)
