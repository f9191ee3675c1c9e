"""The runs of one endpoint process, by request id.

Rules that hold whatever is lost, doubled or late:

- a request starts at most once, unless it is idempotent and its last attempt
  failed;
- an id that was reported as not run is barred until no packet about it can
  arrive any more;
- an attempt that was declined stays declined, however often it is offered;
- only the entry that attached last acknowledges, withdraws or cancels.
"""

from collections.abc import Iterable
from types import MappingProxyType

from sycamore_core.errors import LedgerError
from sycamore_core.ids import Attempt, RequestId
from sycamore_core.messages import Declined, Offer, RunReport
from sycamore_core.states import (
    CancelReason,
    Execution,
    Outcome,
    RefusalReason,
    RunState,
)
from sycamore_core.transport.ages import MAX_PACKET_AGE_SECONDS

from .answers import Answer
from .records import Owner, RunRecord
from .run_rules import (
    LONGEST_BUDGET_SECONDS,
    can_bar,
    declined,
    horizon,
    report_of,
    unknown_refusal,
    without_payload,
)

#: How long a reserved id waits for its request, in seconds. A caller that
#: reserves is about to send; a minute survives a lost connection and a retry.
RESERVATION_SECONDS = 60.0
#: How long an answer is kept past the deadline of its run, in seconds, for a
#: caller that lost it with the connection and comes back.
ANSWER_SECONDS = 30.0

_OUTCOME_STATES = MappingProxyType(
    {
        Outcome.COMPLETE: RunState.FINISHED,
        Outcome.FAILED: RunState.FAILED,
        Outcome.CANCELLED: RunState.CANCELLED,
        Outcome.TIMEOUT: RunState.CANCELLED,
    }
)


