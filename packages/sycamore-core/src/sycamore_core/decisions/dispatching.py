"""Sending of what waits to the endpoints that have room.

Load pattern: more waits than the endpoints have room for.

Without it: what is sent too early waits in an engine, where it can no longer
be overtaken, and what has missed its target takes the place of what could
still meet it.
"""

from ..ids import RequestId
from ..states import EndpointKind, PromptBand, RefusalReason
from .admission import retry_seconds
from .backlog import Backlog
from .endpoint_book import EndpointBook
from .flow import Waiting
from .least_loaded import LeastLoadedPlacement
from .ordering import PRIORITY, target_time
from .outstanding import Sent
from .pinned import POSTPONED_SECONDS, has_memory, refusal_of
from .placement import PrefixPlacement
from .placement_base import PlacementDecision, PlacementReason
from .requests import RequestView
from .scheduler import Dispatch, Draw, Refusal
from .service_queue import SCAN_FLOWS, Lane, ServiceQueue
from .tracked import TrackedPool

Decision = Dispatch | Refusal

_LONG_BANDS = frozenset((PromptBand.LONG, PromptBand.HUGE))
#: Reasons of a placement that follows no cached prefix.
_DRAWN = frozenset((PlacementReason.LEAST_LOADED, PlacementReason.HOME))


#: When to come back with a prompt that the engines cannot hold now, in seconds:
#: an engine that was restarted takes work again after some seconds.
TOO_LONG_SECONDS = 10.0


