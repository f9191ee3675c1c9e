"""What may be said of a run, and for how long it has to be remembered."""

from sycamore_core.ids import Attempt
from sycamore_core.messages import Declined, Offer, RunReport
from sycamore_core.states import Execution, RefusalReason, RunState
from sycamore_core.transport.ages import MAX_PACKET_AGE_SECONDS

from ..keys.doubt import REMEMBERED_SECONDS
from .records import Owner, RunRecord

#: Budget assumed for an id of which only a withdrawal was seen, in seconds:
#: the longest time limit that settings allow by default.
LONGEST_BUDGET_SECONDS = 3600.0


def report_of(record: RunRecord, attempt: Attempt) -> RunReport:
    """Return what an entry may be told of a run.

    `NOT_RUN` only of what is barred; what is accepted may start any moment.
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


def horizon(offer: Offer, now: float) -> float:
    """Return when no packet about a request can arrive any more.

    An entry that was paused may send an offer long after it posted it, as if
    it were new. What may not run twice is therefore remembered for the
    longest budget, and a caller's key until it is too old to be run.
    """
    if offer.idempotent:
        return now + max(offer.budget, 0) + MAX_PACKET_AGE_SECONDS
    kept = LONGEST_BUDGET_SECONDS + MAX_PACKET_AGE_SECONDS
    return now + max(kept, REMEMBERED_SECONDS)


def declined(
    offer: Offer,
    reason: RefusalReason,
    execution: Execution,
    retry_after: float = 0,
) -> Declined:
    """Return that an attempt may not run, and what is known of it."""
    return Declined(
        request_id=offer.request_id,
        attempt=offer.attempt,
        reason=reason,
        retry_after=retry_after,
        execution=execution,
    )


def without_payload(offer: Offer) -> Offer:
    """Return an offer whose prompt is not kept: it may be megabytes."""
    fields = {
        name: getattr(offer, name)
        for name in Offer.__struct_fields__
        if name != 'payload'
    }
    return Offer(payload=b'', **fields)


def unknown_refusal(offer: Offer) -> Declined | None:
    """Return why an offer may not run of which the ledger knows nothing."""
    if not offer.bound:
        return None
    # The reservation was used and forgotten, or ran out long ago. Only the
    # second would allow to say that it was not run.
    return declined(
        offer,
        RefusalReason.RESERVATION_EXPIRED,
        Execution.UNKNOWN,
    )


def can_bar(record: RunRecord, owner: Owner | None) -> bool:
    """Return whether a run can be kept from ever starting."""
    if record.state is RunState.ACCEPTED:
        return record.owner == owner
    started = record.execution is not Execution.NOT_RUN
    return not (started or record.in_progress)
