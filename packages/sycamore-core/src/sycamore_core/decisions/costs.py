"""How long a request is expected to wait for its first token at an endpoint.

Load pattern: reports that are a second or more old, and queues of prompts
whose lengths differ a thousandfold, so that counting requests says little.

Without it: an endpoint with one prompt of a million tokens looks idler than
one with three chat turns.
"""

import msgspec

from ..ids import RegionId, ZoneId
from ..settings import FleetSettings
from ..states import EndpointKind
from .pool import Candidate
from .requests import RequestView
from .views import ASSUMED_RATE

#: Time assumed for one call of a plain service before its first report.
ASSUMED_CALL_SECONDS = 0.05
#: What each running sequence adds to a step, in seconds: 2.7 ms, published
#: for sequences of about 113,000 tokens.
SEQUENCE_SECONDS = 0.0027
#: Two crossings between zones of 1.5 ms each, in seconds.
ZONE_SECONDS = 0.003
#: Two crossings between regions, in seconds. The distances were not supplied;
#: 80 ms is the usual round trip over an ocean.
REGION_SECONDS = 0.08


class Estimate(msgspec.Struct, frozen=True):
    """What a request would meet at an endpoint.

    Attributes
    ----------
    wait_seconds
        Time until what is queued there is computed.
    compute_seconds
        Time to compute the part of the prompt that is not cached.
    crossing_seconds
        Time on the way there and back.
    """

    wait_seconds: float
    compute_seconds: float
    crossing_seconds: float

    @property
    def total_seconds(self) -> float:
        """Expected time to first token."""
        return self.weighed_seconds(1)

    def weighed_seconds(self, compute_weight: float) -> float:
        """Return the total with the computing counted more than once."""
        computing = self.compute_seconds * compute_weight
        return self.wait_seconds + computing + self.crossing_seconds


class CostModel:
    """Estimates, as seen from one zone."""

    def __init__(self, zone: ZoneId, settings: FleetSettings) -> None:
        self.zone = zone
        self.region = settings.zones.get(zone, RegionId(''))
        self.settings = settings

    def estimate(
        self,
        request: RequestView,
        candidate: Candidate,
        matched_blocks: int,
    ) -> Estimate:
        """Return what the request would meet at an endpoint."""
        view = candidate.view
        crossing = self._crossing(view.zone)
        if view.kind == EndpointKind.PLAIN:
            call = view.step_seconds or ASSUMED_CALL_SECONDS
            ahead = view.running + view.waiting + candidate.sent_requests
            return Estimate(ahead * call, call, crossing)
        rate = view.service_rate or ASSUMED_RATE
        queued = view.backlog_tokens + candidate.sent_new_tokens
        batch = view.running + candidate.sent_requests
        return Estimate(
            queued / rate + batch * SEQUENCE_SECONDS,
            new_tokens(request, matched_blocks) / rate,
            crossing,
        )

    def _crossing(self, zone: ZoneId) -> float:
        if zone == self.zone:
            return 0
        if self.settings.zones.get(zone) == self.region:
            return ZONE_SECONDS
        return REGION_SECONDS


def new_tokens(request: RequestView, matched_blocks: int) -> int:
    """Return the tokens of a prompt that are not cached.

    The last token is always computed, as it yields the first output.
    """
    blocks = len(request.prefix_blocks)
    if not blocks or not matched_blocks:
        return request.prompt_tokens
    missing = request.prompt_tokens * (blocks - matched_blocks) // blocks
    return max(1, missing)
