"""Expected time to first token of a request at an endpoint.

Load pattern: reports that are a second or more old, and queues of prompts
whose lengths differ by a factor of 1,000, so that the number of requests is a
poor measure of load.

Without these estimates, an endpoint with one prompt of a million tokens looks
less loaded than an endpoint with three short requests.
"""

import msgspec

from ..ids import RegionId, ZoneId
from ..settings import FleetSettings
from ..states import EndpointKind
from .pool import Candidate
from .requests import RequestView
from .views import ASSUMED_PREFILL_RATE

#: Time of one call of a plain service before its first report, in seconds.
ASSUMED_CALL_SECONDS = 0.05
#: Step time added by each running sequence, in seconds; published for
#: sequences of about 113,000 tokens.
SEQUENCE_SECONDS = 0.0027
#: Round trip between zones, in seconds: 1.5 ms each way.
ZONE_ROUND_TRIP_SECONDS = 0.003
#: Round trip between regions, in seconds. The distances are not known; 80 ms is
#: the usual round trip across an ocean.
REGION_ROUND_TRIP_SECONDS = 0.08


class LatencyEstimate(msgspec.Struct, frozen=True):
    """Expected time to first token of a request at an endpoint, by component.

    Attributes
    ----------
    wait_seconds
        Time until the prompts queued there are computed, in seconds.
    compute_seconds
        Time to compute the part of the prompt that is not cached, in seconds.
    network_seconds
        Network round trip to the endpoint, in seconds.
    """

    wait_seconds: float
    compute_seconds: float
    network_seconds: float

    @property
    def total_seconds(self) -> float:
        """Expected time to first token, in seconds."""
        return self.weighted_seconds(1)

    def weighted_seconds(self, compute_weight: float) -> float:
        """Return the total with the compute time multiplied by a weight."""
        computing = self.compute_seconds * compute_weight
        return self.wait_seconds + computing + self.network_seconds


class CostModel:
    """Estimates the time to first token for an entry in one zone."""

    def __init__(self, zone: ZoneId, settings: FleetSettings) -> None:
        self.zone = zone
        self.region = settings.zones.get(zone, RegionId(''))
        self.settings = settings

    def estimate(
        self,
        request: RequestView,
        candidate: Candidate,
        matched_blocks: int,
    ) -> LatencyEstimate:
        """Return the expected time to first token at an endpoint."""
        view = candidate.view
        network = self._network_seconds(view.zone)
        if view.kind == EndpointKind.PLAIN:
            call = view.step_seconds or ASSUMED_CALL_SECONDS
            ahead = view.running + view.waiting + candidate.sent_requests
            return LatencyEstimate(ahead * call, call, network)
        rate = view.service_rate or ASSUMED_PREFILL_RATE
        queued = view.backlog_tokens + candidate.sent_new_tokens
        batch = view.running + candidate.sent_requests
        return LatencyEstimate(
            queued / rate + batch * SEQUENCE_SECONDS,
            new_tokens(request, matched_blocks) / rate,
            network,
        )

    def _network_seconds(self, zone: ZoneId) -> float:
        if zone == self.zone:
            return 0
        if self.settings.zones.get(zone) == self.region:
            return ZONE_ROUND_TRIP_SECONDS
        return REGION_ROUND_TRIP_SECONDS


def new_tokens(request: RequestView, matched_blocks: int) -> int:
    """Return the tokens of a prompt that are not cached.

    The last token is always computed, because it yields the first output
    token.
    """
    blocks = len(request.prefix_blocks)
    if not blocks or not matched_blocks:
        return request.prompt_tokens
    missing = request.prompt_tokens * (blocks - matched_blocks) // blocks
    return max(1, missing)
