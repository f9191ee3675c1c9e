"""Requests that only one endpoint may run.

Load pattern: ids that an endpoint process has minted, and callers' own keys,
by which a request that must not run twice is sent again.

Without it: such a request is placed like any other, runs at an endpoint whose
ledger does not know that it has run before, and a deposit is recorded twice.
"""

from ..states import EndpointPhase, RefusalReason
from .pool import Candidate, CandidatePool
from .requests import RequestView
from .scheduler import Refusal

#: When a request that found no memory at its endpoint is tried again, in
#: seconds: a tenth of the interval of load reports.
POSTPONED_SECONDS = 0.1
#: When to come back if its endpoint takes no work, in seconds: a restart takes
#: seconds, and a drained endpoint does not come back at all.
_COME_BACK_SECONDS = 5.0


def refusal_of(request: RequestView, pool: CandidatePool) -> Refusal | None:
    """Return why the endpoint of a pinned request cannot run it, if so."""
    endpoint = request.pinned_to
    if endpoint is None:
        return None
    candidate = pool.find(endpoint)
    if candidate is None or candidate.view.phase != EndpointPhase.LIVE:
        return Refusal(
            request.request_id,
            RefusalReason.NO_ENDPOINT,
            _COME_BACK_SECONDS,
            f'only {endpoint} may run it, and takes no work',
        )
    capacity = candidate.view.capacity_tokens
    if 0 < capacity < request.lease_tokens:
        return Refusal(
            request.request_id,
            RefusalReason.PROMPT_TOO_LONG,
            0,
            f'only {endpoint} may run it, and holds {capacity} tokens',
        )
    return None


def has_memory(candidate: Candidate, request: RequestView) -> bool:
    """Tell whether the endpoint has memory, however long its queue is.

    The request cannot go elsewhere, so nothing is won by keeping it here.
    """
    view = candidate.view
    return not view.capacity_tokens or request.lease_tokens <= view.free_tokens
