"""What each engine of a plan is noted to have."""

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
        By when the first event was promised, on the monotonic clock.
    """
    stored = dict(plan.stored)
    tokens = request.prompt_tokens + request.answer_tokens
    assignments = {
        helper: Assignment(
            read_ms=plan.part_ms,
            weight=request.weight,
            promised_at=promised_at,
            is_ahead=True,
            memory_tokens=stored.get(helper, 0),
            is_home=False,
        )
        for helper in plan.helpers
    }
    assignments[plan.home] = Assignment(
        read_ms=plan.part_ms,
        weight=request.weight,
        promised_at=promised_at,
        is_ahead=bool(plan.helpers),
        context_tokens=request.prompt_tokens,
        memory_tokens=max(0, tokens - sum(stored.values())),
        pause_ms=request.pause_ms,
    )
    return assignments
