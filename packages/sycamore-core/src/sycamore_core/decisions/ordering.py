"""Order in which the requests of one workspace are served.

Load pattern: short requests of 1,000 tokens mixed with prompts of up to a
million tokens, all of the same workspace.

First come, first served makes a short request wait for every long prompt before
it. Shortest first makes a long prompt wait forever while short requests keep
arriving.

Requests are ordered by due time: the arrival plus the target for the first
token times a factor of the band. The due time never changes, and later
requests of a band get later due times. A request is therefore overtaken only by
requests that arrive within its own multiplied target. This aging bounds every
wait.
"""

from collections.abc import Mapping
from types import MappingProxyType

from ..settings import PolicySettings
from ..states import PromptBand
from .requests import RequestView

#: Factor of the target by band, at a short emphasis of 1. Prompts of the next
#: band are about ten times as long, as is their prefill. Doubling per band
#: leaves a tenth of this extra time to shorter requests, and a huge prompt
#: still ends within eight targets.
TARGET_FACTORS: Mapping[PromptBand, float] = MappingProxyType(
    {
        PromptBand.SHORT: 1,
        PromptBand.MEDIUM: 2,
        PromptBand.LONG: 4,
        PromptBand.HUGE: 8,
    },
)
#: Targets used to order requests without a target, in seconds: several times
#: the prefill of the longest prompt of the band at 20,000 tokens per second
#: (0.2, 1.6, 5 and 50 s), and no longer than a chat user waits.
DEFAULT_TARGET_SECONDS: Mapping[PromptBand, float] = MappingProxyType(
    {
        PromptBand.SHORT: 2,
        PromptBand.MEDIUM: 6,
        PromptBand.LONG: 20,
        PromptBand.HUGE: 120,
    },
)
#: Reduction of the fleet share of long work at a short emphasis of 1, as a
#: fraction. At a load of 0.8, a reduction by half leaves two of eight engines
#: to long prompts, and prompts beyond 800,000 tokens miss their target.
EMPHASIS_REDUCTION = 0.25
#: Priority in the engine by band; a lower value is computed first.
ENGINE_PRIORITIES: Mapping[PromptBand, int] = MappingProxyType(
    {band: position for position, band in enumerate(PromptBand)},
)


def due_time(request: RequestView, short_emphasis: float) -> float:
    """Return the time by which a request is ordered, in seconds.

    Parameters
    ----------
    short_emphasis
        Emphasis on short requests, from 0 to 1. At 0 only the targets decide.
        At 1 the target of a medium, long or huge prompt is multiplied by two,
        four or eight, so that shorter requests overtake the prompt for longer.
        The emphasis also reduces the part of the fleet for long work, see
        `long_work_share`.
    """
    target = request.target_seconds or DEFAULT_TARGET_SECONDS[request.band]
    return (
        request.arrival
        + target * TARGET_FACTORS[request.band] ** short_emphasis
    )


def long_work_share(policy: PolicySettings) -> float:
    """Return the fraction of the fleet that long work may use."""
    return policy.long_work_share * (
        1 - EMPHASIS_REDUCTION * policy.short_emphasis
    )


def target_time(request: RequestView) -> float:
    """Return the target time of the first token; infinity without one."""
    if request.target_seconds > 0:
        return request.arrival + request.target_seconds
    return float('inf')
