"""The work that a plan assigns to each of its engines."""

from ...ids import EndpointId
from .engine_work import Assignment
from .plan import ReadPlan, ReadRequest


def assignments_of(
    plan: ReadPlan,
    request: ReadRequest,
    promised_at: float,
) -> dict[EndpointId, Assignment]:
    """Return the work of each engine that takes part in a plan.

    Parameters
    ----------
    promised_at
        Time at which the first event is due, on the monotonic clock.
    """
    helper_tokens = dict(plan.helper_tokens)
    tokens = request.prompt_tokens + request.answer_tokens
    assignments = {
        helper: Assignment(
            read_ms=plan.part_ms,
            weight=request.weight,
            promised_at=promised_at,
            is_ahead=True,
            memory_tokens=helper_tokens.get(helper, 0),
            is_primary=False,
        )
        for helper in plan.helpers
    }
    assignments[plan.primary] = Assignment(
        read_ms=plan.part_ms,
        weight=request.weight,
        promised_at=promised_at,
        is_ahead=bool(plan.helpers),
        context_tokens=request.prompt_tokens,
        memory_tokens=max(0, tokens - sum(helper_tokens.values())),
        pause_ms=request.pause_ms,
    )
    return assignments
