"""In which order the requests of one workspace are served.

Load pattern: chat turns of a thousand tokens that arrive beside
reconciliations of up to a million, all of the same workspace.

Without it: first come, first served lets a chat turn wait for every long
prompt before it; shortest first lets a long prompt wait for ever while chat
turns keep coming.

A request is ranked by a point in time: its arrival plus its target for the
first token, stretched by its band. The point never moves, and requests that
come later get later points, so that any request is overtaken only by those
that arrive within its own stretched target: this is the ageing that bounds
every wait.
"""

from collections.abc import Mapping
from types import MappingProxyType

from ..settings import PolicySettings
from ..states import PromptBand
from .requests import RequestView

#: How many times its target a request of a band may be put behind, at a short
#: emphasis of 1. A prompt of the next band is about ten times as long, and its
#: prefill too; doubling per band lets a tenth of its extra time be spent on
#: shorter requests and still ends a long one within eight targets.
STRETCH: Mapping[PromptBand, float] = MappingProxyType(
    {
        PromptBand.SHORT: 1,
        PromptBand.MEDIUM: 2,
        PromptBand.LONG: 4,
        PromptBand.HUGE: 8,
    },
)
#: Targets that rank a request without one of its own, in seconds: several
#: times the prefill of the longest prompt of the band at 20,000 tokens a
#: second (0.2, 1.6, 5 and 50 s), and no more than a guest waits for a chat.
RANKING_SECONDS: Mapping[PromptBand, float] = MappingProxyType(
    {
        PromptBand.SHORT: 2,
        PromptBand.MEDIUM: 6,
        PromptBand.LONG: 20,
        PromptBand.HUGE: 120,
    },
)
#: Part of the long work's share of the fleet that is given up at a short
#: emphasis of 1. Half of it left long prompts too few engines: of eight at 0.8
#: load, two were left, and prompts beyond 800,000 tokens missed their target.
YIELDED_SHARE = 0.25
#: Priority in the engine by band; lower is computed first.
PRIORITY: Mapping[PromptBand, int] = MappingProxyType(
    {band: position for position, band in enumerate(PromptBand)},
)


def due_time(request: RequestView, short_emphasis: float) -> float:
    """Return the point in time by which a request is ranked, in seconds.

    Parameters
    ----------
    short_emphasis
        From 0 to 1. At 0 only the targets decide; at 1 the target of a
        medium, long or huge prompt counts two, four or eight times, so that
        shorter requests overtake it for that much longer. It also narrows
        the part of the fleet that long work may hold, see `long_work_share`.
    """
    target = request.target_seconds or RANKING_SECONDS[request.band]
    return request.arrival + target * STRETCH[request.band] ** short_emphasis


def long_work_share(policy: PolicySettings) -> float:
    """Return the part of the fleet that long work may hold."""
    return policy.long_work_share * (1 - YIELDED_SHARE * policy.short_emphasis)


def target_time(request: RequestView) -> float:
    """Return by when the first token is committed to; infinity if not."""
    if request.target_seconds > 0:
        return request.arrival + request.target_seconds
    return float('inf')
