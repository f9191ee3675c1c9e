"""Latest times at which a waiting request can start.

Load pattern: see the package. A request that starts too late to be served
within its time limit occupies a slot without value, and its caller learns too
late that it has to retry.
"""

import msgspec

from ...routing import EngineCosts
from ..direct.read_plan import MAX_HELPERS, MIN_SPLIT_MS, OVERHEAD_MS

_MS = 1000.0


class StartForecast(msgspec.Struct, frozen=True, kw_only=True):
    """Shortest expected times of a request that is placed now, in seconds.

    Attributes
    ----------
    first_event_seconds
        Time until the first event.
    total_seconds
        Time until the end of the answer.
    """

    first_event_seconds: float
    total_seconds: float

    def objective_start(self, objective_at: float) -> float:
        """Return the latest start that meets an objective."""
        return objective_at - self.first_event_seconds

    def latest_start(self, deadline: float) -> float:
        """Return the latest start that meets a time limit."""
        return deadline - self.total_seconds


def forecast_start(
    costs: EngineCosts,
    prompt_tokens: int,
    answer_tokens: int,
    engines: int,
    slot_seconds: float,
) -> StartForecast:
    """Return the shortest expected times of a request.

    They are lower bounds, so that no request is given up that may succeed: the
    engines are assumed to be idle, and long prompts to be split evenly over as
    many engines as may take part.

    Parameters
    ----------
    answer_tokens
        Maximum length of the answer, in tokens.
    engines
        Number of engines that accept requests.
    slot_seconds
        Mean time for which a short request occupies its slot, in seconds. The
        answers of all kinds of requests are about equally long.

    Examples
    --------
    >>> costs = EngineCosts(
    ...     slots=8, memory_tokens=315_000, step_ms=0.85, writer_ms=0.0085,
    ...     context_ms=0.00285, read_tokens_per_ms=177, pair_ms=0.184,
    ...     pass_steps=51,
    ... )
    >>> short = forecast_start(costs, 5000, 1700, 45, slot_seconds=1.7)
    >>> round(short.first_event_seconds, 3), round(short.total_seconds, 2)
    (0.046, 1.53)
    """
    read_ms = costs.read_ms(prompt_tokens)
    if read_ms > MIN_SPLIT_MS:
        read_ms /= max(1, min(MAX_HELPERS + 1, engines))
    first_event = (read_ms + OVERHEAD_MS) / _MS
    step_ms = costs.pass_ms(1, prompt_tokens) / costs.pass_steps
    answer_seconds = min(slot_seconds, answer_tokens * step_ms / _MS)
    return StartForecast(
        first_event_seconds=first_event,
        total_seconds=first_event + answer_seconds,
    )


def is_worth_waiting(
    latest_start: float,
    now: float,
    expected_wait: float = 0,
) -> bool:
    """Return whether a request can still be served within its time limit.

    Late work has value, so that the objective does not matter here.

    Parameters
    ----------
    latest_start
        Latest start that meets the time limit, on the monotonic clock.
    expected_wait
        Expected wait for a slot, in seconds.

    Examples
    --------
    >>> is_worth_waiting(latest_start=12, now=10, expected_wait=1)
    True
    >>> is_worth_waiting(latest_start=12, now=10, expected_wait=3)
    False
    """
    return now + expected_wait <= latest_start
