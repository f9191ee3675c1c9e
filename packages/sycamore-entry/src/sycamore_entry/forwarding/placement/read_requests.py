"""Parameters of requests that decide their placement, and their load."""

from sycamore_core.decisions.direct import (
    Assignment,
    ReadPlan,
    ReadRequest,
    assignments_of,
)
from sycamore_core.ids import EndpointId

from ..calls import AdmittedRequest

_MS = 1000.0


def make_read_request(call: AdmittedRequest, now: float) -> ReadRequest:
    """Return the parameters of a request that decide its placement."""
    terms = call.terms
    return ReadRequest(
        prompt_tokens=terms.prompt_tokens,
        answer_tokens=terms.answer_tokens,
        objective_ms=(call.objective_at - now) * _MS,
        pause_ms=call.route.pause_objective * _MS,
        limit_ms=max(1, (call.deadline - now) * _MS),
        importance=call.importance,
    )


def make_assignments(
    call: AdmittedRequest, plan: ReadPlan, now: float
) -> dict[EndpointId, Assignment]:
    """Return the work of a request at the endpoints of its plan."""
    request = make_read_request(call, now)
    return assignments_of(plan, request, call.objective_at)
