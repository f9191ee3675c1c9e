"""Whether a long prompt is read now, or its caller is asked to retry later.

Load pattern: a prompt of several hundred thousand tokens arrives while short
requests occupy most engines. Reading the prompt takes a minute of engine time,
however it is divided. Wherever it is read, streams pause and short requests
find no slot.

Without this, the prompt is spread over all engines at once, since this misses
the fewest objectives of all ways to read it. The prompt is late nevertheless,
and every answer on the engines pauses for seconds. The callers of these
answers disconnect and retry, and the fleet needs ten seconds to recover.

A prompt is read if its value for its caller is at least its interference with
other requests. Both are counted in objectives of short requests, as in plans.
A prompt whose reading alone takes longer than its caller waits has no value.
A rejected caller retries later, when the load may have changed.
"""

from .plan import ReadPlan, ReadRequest
from .read_plan import LATE_VALUE_FRACTION

#: Reading time up to which a prompt is always read, in milliseconds. Shorter
#: prompts delay about as many requests as they serve. If their value were
#: compared with the interference with requests that are late already, all
#: callers that retry after an outage would be rejected.
_ALWAYS_READ_MS = 500.0


def is_worth_reading(
    plan: ReadPlan,
    request: ReadRequest,
    read_ms: float,
) -> bool:
    """Return whether the value of a prompt covers its interference.

    Parameters
    ----------
    read_ms
        Time that one engine would need to read the prompt alone, in
        milliseconds.

    Examples
    --------
    >>> request = ReadRequest(
    ...     prompt_tokens=900_000, answer_tokens=900, objective_ms=3000,
    ... )
    >>> soon = ReadPlan(primary='e1', expected_ms=2000, interference=20)
    >>> late = ReadPlan(primary='e1', expected_ms=6000, interference=90)
    >>> is_worth_reading(soon, request, read_ms=70_000)
    True
    >>> is_worth_reading(late, request, read_ms=70_000)
    False
    """
    if read_ms <= _ALWAYS_READ_MS:
        return True
    if plan.part_ms >= request.limit_ms:
        return False
    is_late = plan.expected_ms > request.objective_ms
    value = request.weight * LATE_VALUE_FRACTION if is_late else request.weight
    return plan.interference <= value
