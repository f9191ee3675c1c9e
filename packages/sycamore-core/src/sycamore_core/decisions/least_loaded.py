"""Placement by load alone, among the endpoints that are open.

Load pattern: a fleet so full that two endpoints drawn at random are closed.

Without it: the few open endpoints are not found, and stay idle until chance
finds them.
"""

from collections.abc import Sequence

from ..states import EndpointKind, PromptBand
from .placement_base import Placement, PlacementDecision, PlacementReason
from .pool import Candidate
from .requests import RequestView
from .scheduler import Draw
from .tracked import TrackedCandidate, TrackedPool

#: Endpoints drawn for each request. Two already keep the fullest from being
#: much above the mean; four cost a few microseconds more and see half as much
#: of the mean queue.
CHOICES = 4
#: What a running sequence adds to the step of a new one, in seconds; the slope
#: of the published fit.
SEQUENCE_SECONDS = 0.0027
#: Time of a step beside a long prefill, in seconds: a chunk of 4,096 tokens at
#: 20,000 a second.
CHUNK_SECONDS = 0.2
#: When to look again if nothing is open, in seconds.
RETRY_SECONDS = 0.1


class LeastLoadedPlacement(Placement):
    """Chooses the least loaded of a few open endpoints."""

    def place(
        self,
        request: RequestView,
        candidates: Sequence[Candidate],
        now: float,
        draw: Draw,
    ) -> PlacementDecision:
        """Choose among the open endpoints of a `TrackedPool`."""
        if not isinstance(candidates, TrackedPool) or not candidates.open:
            return _nothing(PlacementReason.MEMORY_FULL)
        drawn = _drawn(candidates.calm or candidates.open, draw)
        fitting = [one for one in drawn if one.has_room(request)]
        if not fitting and request.band != PromptBand.SHORT:
            fitting = [one for one in candidates.open if one.has_room(request)]
        if not fitting:
            return _nothing(PlacementReason.MEMORY_FULL)
        best = min(fitting, key=_seconds_ahead)
        return PlacementDecision(
            endpoint=best.view.endpoint,
            reason=PlacementReason.LEAST_LOADED,
            new_tokens=request.prompt_tokens,
        )


def _drawn(
    candidates: Sequence[TrackedCandidate],
    draw: Draw,
) -> list[TrackedCandidate]:
    size = len(candidates)
    if size <= CHOICES:
        return list(candidates)
    positions = [int(draw() * size) for _ in range(CHOICES)]
    return [candidates[min(position, size - 1)] for position in positions]


def _seconds_ahead(candidate: TrackedCandidate) -> float:
    queued = candidate.pending[0] / candidate.rate
    requests = candidate.present
    if candidate.view.kind == EndpointKind.PLAIN:
        return float(requests)
    # Each step beside a long prefill lasts as long as one chunk of it.
    beside_long = 0 if candidate.is_calm else CHUNK_SECONDS
    return queued + requests * SEQUENCE_SECONDS + beside_long


def _nothing(reason: PlacementReason) -> PlacementDecision:
    return PlacementDecision(
        endpoint=None,
        reason=reason,
        retry_after=RETRY_SECONDS,
    )
