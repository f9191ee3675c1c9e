"""Rules on reporting, declining and retaining runs."""

from sycamore_core.ids import Attempt
from sycamore_core.messages import Declined, Offer, RunReport
from sycamore_core.states import Execution, RefusalReason, RunState
from sycamore_core.transport.ages import MAX_PACKET_AGE_SECONDS

from ..keys.doubt import KEY_RETENTION_SECONDS
from .records import Owner, RunRecord

#: Budget assumed for an id known only from a withdrawal, in seconds. It is the
#: longest time limit that settings allow by default.
MAX_BUDGET_SECONDS = 3600.0


def make_report(record: RunRecord, attempt: Attempt) -> RunReport:
    """Return the report about a run that an entry may receive.

    Only a withdrawn run is reported as `NOT_RUN`, since an accepted run may
    start at any moment.
    """
    execution = record.execution
    if (
        execution is Execution.NOT_RUN
        and record.state is not RunState.WITHDRAWN
    ):
        execution = Execution.UNKNOWN
    return RunReport(
        request_id=record.request_id,
        attempt=attempt,
        state=record.state,
        execution=execution,
    )


def retention_deadline(offer: Offer, now: float) -> float:
    """Return the time after which no packet about a request can arrive.

    A suspended entry may send an offer long after posting it, as if it were
    new. A non-idempotent request is therefore remembered for the longest
    budget, and at least until its caller's key is too old to run.
    """
    if offer.idempotent:
        return now + max(offer.budget, 0) + MAX_PACKET_AGE_SECONDS
    retention = MAX_BUDGET_SECONDS + MAX_PACKET_AGE_SECONDS
    return now + max(retention, KEY_RETENTION_SECONDS)


def make_declined(
    offer: Offer,
    reason: RefusalReason,
    execution: Execution,
    retry_after: float = 0,
) -> Declined:
    """Return the message that declines an attempt."""
    return Declined(
        request_id=offer.request_id,
        attempt=offer.attempt,
        reason=reason,
        retry_after=retry_after,
        execution=execution,
    )


def without_payload(offer: Offer) -> Offer:
    """Return a copy without the prompt, which may be several megabytes."""
    fields = {
        name: getattr(offer, name)
        for name in Offer.__struct_fields__
        if name != 'payload'
    }
    return Offer(payload=b'', **fields)


def unknown_id_refusal(offer: Offer) -> Declined | None:
    """Return why an offer with an id not in the ledger may not run."""
    if not offer.bound:
        return None
    # The reservation was either used and dropped from the ledger, or it
    # expired long ago. Only an expired one certainly did not run.
    return make_declined(
        offer,
        RefusalReason.RESERVATION_EXPIRED,
        Execution.UNKNOWN,
    )


def can_withdraw(record: RunRecord, owner: Owner | None) -> bool:
    """Return whether a run can still be prevented from starting."""
    if record.state is RunState.ACCEPTED:
        return record.owner == owner
    started = record.execution is not Execution.NOT_RUN
    return not (started or record.in_progress)
