"""Whether the known load explains that a prompt has not been read yet.

Load pattern: a fifth of the engines accept requests and never answer them,
while they serve other requests and look healthy. At the same time, long
prompts are delayed by parts of later prompts, as far as their objectives
allow.

Without this, a prompt whose answer was expected within a tenth of a second
waits for nearly half of its caller's time before another engine is tried. Most
prompts that are late are only queued behind others and would be no sooner
elsewhere.

Parts that were sent later are reported within milliseconds. If they explain
the delay, the prompt stays at its engines. Otherwise it can still be read
elsewhere within its objective.
"""

from collections.abc import Iterable

from ...ids import EndpointId, RequestId
from ...routing import EngineCosts
from .engine_work import request_key
from .load_registry import LoadRegistry
from .pass_forecast import PassForecast, nominal_forecast

#: Remaining time up to which a prompt counts as overdue, in milliseconds: two
#: passes of an engine that generates.
_OVERDUE_MS = 120.0


def is_overdue(
    request_id: RequestId,
    members: Iterable[EndpointId],
    registry: LoadRegistry,
    costs: EngineCosts,
    now: float,
) -> bool:
    """Return whether a prompt should have been read by now.

    Parameters
    ----------
    members
        The engines that read the prompt.
    now
        Monotonic time, in seconds.
    """
    return (
        remaining_ms(request_id, members, registry, costs, now) <= _OVERDUE_MS
    )


def remaining_ms(
    request_id: RequestId,
    members: Iterable[EndpointId],
    registry: LoadRegistry,
    costs: EngineCosts,
    now: float,
) -> float:
    """Return the time until a prompt is read by the known load, in ms.

    Parameters
    ----------
    members
        The engines that read the prompt.
    now
        Monotonic time, in seconds.
    """
    key = request_key(request_id)
    return max(
        _remaining_ms(nominal_forecast(registry.load(member, now), costs), key)
        for member in members
    )


def _remaining_ms(forecast: PassForecast, key: str) -> float:
    """Return the expected time until a part is read, in milliseconds."""
    for prompt, done_ms in zip(forecast.waiting, forecast.done_ms, strict=True):
        if prompt.key == key:
            return done_ms
    return forecast.next_intake_ms
