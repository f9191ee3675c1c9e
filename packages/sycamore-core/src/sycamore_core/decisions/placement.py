"""Cache-aware placement of requests on endpoints.

Load pattern: conversations that return with a longer prompt, a prompt shared
by many callers, bursts, and several entries that do not know what the others
send.

Simpler methods fail under this load. Round robin computes each prompt again on
every endpoint. With the least loaded endpoint of the last reports, all entries
choose the same endpoint until its next report.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Self

from ..ids import BlockHash, EndpointId, ServiceId, ZoneId
from ..settings import FleetSettings
from ..states import EndpointKind, EndpointPhase, PromptBand
from .affinity import HOME_KEY_POSITION, HomeRing, PrefixIndex, PrefixMatches
from .costs import CostModel, new_tokens
from .long_limits import LongLimits
from .long_prompts import GroupPlan, GroupReason, plan_group
from .options import PlacementOption, Shortlist, accepts_work
from .placement_base import Placement, PlacementDecision, PlacementReason
from .pool import Candidate, CandidatePool
from .requests import RequestView
from .reuse import ReuseRate
from .scheduler import Draw
from .views import EndpointView

#: Delay before the next placement if no endpoint fits, in seconds: the interval
#: of load reports. The next report may show that an endpoint has capacity.
REPORT_SECONDS = 1.0
#: Share of a prompt that its home is assumed to cache if the index has no
#: record of the prompt. The home is the endpoint selected by the hash of the
#: first blocks. With eight entries, 0.8 and 0.95 gave equal results, and 0.5
#: was worse.
HOME_CACHED_SHARE = 0.8
#: Extra cost of a second of prefill compared with a second of waiting. Prefill
#: also delays later requests. The extra cost is divided by the number of uses
#: of the prefix: a further endpoint that caches a frequent prefix serves many
#: requests.
RECOMPUTE_WEIGHT = 2.0


class RoundRobinPlacement(Placement):
    """Round-robin placement on the live endpoints; the naive baseline."""

    def __init__(self) -> None:
        self.next_position = 0

    def place(
        self,
        request: RequestView,
        candidates: Sequence[Candidate],
        now: float,
        draw: Draw,
    ) -> PlacementDecision:
        """Choose the next live endpoint."""
        start = self.next_position
        self.next_position += 1
        for number in range(start, start + len(candidates)):
            view = candidates[number % len(candidates)].view
            if view.phase == EndpointPhase.LIVE:
                return PlacementDecision(
                    endpoint=view.endpoint,
                    reason=PlacementReason.IN_TURN,
                    new_tokens=request.prompt_tokens,
                )
        return _wait_decision(PlacementReason.NO_ENDPOINT)


class PrefixPlacement(Placement):
    """Placement by cached prefixes, load, memory and zone crossings.

    The options are endpoints that cache a prefix of the prompt, the home of
    the prompt (selected by hash), and two endpoints drawn at random. The option
    with the least expected time to first token is chosen. A second of prefill
    counts more than a second of waiting, see `RECOMPUTE_WEIGHT`.

    Parameters
    ----------
    settings
        The settings tree in force.
    zone
        Zone of this entry. Endpoints in other zones cost a longer round trip.
    """

    def __init__(self, settings: FleetSettings, zone: ZoneId) -> None:
        self.zone = zone
        self.index = PrefixIndex()
        self.ring = HomeRing()
        self.reuse = ReuseRate()
        self.limits: dict[ServiceId, LongLimits] = {}
        self.update_settings(settings)

    @classmethod
    def from_settings(cls, settings: FleetSettings, zone: ZoneId) -> Self:
        """Build the placement of an entry in `zone`."""
        return cls(settings, zone)

    def update_settings(self, settings: FleetSettings) -> None:
        """Apply a newer settings tree; the records of the index stay."""
        self.long_work_share = settings.policy.long_work_share
        self.costs = CostModel(self.zone, settings)
        self.limits.clear()

    def record_cached_blocks(self, view: EndpointView, now: float) -> None:
        """Record the cached blocks that an endpoint has reported.

        Cache events may be late and incomplete, so a block that is not
        reported stays in the index until its record expires.
        """
        for block in view.cached_blocks:
            self.index.record_block(BlockHash(block), view.endpoint, now)

    def place(
        self,
        request: RequestView,
        candidates: Sequence[Candidate],
        now: float,
        draw: Draw,
    ) -> PlacementDecision:
        """Choose an endpoint or a group, or none if the request must wait."""
        pool = CandidatePool.from_candidates(candidates)
        limits = self._limits(request.service, pool, now)
        matches = self.index.matches(request.prefix_blocks, now)
        shortlist = Shortlist(request, pool, matches, draw)
        is_long = _is_long(request, limits)
        if is_long:
            shortlist.fits = limits.allows
        self._add_options(shortlist)
        if shortlist.options:
            return self._choose_option(request, shortlist.options, matches, now)
        if is_long:
            return self._long_decision(request, pool, limits)
        return _wait_for_endpoint(pool)

    def _long_decision(
        self,
        request: RequestView,
        pool: CandidatePool,
        limits: LongLimits,
    ) -> PlacementDecision:
        if request.lease_tokens > limits.largest_span:
            return _group_decision(plan_group(request, pool, limits))
        if request.lease_tokens > limits.tokens or not limits.engines:
            return _wait_decision(PlacementReason.LONG_WORK_FULL)
        return _wait_for_endpoint(pool)

    def _limits(
        self,
        service: ServiceId,
        pool: CandidatePool,
        now: float,
    ) -> LongLimits:
        # Summing over hundreds of endpoints for each request would cost more
        # than the rest of the placement. The sums change only with reports.
        cached_limits = self.limits.get(service)
        if (
            cached_limits is None
            or now - cached_limits.seen_at >= REPORT_SECONDS
        ):
            cached_limits = LongLimits.from_candidates(
                pool, self.long_work_share, now
            )
            self.limits[service] = cached_limits
        return cached_limits

    def _add_options(self, shortlist: Shortlist) -> None:
        blocks = shortlist.request.prefix_blocks
        if blocks:
            # Prompts with a common instruction often match up to the block that
            # selects the home. A longer match shows that the prompt continues
            # an earlier prompt.
            is_repeat = shortlist.matches.longest_match > HOME_KEY_POSITION + 1
            self.reuse.record(is_repeat=is_repeat)
            cached_share = (
                0 if is_repeat else HOME_CACHED_SHARE * self.reuse.home_trust
            )
            assumed_blocks = int(len(blocks) * cached_share)
            shortlist.add_holders()
            homes = self.ring.homes(blocks, shortlist.pool)
            shortlist.add_homes(homes, assumed_blocks)
        shortlist.add_sample()
        if not shortlist.options:
            shortlist.add_any()

    def _choose_option(
        self,
        request: RequestView,
        options: Mapping[EndpointId, PlacementOption],
        matches: PrefixMatches,
        now: float,
    ) -> PlacementDecision:
        estimates = {
            endpoint: self.costs.estimate(
                request,
                option.candidate,
                option.matched_blocks,
            )
            for endpoint, option in options.items()
        }
        weight = 1 + RECOMPUTE_WEIGHT / max(1, matches.uses)
        endpoint = min(
            estimates,
            key=lambda name: estimates[name].weighted_seconds(weight),
        )
        chosen = options[endpoint]
        self.index.record(request.prefix_blocks, endpoint, now)
        return PlacementDecision(
            endpoint=endpoint,
            reason=_reason(chosen, options.values()),
            matched_blocks=chosen.matched_blocks,
            new_tokens=new_tokens(request, chosen.matched_blocks),
            expected_seconds=estimates[endpoint].total_seconds,
        )


def _is_long(request: RequestView, limits: LongLimits) -> bool:
    if request.kind == EndpointKind.PLAIN:
        return False
    if request.band == PromptBand.HUGE:
        return True
    return 0 < limits.largest_engine < request.lease_tokens


def _reason(
    chosen: PlacementOption, options: Iterable[PlacementOption]
) -> PlacementReason:
    if chosen.matched_blocks < max(option.matched_blocks for option in options):
        return PlacementReason.SPILL
    return chosen.source


def _wait_for_endpoint(pool: CandidatePool) -> PlacementDecision:
    if any(accepts_work(candidate) for candidate in pool):
        return _wait_decision(PlacementReason.MEMORY_FULL)
    return _wait_decision(PlacementReason.NO_ENDPOINT)


def _group_decision(plan: GroupPlan) -> PlacementDecision:
    if plan.reason != GroupReason.FORMED:
        return _wait_decision(PlacementReason(plan.reason.value))
    return PlacementDecision(
        endpoint=plan.leader,
        members=plan.members,
        reason=PlacementReason.GROUP,
    )


def _wait_decision(reason: PlacementReason) -> PlacementDecision:
    return PlacementDecision(
        endpoint=None,
        reason=reason,
        retry_after=REPORT_SECONDS,
    )
