"""Whether a long prompt is read now, or its caller comes back later.

Load pattern: a prompt of several hundred thousand tokens comes while short
turns fill most engines. Reading it takes a minute of engine time, however it
is divided; wherever it is read, streams pause and turns find no slot.

Without it: the prompt is spread over all engines at once, as this breaks the
fewest promises of all ways to read it. It is late all the same, every answer
beside it pauses for seconds, their callers leave and ask again, and the fleet
needs ten seconds to recover.

A prompt is read if that is worth more to its caller than what it takes from
the others; both are counted in promises to short turns, as plans count them.
One whose reading alone takes longer than its caller waits is worth nothing.
A caller that is sent away comes back once the load may have changed.
"""

from .plan import ReadPlan, ReadRequest
from .read_plan import LATE_PART

#: Reading time up to which a prompt is always read, in milliseconds. Shorter
#: ones harm about as many as they serve, and to weigh them against callers who
#: are late already sends away whoever comes back after an outage.
_ALWAYS_READ_MS = 500.0


def is_worth_reading(
    plan: ReadPlan,
    request: ReadRequest,
    read_ms: float,
) -> bool:
    """Return whether a prompt is worth what its reading does to others.

    Parameters
    ----------
    read_ms
        Time that one engine would need to read it alone.

    Examples
    --------
    >>> request = ReadRequest(
    ...     prompt_tokens=900_000, answer_tokens=900, objective_ms=3000,
    ... )
    >>> soon = ReadPlan(home='e1', expected_ms=2000, harm=20)
    >>> late = ReadPlan(home='e1', expected_ms=6000, harm=90)
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
    worth = request.weight * LATE_PART if is_late else request.weight
    return plan.harm <= worth
