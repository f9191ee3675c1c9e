"""Sending of waiting requests to endpoints that have capacity.

Load pattern: more requests wait than the endpoints have capacity for.

Without this control, a request that is sent too early waits in an engine, where
more urgent requests can no longer overtake it. Without the refusal of late
requests, a request that has missed its target delays requests that can still
meet theirs.
"""

from ..ids import RequestId
from ..states import EndpointKind, PromptBand, RefusalReason
from .admission import retry_seconds
from .backlog import Backlog
from .endpoint_book import EndpointRegistry
from .flow import WaitingRequest
from .least_loaded import LeastLoadedPlacement
from .ordering import ENGINE_PRIORITIES, target_time
from .outstanding import SentRequest
from .pinned import PLACEMENT_RETRY_SECONDS, has_memory, pinned_refusal
from .placement import PrefixPlacement
from .placement_base import PlacementDecision, PlacementReason
from .requests import RequestView
from .scheduler import Dispatch, Draw, Refusal
from .service_queue import MAX_SCANNED_FLOWS, Lane, ServiceQueue
from .tracked import TrackedPool

Decision = Dispatch | Refusal

_LONG_BANDS = frozenset((PromptBand.LONG, PromptBand.HUGE))
#: Reasons of a placement that does not follow a cached prefix.
_PREFIX_FREE_REASONS = frozenset(
    (PlacementReason.LEAST_LOADED, PlacementReason.HOME),
)


#: Retry delay for a prompt that the live engines cannot hold together, in
#: seconds: a restarted engine accepts requests again after some seconds.
TOO_LONG_RETRY_SECONDS = 10.0


