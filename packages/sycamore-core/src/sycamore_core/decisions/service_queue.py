"""The queues and the endpoints of one service.

Load pattern: short, long and huge prompts of many workspaces on the same
engines.

Without separate lanes, a huge prompt at the head of the queue of a workspace
blocks its short requests until an engine has memory for the prompt.

A lane is a separate fair queue for prompts of similar length. The lane of the
shortest prompts is served first until the head of a longer lane has waited a
fraction of its target. Then the longer lane is urgent and is served first, so
that no lane starves.
"""

import enum
from collections.abc import Mapping
from types import MappingProxyType

from ..settings import PolicySettings
from ..states import PromptBand
from .admission import WaitEstimate
from .estimates import DrainRate, SpeedEstimate
from .fair_share import FairQueue
from .flow import WaitingRequest
from .lending import LendingRule
from .ordering import (
    DEFAULT_TARGET_SECONDS,
    due_time,
    long_work_share,
    target_time,
)
from .requests import RequestView
from .tracked import PREFILL_WINDOW_SECONDS, TrackedPool

#: Fraction of its target for which the head of a longer lane yields to shorter
#: lanes at a short emphasis of 1. The other half of the target is left for the
#: prefill of the head.
MAX_YIELD_FRACTION = 0.5
#: Number of flows that are skipped at most in search of a head that fits.
MAX_SCANNED_FLOWS = 8


class LaneName(enum.StrEnum):
    """Classes of prompts with separate queues."""

    SHORT = 'short'
    LONG = 'long'
    HUGE = 'huge'


LANE_OF_BAND: Mapping[PromptBand, LaneName] = MappingProxyType(
    {
        PromptBand.SHORT: LaneName.SHORT,
        PromptBand.MEDIUM: LaneName.SHORT,
        PromptBand.LONG: LaneName.LONG,
        PromptBand.HUGE: LaneName.HUGE,
    },
)


#: Pause of a lane after no head could be placed, in seconds. An attempt of the
#: longest lane examines every endpoint. An attempt of the shortest lane
#: examines a few, and a pause there would increase the time to first token.
PAUSE_SECONDS: Mapping[LaneName, float] = MappingProxyType(
    {
        LaneName.SHORT: 0,
        LaneName.LONG: 0.05,
        LaneName.HUGE: 0.05,
    },
)


class Lane:
    """Requests of similar length, with their drain rate.

    Parameters
    ----------
    pause
        Time without attempts after no head could be placed, in seconds.

    Attributes
    ----------
    blocked_version
        Version of the pool at which no head could be placed; -1 if none.
    blocked_until
        End of the current pause, in seconds.
    """

    def __init__(self, lending: LendingRule, pause: float) -> None:
        self.queue = FairQueue(lending)
        self.pause = pause
        self.drain = DrainRate()
        self.blocked_version = -1
        self.blocked_until: float = 0

    def is_blocked(self, version: int, now: float) -> bool:
        """Return whether another attempt to place a head would be useless."""
        return version == self.blocked_version or now < self.blocked_until

    def block(self, version: int, now: float) -> None:
        """Record that no head could be placed."""
        self.blocked_version = version
        self.blocked_until = now + self.pause

    def push(self, waiting: WaitingRequest) -> None:
        """Queue a request, and unblock the lane after its current pause.

        The new request may fit even if the others do not.
        """
        self.queue.push(waiting)
        self.blocked_version = -1


