"""Requests that only one endpoint may run.

Load pattern: a request that must not run twice is sent again with an id that
an endpoint process has issued, or with an idempotency key of the caller.

Without pinning, such a request is placed like any other and may run at an
endpoint whose ledger does not contain the first run. A deposit would then be
recorded twice.
"""

from ..states import EndpointPhase, RefusalReason
from .pool import Candidate, CandidatePool
from .requests import RequestView
from .scheduler import Refusal

#: Delay before a request that found no memory at its endpoint is placed again,
#: in seconds: a tenth of the interval of load reports.
PLACEMENT_RETRY_SECONDS = 0.1
#: `retry_after` of a request whose endpoint accepts no work, in seconds. A
#: restart takes seconds; a drained endpoint does not return.
_RETRY_AFTER_SECONDS = 5.0


def pinned_refusal(request: RequestView, pool: CandidatePool) -> Refusal | None:
    """Return a refusal if the endpoint of a pinned request cannot run it."""
    endpoint = request.pinned_to
    if endpoint is None:
        return None
    candidate = pool.find(endpoint)
    if candidate is None or candidate.view.phase != EndpointPhase.LIVE:
        return Refusal(
            request.request_id,
            RefusalReason.NO_ENDPOINT,
            _RETRY_AFTER_SECONDS,
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
    """Return whether the endpoint has the memory, regardless of its queue.

    The request cannot run elsewhere, so waiting at the entry has no benefit.
    """
    view = candidate.view
    return not view.capacity_tokens or request.lease_tokens <= view.free_tokens
