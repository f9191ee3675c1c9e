"""The queue of requests that wait for a slot of a ranked service."""

import asyncio
import math

from sycamore_core.clock import Clock
from sycamore_core.decisions.waiting import (
    Claim,
    SlotYield,
    StartForecast,
    WaitingQueue,
    WaitingRequest,
    is_worth_waiting,
)
from sycamore_core.ids import EndpointId

from ..callers.refusals import Refusal, RefusalCause
from .dispatcher import Placement
from .free_slots import MAX_SEARCH_SECONDS, FreeSlots
from .queue_log import DequeueReason, QueueLog
from .slot_wait import SlotWait, UnplacedRequest
from .wait_policy import WaitPolicy
from .waiting_tasks import WaitingTasks, retry_time

#: Interval at which the order follows the shares of workspaces, in seconds.
#: Peers report their usage once a second.
_REFRESH_SECONDS = 0.1
#: Requests that are tried without success for one free slot. They differ in the
#: memory that they need or in the endpoints that they must not use.
_MAX_TRIES = 3
#: Added to the time of a timer, in seconds, so that it does not fire just
#: before the time that it was set for.
_TIMER_MARGIN_SECONDS = 0.001


class QueuedSlotWait(SlotWait):
    """Places the requests of one service in the order of their queue.

    A request is placed when a slot becomes free; there is no polling. Only one
    request is placed at a time: its load must be recorded before the next one
    is placed, or both would be sent to the same slot.

    Attributes
    ----------
    queue
        The waiting requests.
    slots
        The slots of the service.
    slot_yield
        Leaves slots to peers.
    tasks
        Places or refuses the waiting requests.
    """

    def __init__(
        self,
        slots: FreeSlots,
        slot_yield: SlotYield,
        policy: WaitPolicy,
        log: QueueLog,
    ) -> None:
        self.slots = slots
        self.slot_yield = slot_yield
        self.policy = policy
        self.log = log
        self.clock: Clock = slots.dispatcher.clock
        self.queue = WaitingQueue()
        self.tasks = WaitingTasks(self.queue, log, self.clock)
        self._is_scheduled = False
        self._is_handing_over = False
        self._refreshed_at = -math.inf
        self._timer: asyncio.TimerHandle | None = None

    async def place(self, request: UnplacedRequest) -> Placement:
        """Return endpoints for a request as soon as it is its turn."""
        began = self._now()
        retry_at = began
        if self._may_place_on_arrival(request, began):
            placement = request.place()
            if placement is not None:
                rank = request.call.rank
                self.queue.served.record(rank, began, is_served=True)
                return placement
            retry_at = retry_time(began, self._now())
        refusal = request.build_refusal()
        if refusal.cause != RefusalCause.OVERLOADED:
            raise refusal
        waiting = self._enqueue(request, refusal, retry_at)
        return await self.tasks.wait(waiting)

    def handle_change(self, endpoint: EndpointId) -> None:
        """Place waiting requests: an endpoint has changed or has less load.

        Peers learn at once of a slot that this entry has freed while requests
        wait there.
        """
        self.slots.record_change(endpoint)
        if self.queue:
            self.schedule()
        dispatcher = self.slots.dispatcher
        is_own = endpoint in dispatcher.loads.changed
        if is_own and self.slot_yield.has_claims(self._now()):
            dispatcher.has_unsent_load.set()

    def schedule(self) -> None:
        """Place waiting requests after the present event is handled."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._place_waiting)

    def refuse_all(self) -> int:
        """Refuse all waiting requests; return their number."""
        waiting = tuple(self.queue)
        for request in waiting:
            self.tasks.refuse(request, DequeueReason.STOPPING)
        return len(waiting)

    def _may_place_on_arrival(
        self,
        request: UnplacedRequest,
        now: float,
    ) -> bool:
        """Return whether a slot is free that no waiting request claims."""
        if self.queue or self._is_handing_over:
            return False
        call = request.call
        own = Claim(call.rank, is_late=now > call.objective_at, since=now)
        claims = self.slot_yield.count_claims(own, now)
        free = self.slots.find_free(claims + 1, now)
        return len(free) > claims

    def _enqueue(
        self,
        request: UnplacedRequest,
        refusal: Refusal,
        retry_at: float,
    ) -> WaitingRequest:
        """Add a request to the queue, or refuse it."""
        now = self._now()
        forecast = self.slots.forecast(request.call, now)
        waiting = _make_waiting(request, forecast, now)
        waiting.position = self.policy.position(waiting.workspace)
        is_worth = is_worth_waiting(waiting.latest_start, now)
        if not (is_worth and self.policy.can_be_served(request.call)):
            self.queue.record_refused(waiting, now)
            raise refusal
        if not self.queue:
            # A rate limit or backoff may have ended while nobody waited.
            self.slots.search_all()
        displaced = self.queue.add(waiting)
        if displaced is waiting:
            self.queue.record_refused(waiting, now)
            raise refusal
        if displaced is not None:
            refusal = Refusal(
                RefusalCause.DISPLACED,
                'the queue is full of more urgent requests',
            )
            self.tasks.refuse(displaced, DequeueReason.DISPLACED, refusal)
        self.tasks.add(waiting, request, retry_at)
        self.log.log_queued(waiting, forecast, self.queue)
        self._announce(waiting)
        self._place_waiting()
        return waiting

    def _announce(self, waiting: WaitingRequest) -> None:
        """Send peers an update if a rank has just begun to wait here."""
        if self.queue.counts()[waiting.rank] == 1:
            self.slots.send_update()

    def _run_timer(self) -> None:
        self.slots.search_all()
        self._place_waiting()

    def _place_waiting(self) -> None:
        """Place the first waiting request for which there is a free slot."""
        self._is_scheduled = False
        if self._is_handing_over:
            return
        now = self._now()
        if self.queue:
            self._refuse_unservable(now)
            self._place_next(now)
        self._set_timer(self._now())

    def _place_next(self, now: float) -> None:
        if now - self._refreshed_at >= _REFRESH_SECONDS:
            self._refreshed_at = now
            self.queue.order.refresh(self.policy.position, now)
        has_slot = bool(self.slots.find_free(1, now))
        if not self.slots.has_accepting:
            self.tasks.refuse_without_endpoint()
        if not has_slot:
            self.slot_yield.reset()
            return
        failed = self.tasks.recently_failed(now)
        for _ in range(_MAX_TRIES):
            waiting = self.queue.next_to_place(failed, now)
            if waiting is None or not self._may_take(waiting, now):
                return
            placement = self.tasks.try_to_place(waiting)
            if placement is not None:
                self._hand_over(waiting, placement)
                return
            if waiting in self.queue:
                failed.append(waiting)

    def _may_take(self, waiting: WaitingRequest, now: float) -> bool:
        """Return whether a slot is free and not left to a peer."""
        own = Claim(waiting.rank, waiting.is_late, waiting.queued_at)
        claims = 0
        if not self.queue.uses_quota(waiting, now):
            claims = self.slot_yield.count_claims(own, now)
        free = self.slots.find_free(claims + 1, now)
        was_yielding = self.slot_yield.ends_at is not None
        if self.slot_yield.may_take(own, free, claims, now):
            return True
        if self.slot_yield.ends_at is not None and not was_yielding:
            self.slots.send_update()
            self.log.log_yield(waiting, claims)
        return False

    def _hand_over(self, waiting: WaitingRequest, placement: Placement) -> None:
        """Wake the task of a placed request, and continue after it.

        The event loop runs the task before the continuation, and the task
        records its load before it waits for anything.
        """
        self.tasks.resolve(waiting, placement)
        self._is_handing_over = True
        asyncio.get_running_loop().call_soon(self._finish_handover)

    def _finish_handover(self) -> None:
        self._is_handing_over = False
        self._place_waiting()

    def _refuse_unservable(self, now: float) -> None:
        """Refuse requests that cannot be served, the least urgent first."""
        for expired in self.queue.expired(now):
            self.tasks.refuse(expired, DequeueReason.TOO_LATE)
        last = self.queue.order.last()
        while last is not None:
            if self.policy.can_be_served(self.tasks.call(last)):
                return
            self.tasks.refuse(last, DequeueReason.TOO_LATE)
            last = self.queue.order.last()

    def _set_timer(self, now: float) -> None:
        """Set the timer for the next time at which something may change."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self.queue:
            self.slot_yield.reset()
            return
        delay = max(0, self._next_change(now) - now) + _TIMER_MARGIN_SECONDS
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._run_timer)

    def _next_change(self, now: float) -> float:
        """Return the first time at which a request expires or may be placed."""
        times = [
            *self.tasks.retry_times(now),
            self.slots.opens_at,
            self.slots.next_search_at,
        ]
        if self.slot_yield.ends_at is not None:
            times.append(self.slot_yield.ends_at)
        # Times that have passed without an effect must not set off the timer
        # again and again. A request that has expired meanwhile is refused.
        future = [at for at in times if at > now]
        expiry = self.queue.next_expiry()
        if expiry is not None:
            future.append(max(now, expiry))
        return min(future, default=now + MAX_SEARCH_SECONDS)

    def _now(self) -> float:
        return self.clock.monotonic()


def _make_waiting(
    request: UnplacedRequest,
    forecast: StartForecast,
    now: float,
) -> WaitingRequest:
    call = request.call
    terms = call.terms
    return WaitingRequest(
        request_id=call.request_id,
        rank=call.rank,
        workspace=call.workspace,
        queued_at=now,
        objective_start=forecast.objective_start(call.objective_at),
        latest_start=forecast.latest_start(call.deadline),
        tokens=terms.prompt_tokens + terms.answer_tokens,
        excluded=request.excluded,
        zones=call.allowed_zones,
    )