class Dispatcher:
    """Sends queued requests while endpoints have capacity.

    Parameters
    ----------
    placement
        Chooses among the endpoints. For short and medium prompts, the least
        loaded of a sample of the open endpoints is used instead if the
        placement finds none or chooses an engine with long work.
    """

    def __init__(
        self,
        backlog: Backlog,
        endpoints: EndpointRegistry,
        placement: PrefixPlacement,
        draw: Draw,
    ) -> None:
        self.backlog = backlog
        self.endpoints = endpoints
        self.placement = placement
        self.fallback = LeastLoadedPlacement()
        self.draw = draw
        self.sent: dict[RequestId, SentRequest] = {}

    def drain(self, queue: ServiceQueue, now: float) -> list[Decision]:
        """Send the requests that the endpoints of a service can accept."""
        decisions: list[Decision] = []
        for lane in queue.lanes_by_urgency(now):
            if lane.is_blocked(queue.pool.version, now):
                continue
            self._drain_lane(queue, lane, now, decisions)
            lane.queue.restore()
            if lane.queue.count:
                lane.block(queue.pool.version, now)
        return decisions

    def refuse_late(
        self,
        waiting: WaitingRequest,
        now: float,
    ) -> Refusal | None:
        """Refuse a request that misses its target while others wait.

        The penalty is owed whether or not the request is served. Serving the
        request makes later requests miss their targets as well, for as long as
        the queue is not empty.
        """
        request = waiting.request
        queue = self.backlog.service_queue(request.service)
        prefill = queue.prefill_seconds(request)
        if waiting.serve_late or now + prefill < target_time(request):
            return None
        # A request alone in its lane delays no other. A request whose prefill
        # is longer than its target is late on an idle fleet too.
        alone = queue.lane_of(request).queue.count <= 1
        if alone or prefill >= request.target_seconds:
            waiting.serve_late = True
            return None
        self.backlog.remove(request.request_id)
        estimate = queue.estimate(waiting, now)
        return Refusal(
            request.request_id,
            RefusalReason.OVERLOADED,
            retry_seconds(estimate.queue_seconds, self.draw),
            _late_message(request, now, prefill),
        )

    def pop_sent(self, request_id: RequestId) -> SentRequest | None:
        """Remove and return a sent request; None if unknown."""
        sent = self.sent.pop(request_id, None)
        if sent is not None:
            workspace = sent.waiting.request.workspace
            self.backlog.usage.usage_of(workspace).running -= 1
            self.endpoints.record_removed(sent)
        return sent

    def _drain_lane(
        self,
        queue: ServiceQueue,
        lane: Lane,
        now: float,
        decisions: list[Decision],
    ) -> None:
        skipped = 0
        while queue.pool.open and skipped < MAX_SCANNED_FLOWS:
            head = lane.queue.peek()
            if head is None:
                return
            decision = self._decide_head(queue, lane, head, now)
            if decision is not None:
                decisions.append(decision)
                continue
            if queue.blocks_lane(head.request, now):
                return
            skipped += lane.queue.skip(head)

    def _decide_head(
        self,
        queue: ServiceQueue,
        lane: Lane,
        head: WaitingRequest,
        now: float,
    ) -> Decision | None:
        """Send or refuse the head, or the request that borrows its turn.

        Return None if the request stays in the queue.
        """
        waiting = lane.queue.peek_borrower(now) or head
        refusal = self._check_refusal(waiting, queue, now)
        if refusal is not None:
            return refusal
        chosen = self._place(queue, waiting.request, now)
        if chosen.endpoint is None:
            if chosen.reason == PlacementReason.PROMPT_TOO_LONG:
                return self._refuse_too_long(waiting.request)
            if chosen.reason == PlacementReason.PINNED:
                self.backlog.postpone(waiting, now + PLACEMENT_RETRY_SECONDS)
            return None
        lane.queue.serve(waiting)
        lane.drain.record_sent(waiting.cost)
        return self._send(waiting, chosen, now)

    def _refuse_too_long(self, request: RequestView) -> Refusal:
        """Refuse a prompt that all live engines together cannot hold.

        Otherwise the request would wait for absent engines until its time
        limit and block its lane. The caller can retry when the engines are
        back.
        """
        self.backlog.remove(request.request_id)
        return Refusal(
            request.request_id,
            RefusalReason.PROMPT_TOO_LONG,
            TOO_LONG_RETRY_SECONDS,
            'the engines that take work could not hold it together',
        )

    def _check_refusal(
        self,
        waiting: WaitingRequest,
        queue: ServiceQueue,
        now: float,
    ) -> Refusal | None:
        refusal = pinned_refusal(waiting.request, queue.pool)
        if refusal is None:
            return self.refuse_late(waiting, now)
        self.backlog.remove(refusal.request_id)
        return refusal

    def _place(
        self,
        queue: ServiceQueue,
        request: RequestView,
        now: float,
    ) -> PlacementDecision:
        if request.pinned_to is not None:
            return _pinned_decision(request, queue.pool)
        chosen = self.placement.place(request, queue.pool, now, self.draw)
        if request.band in _LONG_BANDS or not queue.pool.open:
            return chosen
        if chosen.endpoint is None or self._has_long_work(queue.pool, chosen):
            return self.fallback.place(request, queue.pool, now, self.draw)
        return chosen

    def _has_long_work(
        self,
        pool: TrackedPool,
        chosen: PlacementDecision,
    ) -> bool:
        """Return whether an engine without a long prompt is preferable.

        This is the case if the chosen engine is busy with a long prompt, was
        not chosen for its cache, and another open engine has no long prompt.
        If half of the engines compute long prompts, both of two engines drawn
        at random do so in about one of five draws. This raises the p95 of the
        time to first token of short requests.
        """
        if (
            chosen.reason not in _PREFIX_FREE_REASONS
            or not pool.open_without_long
        ):
            return False
        return pool.open_without_long.find(chosen.endpoint) is None

    def _send(
        self,
        waiting: WaitingRequest,
        chosen: PlacementDecision,
        now: float,
    ) -> Dispatch:
        request = waiting.request
        parts = len(chosen.members) + 1
        sent = SentRequest(
            waiting=waiting,
            endpoint=chosen.endpoint,
            members=chosen.members,
            new_tokens=chosen.new_tokens or request.prompt_tokens // parts,
            lease_tokens=_lease_tokens(request) // parts,
            sent_at=now,
        )
        self.backlog.remove(request.request_id)
        self.sent[request.request_id] = sent
        usage = self.backlog.usage.usage_of(request.workspace)
        usage.running += 1
        usage.add(_lease_tokens(request), now)
        self.endpoints.record_sent(sent)
        if request.band == PromptBand.HUGE:
            # The limits of long work are computed once a second. The next
            # long prompt must not be placed by limits without this one.
            self.placement.limits.pop(request.service, None)
        return Dispatch(
            request.request_id,
            chosen.endpoint,
            priority=engine_priority(waiting),
            members=chosen.members,
            reason=chosen.reason.value,
        )


def _pinned_decision(
    request: RequestView,
    pool: TrackedPool,
) -> PlacementDecision:
    candidate = pool.find(request.pinned_to)
    fits = candidate is not None and has_memory(candidate, request)
    return PlacementDecision(
        endpoint=request.pinned_to if fits else None,
        reason=PlacementReason.PINNED,
        new_tokens=request.prompt_tokens,
    )


def engine_priority(waiting: WaitingRequest) -> int:
    """Return the priority in the engine; a lower value is served first.

    Within its band, a request that found the queue of its workspace empty goes
    before requests that had to queue, because its workspace has not used up its
    share.
    """
    beyond_share = 0 if waiting.within_share else 1
    return 2 * ENGINE_PRIORITIES[waiting.request.band] + beyond_share


def _late_message(request: RequestView, now: float, prefill: float) -> str:
    waited = now - request.arrival
    target = request.target_seconds
    return (
        f'waited {waited:.2f} s, its prompt takes {prefill:.2f} s, '
        f'its target is {target:.2f} s'
    )


def _lease_tokens(request: RequestView) -> int:
    return 0 if request.kind == EndpointKind.PLAIN else request.lease_tokens