class ServiceQueue:
    """The waiting requests of one service and its endpoints."""

    def __init__(self, policy: PolicySettings) -> None:
        self.policy = policy
        self.pool = TrackedPool()
        self.speed = SpeedEstimate()
        self.lending = LendingRule(policy.floor_share)
        self.lanes = {
            name: Lane(self.lending, pause)
            for name, pause in PAUSE_SECONDS.items()
        }

    def update_policy(self, policy: PolicySettings) -> None:
        """Apply a new policy; queued requests keep their places."""
        self.policy = policy
        self.lending.floor_share = policy.floor_share

    @property
    def waiting(self) -> int:
        """Number of requests in all lanes."""
        return sum(lane.queue.count for lane in self.lanes.values())

    def lane_of(self, request: RequestView) -> Lane:
        """Return the lane of a request."""
        return self.lanes[LANE_OF_BAND[request.band]]

    def build_waiting(
        self,
        request: RequestView,
        attempt: int = 1,
    ) -> WaitingRequest:
        """Return a request with its due time and cost."""
        due = due_time(request, self.policy.short_emphasis)
        return WaitingRequest(
            request=request,
            due=due,
            promised_at=min(due, target_time(request)),
            cost=self.speed.cost(request, request.prompt_tokens),
            attempt=attempt,
        )

    def estimate(self, waiting: WaitingRequest, now: float) -> WaitEstimate:
        """Return the times expected for a request if it were queued now."""
        request = waiting.request
        lane = self.lane_of(request)
        flow = lane.queue.flow_of(request.workspace, request.weight)
        share = lane.queue.share(flow)
        own_fraction = 1 - flow.lent_fraction
        rate = (
            share * own_fraction * lane.drain.rate(self._endpoints_of(request))
        )
        prefill = self.prefill_seconds(request)
        return WaitEstimate(
            ahead=flow.cost_before(waiting.promised_at),
            rate=rate,
            tightness=flow.tightness(rate, now),
            rank=flow.record_rank(waiting.density),
            first_token_seconds=prefill + PREFILL_WINDOW_SECONDS,
            answer_seconds=self.speed.answer_seconds(request),
            share=share,
        )

    def prefill_seconds(self, request: RequestView) -> float:
        """Return the prefill time without a cached prefix, in seconds."""
        return self.speed.prefill_seconds(request.prompt_tokens)

    def record_refused(self, request: RequestView, now: float) -> None:
        """Record when admission last refused a request of the workspace."""
        queue = self.lane_of(request).queue
        queue.flow_of(request.workspace, request.weight).refused_at = now

    def lanes_by_urgency(self, now: float) -> list[Lane]:
        """Return the lanes with waiting requests, urgent lanes first."""
        urgent: list[Lane] = []
        other: list[Lane] = []
        for lane in self.lanes.values():
            head = lane.queue.peek()
            if head is None:
                continue
            if self._is_urgent(head.request, now):
                urgent.append(lane)
            else:
                other.append(lane)
        return urgent + other

    def blocks_lane(self, request: RequestView, now: float) -> bool:
        """Return whether a head that fits nowhere blocks the rest of its lane.

        An urgent huge prompt blocks its lane, because enough memory for it
        becomes free only if smaller prompts do not use the memory first.
        Without this, prompts of a million tokens miss their targets while
        prompts of 200,000 tokens overtake them.
        """
        if LANE_OF_BAND[request.band] != LaneName.HUGE:
            return False
        return self._is_urgent(request, now)

    def observe(self, now: float) -> None:
        """Update the drain rates of the lanes."""
        for name, lane in self.lanes.items():
            if lane.queue.count:
                lane.drain.observe(now, self._endpoints_in(name))
            else:
                lane.drain.reset()

    def _is_urgent(self, request: RequestView, now: float) -> bool:
        if LANE_OF_BAND[request.band] == LaneName.SHORT:
            return False
        target = request.target_seconds or DEFAULT_TARGET_SECONDS[request.band]
        yield_seconds = self.policy.short_emphasis * MAX_YIELD_FRACTION * target
        return now >= request.arrival + yield_seconds

    def _endpoints_of(self, request: RequestView) -> float:
        return self._endpoints_in(LANE_OF_BAND[request.band])

    def _endpoints_in(self, name: LaneName) -> float:
        if name == LaneName.SHORT:
            return self.pool.total_weight()
        return self.pool.total_weight() * long_work_share(self.policy)
