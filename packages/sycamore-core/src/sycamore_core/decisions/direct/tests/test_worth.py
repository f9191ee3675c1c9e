"""Huge prompts that come while short turns fill the engines."""

import msgspec

from ..plan import ReadPlan, ReadRequest
from ..pressure import Pressure
from ..read_plan import plan_read
from ..worth import is_worth_reading
from .builders import COSTS, archive, chatting, idle

HUGE = archive(900_000)
BURST = Pressure(turns_per_s=40, stay_seconds=2)
CALM = Pressure(turns_per_s=10, stay_seconds=1.7)


def is_read(
    request: ReadRequest,
    plan: ReadPlan | None,
) -> bool:
    assert plan is not None
    read_ms = COSTS.read_ms(request.prompt_tokens)
    return is_worth_reading(plan, request, read_ms)


def test_huge_prompt_comes_back_after_a_burst() -> None:
    """Turns come at two and a half times their rate, and an archive comes.

    Spread over all engines it is late all the same, some hundred answers
    pause for seconds, and their callers leave and ask again.
    """
    plan = plan_read(HUGE, chatting(13, writers=7), COSTS, BURST)
    assert not is_read(HUGE, plan)


def test_huge_prompt_is_read_where_engines_idle() -> None:
    """The same archive comes in a calm minute: nobody else is harmed."""
    fleet = [*idle(14), *chatting(4)]
    assert is_read(HUGE, plan_read(HUGE, fleet, COSTS, CALM))


def test_long_prompts_of_every_day_are_read() -> None:
    """A mean archive comes beside turns at their usual rate."""
    request = archive(154_000)
    fleet = [*idle(10), *chatting(6)]
    assert is_read(request, plan_read(request, fleet, COSTS, CALM))


def test_short_report_is_read_though_its_caller_comes_late() -> None:
    """A caller comes back after an outage; its objective has passed.

    Weighed like an archive, every report would be sent away for good as all
    callers come back at once.
    """
    request = archive(40_000, objective_ms=-2000)
    plan = plan_read(request, chatting(13, writers=6), COSTS, BURST)
    assert is_read(request, plan)


def test_prompt_whose_caller_leaves_before_it_is_read_is_refused() -> None:
    """An archive comes back with little of its caller's time left.

    Read all the same, it keeps engines busy for seconds, and its caller has
    left before the first event.
    """
    request = msgspec.structs.replace(HUGE, objective_ms=-3000, limit_ms=2500)
    fleet = [*idle(14), *chatting(4)]
    assert not is_read(request, plan_read(request, fleet, COSTS, CALM))