class RunLedger:
    """All requests that this endpoint process must remember.

    Examples
    --------
    >>> ledger = RunLedger()
    >>> report = ledger.withdraw(RequestId('r'), Attempt(1), None, now=0)
    >>> report.execution.value
    'not_run'
    """

    def __init__(self) -> None:
        self.records: dict[RequestId, RunRecord] = {}

    def find(self, request_id: RequestId) -> RunRecord | None:
        """Return the record of a request, or None."""
        return self.records.get(request_id)

    def in_progress(self) -> list[RunRecord]:
        """Return the runs that have not ended."""
        return [run for run in self.records.values() if run.in_progress]

    def unfinished(self) -> list[RunRecord]:
        """Return the runs whose answer is not wholly taken."""
        return [
            run
            for run in self.records.values()
            if run.in_progress
            or (run.answer is not None and not run.answer.taken)
        ]

    def reserve(self, request_id: RequestId, now: float) -> None:
        """Record an id that was minted here for a reservation.

        Raises
        ------
        LedgerError
            If the id is known already.
        """
        if request_id in self.records:
            raise LedgerError('reserved twice')
        self.records[request_id] = RunRecord(
            request_id=request_id,
            attempt=Attempt(0),
            state=RunState.RESERVED,
            deadline=now + RESERVATION_SECONDS,
            forget_at=now + RESERVATION_SECONDS + LONGEST_BUDGET_SECONDS,
        )

    def answer_again(self, offer: Offer, owner: Owner) -> RunRecord | None:
        """Return the run that this offer is a repetition of, if any.

        The answer then goes to the entry that repeated it: a caller may
        send a bound request again through another one.
        """
        record = self.records.get(offer.request_id)
        if record is None or record.answer is None:
            return None
        if record.may_run and offer.attempt > record.attempt:
            return None
        if record.owner != owner:
            record.owner = owner
            record.answer.rewind(-1)
        return record

    def refusal(
        self,
        offer: Offer,
        owner: Owner,
        now: float,
    ) -> Declined | None:
        """Return why this offer may not run by the rules of the ledger."""
        record = self.records.get(offer.request_id)
        if record is None:
            return unknown_refusal(offer)
        earlier = record.declines.get(owner)
        if earlier is not None and offer.attempt <= earlier.attempt:
            return earlier
        if record.state is RunState.RESERVED and record.deadline <= now:
            return declined(
                offer,
                RefusalReason.RESERVATION_EXPIRED,
                Execution.NOT_RUN,
            )
        if record.state is RunState.RESERVED or record.may_run:
            return None
        reason = RefusalReason.WITHDRAWN
        if record.execution is not Execution.NOT_RUN:
            reason = RefusalReason.OUTCOME_UNKNOWN
        return declined(offer, reason, record.execution)

    def decline(
        self,
        offer: Offer,
        owner: Owner,
        reason: RefusalReason,
        now: float,
        retry_after: float = 0,
    ) -> Declined:
        """Record that an attempt is declined for good.

        What goes wrong otherwise: an offer is sent twice, the first copy is
        declined for want of memory, the entry runs the request elsewhere,
        and the second copy finds memory and runs it again.
        """
        record = self.records.get(offer.request_id)
        if record is None:
            record = RunRecord(
                request_id=offer.request_id,
                attempt=Attempt(0),
                state=RunState.FAILED,
                forget_at=now,
                offer=without_payload(offer),
            )
            self.records[offer.request_id] = record
        record.forget_at = max(record.forget_at, horizon(offer, now))
        execution = record.execution
        if record.in_progress:
            execution = Execution.UNKNOWN
        answer = declined(offer, reason, execution, retry_after)
        record.declines[owner] = answer
        return answer

    def admit(
        self,
        offer: Offer,
        owner: Owner,
        deadline: float,
        now: float,
    ) -> RunRecord:
        """Record a run that is to start.

        Raises
        ------
        LedgerError
            If the rules of the ledger do not allow it.
        """
        if self.refusal(offer, owner, now) is not None:
            raise LedgerError('admitted against the rules')
        earlier = self.records.get(offer.request_id)
        execution = Execution.NOT_RUN
        if earlier is not None:
            execution = earlier.execution
        record = RunRecord(
            request_id=offer.request_id,
            attempt=offer.attempt,
            state=RunState.ACCEPTED,
            execution=execution,
            deadline=deadline,
            forget_at=horizon(offer, now),
            offer=offer,
            owner=owner,
            answer=Answer(offer.request_id, offer.attempt),
        )
        self.records[offer.request_id] = record
        return record

    def start(self, record: RunRecord, now: float) -> bool:
        """Note that the back end may begin from now on; False if it must not.

        To be called with no wait between it and the call of the back end.
        """
        current = self.records.get(record.request_id)
        if current is not record or record.state is not RunState.ACCEPTED:
            return False
        if record.deadline <= now:
            return False
        record.state = RunState.RUNNING
        record.execution = Execution.RAN
        return True

    def not_started(self, record: RunRecord) -> None:
        """Note that the back end has certainly not begun after all."""
        if record.state is RunState.RUNNING:
            record.execution = Execution.NOT_RUN

    def end(
        self,
        record: RunRecord,
        outcome: Outcome,
        reason: RefusalReason | None = None,
    ) -> None:
        """Close the answer of a run; only the first call has an effect."""
        if not record.in_progress or record.answer is None:
            return
        record.state = _OUTCOME_STATES[outcome]
        record.answer.end(outcome, reason)
        if record.offer is not None:
            # A prompt may be megabytes, and the record stays for long.
            record.offer = without_payload(record.offer)

    def withdraw(
        self,
        request_id: RequestId,
        attempt: Attempt,
        owner: Owner | None,
        now: float,
    ) -> RunReport:
        """Bar a request unless it has begun, and say what is known of it."""
        record = self.records.get(request_id)
        if record is None:
            record = RunRecord(
                request_id=request_id,
                attempt=attempt,
                state=RunState.WITHDRAWN,
                forget_at=now + LONGEST_BUDGET_SECONDS + MAX_PACKET_AGE_SECONDS,
            )
            self.records[request_id] = record
        elif can_bar(record, owner):
            self.end(record, Outcome.CANCELLED, RefusalReason.WITHDRAWN)
            record.state = RunState.WITHDRAWN
        return report_of(record, attempt)

    def attach(
        self,
        request_id: RequestId,
        owner: Owner,
        after: int,
    ) -> RunReport:
        """Send the answer to `owner` from now on, from `after` + 1 on."""
        record = self.records.get(request_id)
        if record is None:
            return RunReport(
                request_id=request_id,
                attempt=Attempt(0),
                state=RunState.NEVER_SEEN,
                execution=Execution.UNKNOWN,
            )
        if record.answer is not None:
            record.owner = owner
            record.answer.rewind(after)
        return report_of(record, record.attempt)

    def acknowledge(
        self,
        request_id: RequestId,
        sequence: int,
        owner: Owner,
    ) -> RunRecord | None:
        """Note what the entry handed on; None if it is not its owner."""
        record = self.records.get(request_id)
        if record is None or record.owner != owner or record.answer is None:
            return None
        record.answer.acknowledge(sequence)
        return record

    def cancel(
        self,
        request_id: RequestId,
        reason: CancelReason,
        owner: Owner,
        now: float,
    ) -> RunRecord | None:
        """Give a run up, or bar an id whose offer has not come yet.

        An entry that lost the answer to another one by `Attach` may still
        believe that its caller has gone; only an operator's word counts from
        anybody.
        """
        record = self.records.get(request_id)
        if record is None:
            self.withdraw(request_id, Attempt(0), owner, now)
            return None
        if record.owner != owner and reason is not CancelReason.OPERATOR:
            return None
        if not record.in_progress:
            return None
        outcome = Outcome.CANCELLED
        if reason is CancelReason.DEADLINE:
            outcome = Outcome.TIMEOUT
        self.end(record, outcome)
        return record

    def overdue(self, now: float) -> Iterable[RunRecord]:
        """End the runs whose deadline has passed and return them."""
        late = [run for run in self.in_progress() if run.deadline <= now]
        for record in late:
            self.end(record, Outcome.TIMEOUT, RefusalReason.DEADLINE_PASSED)
        return late

    def forget(self, now: float) -> None:
        """Drop answers out of time, and what no packet can be about."""
        for ended in self.records.values():
            over = ended.deadline + ANSWER_SECONDS <= now
            if over and not ended.in_progress:
                ended.answer = None
        self.records = {
            request_id: record
            for request_id, record in self.records.items()
            if record.in_progress or record.forget_at > now
        }
