"""The runs of one endpoint process, by request id.

These rules hold under lost, duplicated and late messages:

- a request starts at most once, unless it is idempotent and its last attempt
  failed;
- an id that was reported as not run cannot start until no packet about it can
  arrive any more;
- a declined attempt stays declined, however often it is offered;
- only the entry that attached last can acknowledge, withdraw or cancel.
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
    MAX_BUDGET_SECONDS,
    can_withdraw,
    make_declined,
    make_report,
    retention_deadline,
    unknown_id_refusal,
    without_payload,
)

#: How long a reserved id waits for its request, in seconds. A caller sends its
#: request right after the reservation; a minute leaves time for a lost
#: connection and a retry.
RESERVATION_TTL_SECONDS = 60.0
#: How long an answer is kept past the deadline of its run, in seconds, for
#: callers that reconnect after a lost connection.
ANSWER_RETENTION_SECONDS = 30.0

_OUTCOME_STATES = MappingProxyType(
    {
        Outcome.COMPLETE: RunState.FINISHED,
        Outcome.FAILED: RunState.FAILED,
        Outcome.CANCELLED: RunState.CANCELLED,
        Outcome.TIMEOUT: RunState.CANCELLED,
    }
)


class RunLedger:
    """Ledger of the requests known to this endpoint process.

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
        """Return the runs whose answer is not fully acknowledged."""
        return [
            run
            for run in self.records.values()
            if run.in_progress
            or (run.answer is not None and not run.answer.is_acknowledged)
        ]

    def reserve(self, request_id: RequestId, now: float) -> None:
        """Record an id that this process created for a reservation.

        Raises
        ------
        LedgerError
            If the id is already in the ledger.
        """
        if request_id in self.records:
            raise LedgerError('request id is already in use')
        self.records[request_id] = RunRecord(
            request_id=request_id,
            attempt=Attempt(0),
            state=RunState.RESERVED,
            deadline=now + RESERVATION_TTL_SECONDS,
            forget_at=now + RESERVATION_TTL_SECONDS + MAX_BUDGET_SECONDS,
        )

    def find_repeated(self, offer: Offer, owner: Owner) -> RunRecord | None:
        """Return the run that this offer repeats, or None.

        The answer then goes to the entry that repeated the offer, since a
        caller may resend a bound request through another entry.
        """
        record = self.records.get(offer.request_id)
        if record is None or record.answer is None:
            return None
        if record.accepts_retry and offer.attempt > record.attempt:
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
        """Return why this offer may not run, or None if it may."""
        record = self.records.get(offer.request_id)
        if record is None:
            return unknown_id_refusal(offer)
        earlier = record.declines.get(owner)
        if earlier is not None and offer.attempt <= earlier.attempt:
            return earlier
        if record.state is RunState.RESERVED and record.deadline <= now:
            return make_declined(
                offer,
                RefusalReason.RESERVATION_EXPIRED,
                Execution.NOT_RUN,
            )
        if record.state is RunState.RESERVED or record.accepts_retry:
            return None
        reason = RefusalReason.WITHDRAWN
        if record.execution is not Execution.NOT_RUN:
            reason = RefusalReason.OUTCOME_UNKNOWN
        return make_declined(offer, reason, record.execution)

    def decline(
        self,
        offer: Offer,
        owner: Owner,
        reason: RefusalReason,
        now: float,
        retry_after: float = 0,
    ) -> Declined:
        """Record that an attempt is declined permanently.

        Without the record, a duplicated offer could run twice: the first copy
        is declined for lack of memory, the entry runs the request elsewhere,
        and the second copy finds free memory and runs here.
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
        record.forget_at = max(record.forget_at, retention_deadline(offer, now))
        execution = record.execution
        if record.in_progress:
            execution = Execution.UNKNOWN
        answer = make_declined(offer, reason, execution, retry_after)
        record.declines[owner] = answer
        return answer

    def admit(
        self,
        offer: Offer,
        owner: Owner,
        deadline: float,
        now: float,
    ) -> RunRecord:
        """Record an accepted run.

        Raises
        ------
        LedgerError
            If `refusal` returns a reason for this offer.
        """
        if self.refusal(offer, owner, now) is not None:
            raise LedgerError('admitted an offer that the ledger refuses')
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
            forget_at=retention_deadline(offer, now),
            offer=offer,
            owner=owner,
            answer=Answer(offer.request_id, offer.attempt),
        )
        self.records[offer.request_id] = record
        return record

    def try_start(self, record: RunRecord, now: float) -> bool:
        """Mark a run as started; return False if it must not start.

        The caller calls the backend right after this method, without awaiting
        anything in between.
        """
        current = self.records.get(record.request_id)
        if current is not record or record.state is not RunState.ACCEPTED:
            return False
        if record.deadline <= now:
            return False
        record.state = RunState.RUNNING
        record.execution = Execution.RAN
        return True

    def record_not_started(self, record: RunRecord) -> None:
        """Record that the backend has certainly not started the run."""
        if record.state is RunState.RUNNING:
            record.execution = Execution.NOT_RUN

    def end(
        self,
        record: RunRecord,
        outcome: Outcome,
        reason: RefusalReason | None = None,
    ) -> None:
        """Close the answer of a run; later calls have no effect."""
        if not record.in_progress or record.answer is None:
            return
        record.state = _OUTCOME_STATES[outcome]
        record.answer.end(outcome, reason)
        if record.offer is not None:
            # A prompt may be several megabytes, and the record is kept long.
            record.offer = without_payload(record.offer)

    def withdraw(
        self,
        request_id: RequestId,
        attempt: Attempt,
        owner: Owner | None,
        now: float,
    ) -> RunReport:
        """Prevent a request from starting, unless it has, and report on it."""
        record = self.records.get(request_id)
        if record is None:
            record = RunRecord(
                request_id=request_id,
                attempt=attempt,
                state=RunState.WITHDRAWN,
                forget_at=now + MAX_BUDGET_SECONDS + MAX_PACKET_AGE_SECONDS,
            )
            self.records[request_id] = record
        elif can_withdraw(record, owner):
            self.end(record, Outcome.CANCELLED, RefusalReason.WITHDRAWN)
            record.state = RunState.WITHDRAWN
        return make_report(record, attempt)

    def attach(
        self,
        request_id: RequestId,
        owner: Owner,
        after: int,
    ) -> RunReport:
        """Send the answer to `owner`, beginning at sequence `after` + 1."""
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
        return make_report(record, record.attempt)

    def acknowledge(
        self,
        request_id: RequestId,
        sequence: int,
        owner: Owner,
    ) -> RunRecord | None:
        """Record forwarded frames; return None if `owner` is not the owner."""
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
        """Cancel a run, or block an id whose offer has not arrived yet.

        Only the owner and operators may cancel a run. Another entry may have
        taken over the answer with `Attach`, while the former owner still
        assumes that the caller has disconnected.
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

    def end_overdue(self, now: float) -> Iterable[RunRecord]:
        """End the runs whose deadline has passed and return them."""
        late = [run for run in self.in_progress() if run.deadline <= now]
        for record in late:
            self.end(record, Outcome.TIMEOUT, RefusalReason.DEADLINE_PASSED)
        return late

    def prune(self, now: float) -> None:
        """Drop answers and records whose retention time has passed."""
        for ended in self.records.values():
            expired = ended.deadline + ANSWER_RETENTION_SECONDS <= now
            if expired and not ended.in_progress:
                ended.answer = None
        self.records = {
            request_id: record
            for request_id, record in self.records.items()
            if record.in_progress or record.forget_at > now
        }
