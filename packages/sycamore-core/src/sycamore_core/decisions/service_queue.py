"""The queues and the endpoints of one service.

Load pattern: chat turns, long prompts and the longest on the same engines, of
many workspaces.

Without separate lanes, the longest prompt at the head of a workspace's queue
holds back its chat turns until an engine has memory for it.

A lane is a fair queue of its own for prompts of like length. The lane of the
shortest prompts goes first, until the head of a longer lane has waited its part
of its target: from then on it is urgent and goes first, so that no lane starves
another.
"""

import enum
from collections.abc import Mapping
from types import MappingProxyType

from ..settings import PolicySettings
from ..states import PromptBand
from .admission import WaitEstimate
from .estimates import DrainRate, SpeedEstimate
from .fair_share import FairQueue
from .flow import Waiting
from .lending import LendingRule
from .ordering import RANKING_SECONDS, due_time, long_work_share, target_time
from .requests import RequestView
from .tracked import WINDOW_SECONDS, TrackedPool

#: Part of its target that the head of a longer lane waits behind shorter ones
#: at a short emphasis of 1; the other half is left for its prefill.
YIELDED_PART = 0.5
#: Flows looked at for a head that fits when the first ones do not.
SCAN_FLOWS = 8


class LaneName(enum.StrEnum):
    """Classes of prompts that queue for themselves."""

    SHORT = 'short'
    LONG = 'long'
    HUGE = 'huge'


LANES: Mapping[PromptBand, LaneName] = MappingProxyType(
    {
        PromptBand.SHORT: LaneName.SHORT,
        PromptBand.MEDIUM: LaneName.SHORT,
        PromptBand.LONG: LaneName.LONG,
        PromptBand.HUGE: LaneName.HUGE,
    },
)


#: How long a lane pauses after a try in vain, in seconds. A try of the longest
#: lane looks at every endpoint; one of the shortest looks at a few, and a pause
#: would be seen in the time to first token.
PAUSES: Mapping[LaneName, float] = MappingProxyType(
    {
        LaneName.SHORT: 0,
        LaneName.LONG: 0.05,
        LaneName.HUGE: 0.05,
    },
)


class Lane:
    """Requests of like length and how fast they are sent.

    Parameters
    ----------
    pause
        How long no head is tried again after none fitted, in seconds.
    """

    def __init__(self, lending: LendingRule, pause: float) -> None:
        self.queue = FairQueue(lending)
        self.pause = pause
        self.drain = DrainRate()
        self.blocked_version = -1
        self.blocked_until: float = 0

    def is_blocked(self, version: int, now: float) -> bool:
        """Tell whether nothing has changed since the last vain try."""
        return version == self.blocked_version or now < self.blocked_until

    def block(self, version: int, now: float) -> None:
        """Note that no head fits anywhere."""
        self.blocked_version = version
        self.blocked_until = now + self.pause

    def push(self, waiting: Waiting) -> None:
        """Queue a request, which may fit where the heads so far did not."""
        self.queue.push(waiting)
        self.blocked_version = -1


class ServiceQueue:
    """What waits for one service and where it may go."""

    def __init__(self, policy: PolicySettings) -> None:
        self.policy = policy
        self.pool = TrackedPool()
        self.speed = SpeedEstimate()
        self.lending = LendingRule(policy.floor_share)
        self.lanes = {
            name: Lane(self.lending, pause) for name, pause in PAUSES.items()
        }

    def update_policy(self, policy: PolicySettings) -> None:
        """Take another policy; what waits keeps its place."""
        self.policy = policy
        self.lending.floor_share = policy.floor_share

    @property
    def waiting(self) -> int:
        """Number of requests in all lanes."""
        return sum(lane.queue.count for lane in self.lanes.values())

    def lane_of(self, request: RequestView) -> Lane:
        """Return the lane of a request."""
        return self.lanes[LANES[request.band]]

    def rank(self, request: RequestView, attempt: int = 1) -> Waiting:
        """Return a request with its place and cost."""
        due = due_time(request, self.policy.short_emphasis)
        return Waiting(
            request=request,
            due=due,
            promised=min(due, target_time(request)),
            cost=self.speed.cost(request, request.prompt_tokens),
            attempt=attempt,
        )

    def estimate(self, waiting: Waiting, now: float) -> WaitEstimate:
        """Return what a request would meet if it were queued now."""
        request = waiting.request
        lane = self.lane_of(request)
        flow = lane.queue.flow_of(request.workspace, request.weight)
        share = lane.queue.share(flow)
        kept = 1 - flow.lent_part
        rate = share * kept * lane.drain.rate(self._endpoints_of(request))
        prefill = self.prefill_seconds(request)
        return WaitEstimate(
            ahead=flow.cost_before(waiting.promised),
            rate=rate,
            tightness=flow.tightness(rate, now),
            rank=flow.rank(waiting.density),
            first_token_seconds=prefill + WINDOW_SECONDS,
            answer_seconds=self.speed.answer_seconds(request),
            share=share,
        )

    def prefill_seconds(self, request: RequestView) -> float:
        """Return the time to compute a prompt that nothing is cached of."""
        return self.speed.prefill_seconds(request.prompt_tokens)

    def note_refused(self, request: RequestView, now: float) -> None:
        """Note that a request was refused for want of room in its share."""
        queue = self.lane_of(request).queue
        queue.flow_of(request.workspace, request.weight).refused_at = now

    def lanes_in_turn(self, now: float) -> list[Lane]:
        """Return the lanes that have work, urgent ones first."""
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

    def holds_lane(self, request: RequestView, now: float) -> bool:
        """Tell whether others of its lane wait for a head that fits nowhere.

        What the longest prompt needs comes free only if smaller long ones do
        not take each part of it first. Without this, those of a million
        tokens miss their targets while those of 200,000 pass them by.
        """
        if LANES[request.band] != LaneName.HUGE:
            return False
        return self._is_urgent(request, now)

    def observe(self, now: float) -> None:
        """Measure the rates at which the lanes drain."""
        for name, lane in self.lanes.items():
            if lane.queue.count:
                lane.drain.observe(now, self._endpoints_in(name))
            else:
                lane.drain.rest()

    def _is_urgent(self, request: RequestView, now: float) -> bool:
        if LANES[request.band] == LaneName.SHORT:
            return False
        target = request.target_seconds or RANKING_SECONDS[request.band]
        yielded = self.policy.short_emphasis * YIELDED_PART * target
        return now >= request.arrival + yielded

    def _endpoints_of(self, request: RequestView) -> float:
        return self._endpoints_in(LANES[request.band])

    def _endpoints_in(self, name: LaneName) -> float:
        if name == LaneName.SHORT:
            return self.pool.live()
        return self.pool.live() * long_work_share(self.policy)
