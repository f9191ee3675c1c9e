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
from .placement import PrefixPlacement
from .placement_base import PlacementDecision
from .requests import RequestView
from .scheduler import Dispatch, Draw, Refusal
from .service_queue import SCAN_FLOWS, Lane, ServiceQueue

Decision = Dispatch | Refusal


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
            waiting = lane.queue.peek()
            if waiting is None:
                return
            refusal = self._too_late(queue, lane, waiting, now)
            if refusal is not None:
                decisions.append(refusal)
                continue
            chosen = self._place(queue, waiting.request, now)
            if chosen.endpoint is None:
                lane.queue.skip()
                skipped += 1
                continue
            lane.queue.take(waiting)
            lane.drain.note_sent(waiting.cost)
            decisions.append(self._send(waiting, chosen, now))

    def _too_late(
        self,
        queue: ServiceQueue,
        lane: Lane,
        waiting: Waiting,
        now: float,
    ) -> Refusal | None:
        """Give up a request that misses its target while others wait.

        The penalty is owed whether or not it is served. Serving it makes those
        behind it late as well, and so on for as long as the queue lasts.
        """
        request = waiting.request
        prefill = queue.speed.prefill_seconds(request.prompt_tokens)
        if now + prefill <= target_time(request) or lane.queue.count == 1:
            return None
        if prefill >= request.target_seconds:
            return None
        self.backlog.leave(request.request_id)
        estimate = queue.estimate(waiting, now)
        return Refusal(
            request.request_id,
            RefusalReason.OVERLOADED,
            retry_seconds(estimate.queue_seconds, self.draw),
            _late_words(request, now, prefill),
        )

    def _place(
        self,
        queue: ServiceQueue,
        request: RequestView,
        now: float,
    ) -> PlacementDecision:
        chosen = self.placement.place(request, queue.pool, now, self.draw)
        if chosen.endpoint is not None:
            return chosen
        if request.band != PromptBand.HUGE and queue.pool.open:
            return self.fallback.place(request, queue.pool, now, self.draw)
        return chosen

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
            priority=PRIORITY[request.band],
            members=chosen.members,
            reason=chosen.reason.value,
        )


def _late_words(request: RequestView, now: float, prefill: float) -> str:
    waited = now - request.arrival
    target = request.target_seconds
    return (
        f'waited {waited:.2f} s, its prompt takes {prefill:.2f} s, '
        f'its target is {target:.2f} s'
    )


def _lease_tokens(request: RequestView) -> int:
    return 0 if request.kind == EndpointKind.PLAIN else request.lease_tokens
