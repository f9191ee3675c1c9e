"""The tasks that wait for the placement of their requests."""

import asyncio

import msgspec
from sycamore_core.clock import Clock
from sycamore_core.decisions.waiting import WaitingQueue, WaitingRequest

from ..callers.refusals import Refusal, RefusalCause
from ..calls import AdmittedRequest
from .dispatcher import Placement
from .queue_log import DequeueReason, QueueLog
from .slot_wait import UnplacedRequest

#: Part of the processor time that is spent on placing the same request
#: without success. A request that needs more memory than is free fails at each
#: event, and an attempt takes up to 15 ms while 50 events arrive per second.
_FAILED_ATTEMPT_SHARE = 0.1


class _Waiter(msgspec.Struct, eq=False):
    """A waiting request and the task that waits for its placement.

    Attributes
    ----------
    retry_at
        Time before which the request is not tried again, on the monotonic
        clock, in seconds.
    """

    request: UnplacedRequest
    placed: asyncio.Future[Placement]
    retry_at: float


class WaitingTasks:
    """Places or refuses the requests of one queue.

    Attributes
    ----------
    queue
        The waiting requests.
    log
        Logs the requests that leave the queue.
    """

    def __init__(
        self,
        queue: WaitingQueue,
        log: QueueLog,
        clock: Clock,
    ) -> None:
        self.queue = queue
        self.log = log
        self.clock = clock
        self._waiters: dict[WaitingRequest, _Waiter] = {}

    def add(
        self,
        waiting: WaitingRequest,
        request: UnplacedRequest,
        retry_at: float,
    ) -> None:
        """Add a request that has been added to the queue."""
        placed = asyncio.get_running_loop().create_future()
        self._waiters[waiting] = _Waiter(request, placed, retry_at)

    async def wait(self, waiting: WaitingRequest) -> Placement:
        """Return the placement of a request.

        Raises
        ------
        Refusal
            If the request is refused.
        """
        try:
            return await self._waiters[waiting].placed
        finally:
            if waiting in self.queue:
                self._drop(waiting)
            self._waiters.pop(waiting)

    def call(self, waiting: WaitingRequest) -> AdmittedRequest:
        """Return the admitted request of a waiting one."""
        return self._waiters[waiting].request.call

    def recently_failed(self, now: float) -> list[WaitingRequest]:
        """Return the requests that are not tried again yet."""
        return [
            waiting
            for waiting, waiter in self._waiters.items()
            if waiter.retry_at > now
        ]

    def retry_times(self, now: float) -> list[float]:
        """Return the times at which requests are tried again."""
        times = [waiter.retry_at for waiter in self._waiters.values()]
        return [at for at in times if at > now]

    def try_to_place(self, waiting: WaitingRequest) -> Placement | None:
        """Return a placement of a request; None if there is none now.

        The request is refused if it lacks more than a free slot.
        """
        waiter = self._waiters[waiting]
        if waiter.placed.cancelled():
            # The caller has left, and its task has not run since.
            self._drop(waiting)
            return None
        began = self.clock.monotonic()
        try:
            placement = waiter.request.place()
        except Exception as error:
            # A defect in the entry. The request fails, and the others that
            # wait are placed all the same.
            self._fail(waiting, error)
            return None
        if placement is not None:
            return placement
        refusal = waiter.request.build_refusal()
        if refusal.cause != RefusalCause.OVERLOADED:
            self.refuse(waiting, DequeueReason.REFUSED, refusal)
        waiter.retry_at = retry_time(began, self.clock.monotonic())
        return None

    def resolve(self, waiting: WaitingRequest, placement: Placement) -> None:
        """Wake the task of a placed request."""
        self.queue.record_placed(waiting, self.clock.monotonic())
        self.log.log_dequeued(waiting, DequeueReason.PLACED)
        self._waiters[waiting].placed.set_result(placement)

    def refuse(
        self,
        waiting: WaitingRequest,
        reason: DequeueReason,
        refusal: Refusal | None = None,
    ) -> None:
        """Refuse a request, by default with the refusal of the moment."""
        waiter = self._waiters[waiting]
        self.queue.record_refused(waiting, self.clock.monotonic())
        self.log.log_dequeued(waiting, reason)
        if not waiter.placed.done():
            waiter.placed.set_exception(
                refusal or waiter.request.build_refusal()
            )

    def refuse_without_endpoint(self) -> None:
        """Refuse the requests that lack more than a free slot."""
        servable: set[tuple[object, ...]] = set()
        for waiting in self.queue:
            needs = (waiting.excluded, waiting.zones)
            if needs in servable:
                continue
            refusal = self._waiters[waiting].request.build_refusal()
            if refusal.cause == RefusalCause.OVERLOADED:
                servable.add(needs)
            else:
                self.refuse(waiting, DequeueReason.REFUSED, refusal)

    def _fail(self, waiting: WaitingRequest, error: Exception) -> None:
        self.queue.remove(waiting)
        self.log.log_dequeued(waiting, DequeueReason.FAILED)
        waiter = self._waiters[waiting]
        if not waiter.placed.done():
            waiter.placed.set_exception(error)

    def _drop(self, waiting: WaitingRequest) -> None:
        """Remove a request whose caller has left."""
        self.queue.remove(waiting)
        self.log.log_dequeued(waiting, DequeueReason.CALLER_LEFT)


def retry_time(began: float, ended: float) -> float:
    """Return when a request is tried again after a failed attempt.

    Parameters
    ----------
    began, ended
        Begin and end of the attempt, on the monotonic clock, in seconds.
    """
    return ended + (ended - began) / _FAILED_ATTEMPT_SHARE