class Dispatcher:
    """Takes requests from the queues while endpoints have room.

    Parameters
    ----------
    placement
        Chooses among the endpoints; where it finds none although some are
        open, the least loaded of the open ones is taken.
    """

    def __init__(
        self,
        backlog: Backlog,
        endpoints: EndpointBook,
        placement: PrefixPlacement,
        draw: Draw,
    ) -> None:
        self.backlog = backlog
        self.endpoints = endpoints
        self.placement = placement
        self.fallback = LeastLoadedPlacement()
        self.draw = draw
        self.sent: dict[RequestId, Sent] = {}

    def drain(self, queue: ServiceQueue, now: float) -> list[Decision]:
        """Send what the endpoints of a service have room for."""
        decisions: list[Decision] = []
        for lane in queue.lanes_in_turn(now):
            if lane.is_blocked(queue.pool.version, now):
                continue
            self._drain_lane(queue, lane, now, decisions)
            lane.queue.restore()
            if lane.queue.count:
                lane.block(queue.pool.version, now)
        return decisions

    def give_up_late(self, waiting: Waiting, now: float) -> Refusal | None:
        """Give up a request that misses its target while others wait.

        The penalty is owed whether or not it is served. Serving it makes those
        behind it late as well, and so on for as long as the queue lasts.
        """
        request = waiting.request
        queue = self.backlog.service(request.service)
        prefill = queue.prefill_seconds(request)
        if waiting.spared or now + prefill < target_time(request):
            return None
        # Alone in its lane it delays nobody. One whose prefill is longer than
        # its target is late on an idle fleet too.
        alone = queue.lane_of(request).queue.count <= 1
        if alone or prefill >= request.target_seconds:
            waiting.spared = True
            return None
        self.backlog.leave(request.request_id)
        estimate = queue.estimate(waiting, now)
        return Refusal(
            request.request_id,
            RefusalReason.OVERLOADED,
            retry_seconds(estimate.queue_seconds, self.draw),
            _late_words(request, now, prefill),
        )

    def recall(self, request_id: RequestId) -> Sent | None:
        """Return a request that is over at its endpoints; None if unknown."""
        sent = self.sent.pop(request_id, None)
        if sent is not None:
            workspace = sent.waiting.request.workspace
            self.backlog.usage.of(workspace).running -= 1
            self.endpoints.note_gone(sent)
        return sent

    def _drain_lane(
        self,
        queue: ServiceQueue,
        lane: Lane,
        now: float,
        decisions: list[Decision],
    ) -> None:
        skipped = 0
        while queue.pool.open and skipped < SCAN_FLOWS:
            head = lane.queue.peek()
            if head is None:
                return
            decision = self._try_head(queue, lane, head, now)
            if decision is not None:
                decisions.append(decision)
                continue
            if queue.holds_lane(head.request, now):
                return
            skipped += lane.queue.skip(head)

    def _try_head(
        self,
        queue: ServiceQueue,
        lane: Lane,
        head: Waiting,
        now: float,
    ) -> Decision | None:
        """Send the head whose turn it is, or that to which it is lent."""
        waiting = lane.queue.borrowed(now) or head
        refusal = self._refusal_of(waiting, queue, now)
        if refusal is not None:
            return refusal
        chosen = self._place(queue, waiting.request, now)
        if chosen.endpoint is None:
            if chosen.reason == PlacementReason.PROMPT_TOO_LONG:
                return self._refuse_too_long(waiting.request)
            if chosen.reason == PlacementReason.PINNED:
                self.backlog.postpone(waiting, now + POSTPONED_SECONDS)
            return None
        lane.queue.take(waiting)
        lane.drain.note_sent(waiting.cost)
        return self._send(waiting, chosen, now)

    def _refuse_too_long(self, request: RequestView) -> Refusal:
        """Give up what all engines that are there could not hold together.

        It would wait until its time limit for engines that are away, and
        with it its lane. Its caller can come back when they are.
        """
        self.backlog.leave(request.request_id)
        return Refusal(
            request.request_id,
            RefusalReason.PROMPT_TOO_LONG,
            TOO_LONG_SECONDS,
            'the engines that take work could not hold it together',
        )

    def _refusal_of(
        self,
        waiting: Waiting,
        queue: ServiceQueue,
        now: float,
    ) -> Refusal | None:
        refusal = refusal_of(waiting.request, queue.pool)
        if refusal is None:
            return self.give_up_late(waiting, now)
        self.backlog.leave(refusal.request_id)
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
        if chosen.endpoint is None or self._meets_long(queue.pool, chosen):
            return self.fallback.place(request, queue.pool, now, self.draw)
        return chosen

    def _meets_long(self, pool: TrackedPool, chosen: PlacementDecision) -> bool:
        """Tell whether a prompt drew an engine busy with a long one.

        Two engines drawn at random are both among the half that computes long
        prompts once in five times, which one sees in the p95 of short ones.
        """
        if chosen.reason not in _DRAWN or not pool.calm:
            return False
        return pool.calm.find(chosen.endpoint) is None

    def _send(
        self,
        waiting: Waiting,
        chosen: PlacementDecision,
        now: float,
    ) -> Dispatch:
        request = waiting.request
        parts = len(chosen.members) + 1
        sent = Sent(
            waiting=waiting,
            endpoint=chosen.endpoint,
            members=chosen.members,
            new_tokens=chosen.new_tokens or request.prompt_tokens // parts,
            lease_tokens=_lease_tokens(request) // parts,
            sent_at=now,
        )
        self.backlog.leave(request.request_id)
        self.sent[request.request_id] = sent
        usage = self.backlog.usage.of(request.workspace)
        usage.running += 1
        usage.add(_lease_tokens(request), now)
        self.endpoints.note_sent(sent)
        if request.band == PromptBand.HUGE:
            # What long work may still take is summed up once a second; a
            # second prompt in that second would be judged by the old sum.
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


def engine_priority(waiting: Waiting) -> int:
    """Return the priority in the engine; lower is served first.

    A request that nothing of its workspace was before goes before those of
    its band that had to queue: its workspace has not used its share.
    """
    beyond_share = 0 if waiting.within_share else 1
    return 2 * PRIORITY[waiting.request.band] + beyond_share


def _late_words(request: RequestView, now: float, prefill: float) -> str:
    waited = now - request.arrival
    target = request.target_seconds
    return (
        f'waited {waited:.2f} s, its prompt takes {prefill:.2f} s, '
        f'its target is {target:.2f} s'
    )


def _lease_tokens(request: RequestView) -> int:
    return 0 if request.kind == EndpointKind.PLAIN else request.lease_tokens
