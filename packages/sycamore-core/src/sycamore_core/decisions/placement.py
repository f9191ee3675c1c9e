"""Where a request is sent.

Load pattern: conversations that come back with a longer prompt, a prompt
shared by many callers, bursts, and several entries that do not see what the
others send.

Without it: round robin computes each prompt again on every endpoint, and
sending to the endpoint that reported the least load makes all entries choose
the same one until its next report.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Self

from ..ids import BlockHash, EndpointId, ServiceId, ZoneId
from ..settings import FleetSettings
from ..states import EndpointKind, EndpointPhase, PromptBand
from .affinity import HOME_POSITION, HomeRing, Matches, PrefixIndex
from .costs import CostModel, new_tokens
from .long_limits import LongLimits
from .long_prompts import GroupPlan, GroupReason, plan_group
from .options import Option, Shortlist, is_usable
from .placement_base import Placement, PlacementDecision, PlacementReason
from .pool import Candidate, CandidatePool
from .requests import RequestView
from .reuse import ReuseRate
from .scheduler import Draw
from .views import EndpointView

#: When to look again if nothing fits now, in seconds: the interval of load
#: reports, before which nothing new is known.
REPORT_SECONDS = 1.0
#: Part of a prompt that its home is presumed to cache if nothing is known.
#: With eight entries 0.8 and 0.95 came out alike, 0.5 behind.
HOME_BELIEF = 0.8
#: What a second of computing counts beside a second of waiting, less 1: it
#: also delays those who come later. The weight is shared by all that use the
#: prefix, since one more holder of a hot prefix serves many.
WASTE_WEIGHT = 2.0


class RoundRobinPlacement(Placement):
    """Sends to the live endpoints in turn; the naive baseline."""

    def __init__(self) -> None:
        self.turn = 0

    def place(
        self,
        request: RequestView,
        candidates: Sequence[Candidate],
        now: float,
        draw: Draw,
    ) -> PlacementDecision:
        """Choose the next live endpoint."""
        start = self.turn
        self.turn += 1
        for number in range(start, start + len(candidates)):
            view = candidates[number % len(candidates)].view
            if view.phase == EndpointPhase.LIVE:
                return PlacementDecision(
                    endpoint=view.endpoint,
                    reason=PlacementReason.IN_TURN,
                    new_tokens=request.prompt_tokens,
                )
        return _waits(PlacementReason.NO_ENDPOINT)


class PrefixPlacement(Placement):
    """Weighs cached prefixes against load, memory and zone crossings.

    The options are endpoints that cache the prompt, the home of its hash, and
    two drawn at random; the one with the least expected time to first token
    wins, where computing what is cached elsewhere counts more than waiting.

    Parameters
    ----------
    settings
        The tree in force.
    zone
        Zone of this entry; endpoints elsewhere cost the way there and back.
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
        """Take a newer settings tree into force; what was learnt stays."""
        self.long_work_share = settings.policy.long_work_share
        self.costs = CostModel(self.zone, settings)
        self.limits.clear()

    def learn(self, view: EndpointView, now: float) -> None:
        """Take the cache events that an endpoint has reported.

        They may be late and incomplete: a block that is not named stays
        believed until its record is too old.
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
        """Choose the endpoint with the least expected time to first token."""
        pool = CandidatePool.from_candidates(candidates)
        limits = self._limits(request.service, pool, now)
        matches = self.index.matches(request.prefix_blocks, now)
        shortlist = Shortlist(request, pool, matches, draw)
        is_long = _is_long(request, limits)
        if is_long:
            shortlist.fits = limits.allow
        self._fill(shortlist)
        if shortlist.found:
            return self._decide(request, shortlist.found, matches, now)
        if is_long:
            return self._long_decision(request, pool, limits)
        return _must_wait(pool)

    def _long_decision(
        self,
        request: RequestView,
        pool: CandidatePool,
        limits: LongLimits,
    ) -> PlacementDecision:
        if request.lease_tokens > limits.largest_span:
            return _group_decision(plan_group(request, pool, limits))
        if request.lease_tokens > limits.tokens or not limits.engines:
            return _waits(PlacementReason.LONG_WORK_FULL)
        return _must_wait(pool)

    def _limits(
        self,
        service: ServiceId,
        pool: CandidatePool,
        now: float,
    ) -> LongLimits:
        # Summing up hundreds of endpoints for each request would cost more
        # than the rest; what is summed changes with the reports only.
        known = self.limits.get(service)
        if known is None or now - known.seen_at >= REPORT_SECONDS:
            known = LongLimits.from_candidates(pool, self.long_work_share, now)
            self.limits[service] = known
        return known

    def _fill(self, shortlist: Shortlist) -> None:
        blocks = shortlist.request.prefix_blocks
        if blocks:
            came_back = shortlist.matches.deepest > HOME_POSITION + 1
            self.reuse.note(came_back=came_back)
            belief = 0 if came_back else HOME_BELIEF * self.reuse.belief
            presumed = int(len(blocks) * belief)
            shortlist.add_holders()
            homes = self.ring.homes(blocks, shortlist.pool)
            shortlist.add_homes(homes, presumed)
        shortlist.add_sample()
        if not shortlist.found:
            shortlist.add_any()

    def _decide(
        self,
        request: RequestView,
        options: Mapping[EndpointId, Option],
        matches: Matches,
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
        weight = 1 + WASTE_WEIGHT / max(1, matches.uses)
        endpoint = min(
            estimates,
            key=lambda name: estimates[name].weighed_seconds(weight),
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


def _reason(chosen: Option, options: Iterable[Option]) -> PlacementReason:
    if chosen.matched_blocks < max(one.matched_blocks for one in options):
        return PlacementReason.SPILL
    return chosen.source


def _must_wait(pool: CandidatePool) -> PlacementDecision:
    if any(is_usable(candidate) for candidate in pool):
        return _waits(PlacementReason.MEMORY_FULL)
    return _waits(PlacementReason.NO_ENDPOINT)


def _group_decision(plan: GroupPlan) -> PlacementDecision:
    if plan.reason != GroupReason.FORMED:
        return _waits(PlacementReason(plan.reason.value))
    return PlacementDecision(
        endpoint=plan.leader,
        members=plan.members,
        reason=PlacementReason.GROUP,
    )


def _waits(reason: PlacementReason) -> PlacementDecision:
    return PlacementDecision(
        endpoint=None,
        reason=reason,
        retry_after=REPORT_SECONDS,
    )
