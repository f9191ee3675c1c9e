"""Huge prompts that arrive while short requests occupy the engines."""

import msgspec

from ..plan import ReadPlan, ReadRequest
from ..pressure import PredictedDemand
from ..read_plan import plan_read
from ..worth import is_worth_reading
from .builders import COSTS, generating_engines, idle_engines, long_request

HUGE = long_request(900_000)
BURST_DEMAND = PredictedDemand(short_requests_per_s=40, slot_seconds=2)
USUAL_DEMAND = PredictedDemand(short_requests_per_s=10, slot_seconds=1.7)


def is_read(
    request: ReadRequest,
    plan: ReadPlan | None,
) -> bool:
    assert plan is not None
    read_ms = COSTS.read_ms(request.prompt_tokens)
    return is_worth_reading(plan, request, read_ms)


def test_huge_prompt_is_refused_during_a_burst() -> None:
    """A huge prompt arrives while short requests come at 2.5 times their rate.

    Spread over all engines, the prompt would be late nevertheless. About a
    hundred answers would pause for seconds, and their callers would disconnect
    and retry.
    """
    plan = plan_read(
        HUGE, generating_engines(13, writers=7), COSTS, BURST_DEMAND
    )
    assert not is_read(HUGE, plan)


def test_huge_prompt_is_read_by_idle_engines() -> None:
    """At the usual rate, the same prompt delays no other request."""
    fleet = [*idle_engines(14), *generating_engines(4)]
    assert is_read(HUGE, plan_read(HUGE, fleet, COSTS, USUAL_DEMAND))


def test_long_prompt_of_mean_length_is_read() -> None:
    """Short requests arrive at their usual rate meanwhile."""
    request = long_request(154_000)
    fleet = [*idle_engines(10), *generating_engines(6)]
    assert is_read(request, plan_read(request, fleet, COSTS, USUAL_DEMAND))


def test_shorter_prompt_past_its_objective_is_read() -> None:
    """A caller retries after an outage, past the objective of its request.

    If shorter prompts were refused like huge ones, all of them would be
    refused each time, because all callers retry at once.
    """
    request = long_request(40_000, objective_ms=-2000)
    plan = plan_read(
        request, generating_engines(13, writers=6), COSTS, BURST_DEMAND
    )
    assert is_read(request, plan)


def test_prompt_that_outlasts_its_caller_is_refused() -> None:
    """A huge prompt is retried with little of its caller's time left.

    The prompt would occupy engines for seconds, and its caller would have
    disconnected before the first event.
    """
    request = msgspec.structs.replace(HUGE, objective_ms=-3000, limit_ms=2500)
    fleet = [*idle_engines(14), *generating_engines(4)]
    assert not is_read(request, plan_read(request, fleet, COSTS, USUAL_DEMAND))
