"""Placement by load alone, among the open endpoints.

Load pattern: a fleet so full that two endpoints drawn at random are closed.

Without this fallback, the few open endpoints are not found and stay idle until
one of them is drawn by chance.
"""

from collections.abc import Sequence

from ..states import EndpointKind, PromptBand
from .placement_base import Placement, PlacementDecision, PlacementReason
from .pool import Candidate
from .requests import RequestView
from .scheduler import Draw
from .tracked import TrackedCandidate, TrackedPool

#: Number of endpoints drawn for each request. Two already keep the longest
#: queue close to the mean. Four halve the mean queue that a request meets and
#: cost a few microseconds more.
SAMPLE_SIZE = 4
#: Step time added by each running sequence, in seconds: the slope of the
#: published fit.
SEQUENCE_SECONDS = 0.0027
#: Time of a step shared with a long prefill, in seconds: a chunk of 4,096
#: tokens at 20,000 tokens per second.
CHUNK_SECONDS = 0.2
#: Delay before the next attempt if no endpoint is open, in seconds.
RETRY_SECONDS = 0.1


class LeastLoadedPlacement(Placement):
    """Chooses the least loaded endpoint of a random sample of open ones."""

    def place(
        self,
        request: RequestView,
        candidates: Sequence[Candidate],
        now: float,
        draw: Draw,
    ) -> PlacementDecision:
        """Choose among the open endpoints of a `TrackedPool`."""
        if not isinstance(candidates, TrackedPool) or not candidates.open:
            return _no_endpoint(PlacementReason.MEMORY_FULL)
        sampled = _sample(candidates.open_without_long or candidates.open, draw)
        fitting = [
            candidate
            for candidate in sampled
            if candidate.has_capacity(request)
        ]
        if not fitting and request.band != PromptBand.SHORT:
            fitting = [
                candidate
                for candidate in candidates.open
                if candidate.has_capacity(request)
            ]
        if not fitting:
            return _no_endpoint(PlacementReason.MEMORY_FULL)
        best = min(fitting, key=_seconds_ahead)
        return PlacementDecision(
            endpoint=best.view.endpoint,
            reason=PlacementReason.LEAST_LOADED,
            new_tokens=request.prompt_tokens,
        )


def _sample(
    candidates: Sequence[TrackedCandidate],
    draw: Draw,
) -> list[TrackedCandidate]:
    size = len(candidates)
    if size <= SAMPLE_SIZE:
        return list(candidates)
    positions = [int(draw() * size) for _ in range(SAMPLE_SIZE)]
    return [candidates[min(position, size - 1)] for position in positions]


def _seconds_ahead(candidate: TrackedCandidate) -> float:
    queued = candidate.pending[0] / candidate.rate
    requests = candidate.request_count
    if candidate.view.kind == EndpointKind.PLAIN:
        return float(requests)
    # A step shared with a long prefill takes as long as one prefill chunk.
    beside_long = 0 if candidate.has_no_long_prompt else CHUNK_SECONDS
    return queued + requests * SEQUENCE_SECONDS + beside_long


def _no_endpoint(reason: PlacementReason) -> PlacementDecision:
    return PlacementDecision(
        endpoint=None,
        reason=reason,
        retry_after=RETRY_SECONDS,
    )
