"""What a request does while no endpoint has a free slot for it."""

import abc
import asyncio
from collections.abc import Callable
from typing import Final

import msgspec
from sycamore_core.clock import Clock
from sycamore_core.ids import EndpointId

from ..callers.refusals import Refusal, RefusalCause
from ..calls import AdmittedRequest
from ..endpoints.time_limit import let_loop_read
from .dispatcher import Placement

#: Fraction of its objective for which a request waits for a free slot. A slot
#: that becomes free within this time still serves the request in time. After
#: it, the request is refused with a retry delay.
_SLOT_WAIT_FRACTION = 0.12
#: Interval between checks for a free slot, in seconds. On each engine, slots
#: become free a few times per second.
_POLL_SECONDS = 0.012
#: Interval of these checks for a resumed stream, in seconds. It may wait for
#: seconds, and each check places a request.
_RESUMPTION_POLL_SECONDS = 0.05
#: Refusals that end by themselves once an endpoint has capacity.
_CAPACITY_CAUSES: Final = frozenset(
    (
        RefusalCause.OVERLOADED,
        RefusalCause.CANNOT_MEET_LIMIT,
        RefusalCause.RATE_LIMITED,
        RefusalCause.ENDPOINTS_BACKING_OFF,
    ),
)


class UnplacedRequest(msgspec.Struct, frozen=True):
    """A request that needs endpoints.

    Attributes
    ----------
    place
        Returns endpoints that have a free slot now; None if there are none.
    build_refusal
        Returns the refusal of the request by the present state. Its cause is
        `OVERLOADED` if the request lacks only a free slot.
    excluded
        Endpoints that must not be used.
    """

    call: AdmittedRequest
    place: Callable[[], Placement | None]
    build_refusal: Callable[[], Refusal]
    excluded: frozenset[EndpointId] = frozenset()


class SlotWait(abc.ABC):
    """Places requests of a service, after a wait if no slot is free."""

    @abc.abstractmethod
    async def place(self, request: UnplacedRequest) -> Placement:
        """Return endpoints for a request as soon as there are any.

        Raises
        ------
        Refusal
            If no endpoint is free, and none is expected to be in time.
        """


class ImmediateSlotWait(SlotWait):
    """Places requests that have no reason to wait for a slot."""

    async def place(self, request: UnplacedRequest) -> Placement:
        """Return endpoints that have a free slot now."""
        placement = request.place()
        if placement is None:
            raise request.build_refusal()
        return placement


class PolledSlotWait(SlotWait):
    """Checks at intervals whether a slot has become free.

    Attributes
    ----------
    poll_seconds
        Interval of the checks, in seconds.
    causes
        Refusals for which a request waits.
    """

    poll_seconds = _POLL_SECONDS
    causes = frozenset((RefusalCause.OVERLOADED,))

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    async def place(self, request: UnplacedRequest) -> Placement:
        """Return endpoints for a request as soon as there are any."""
        wait_end = self.wait_end(request.call)
        while True:
            placement = request.place()
            if placement is not None:
                return placement
            refusal = request.build_refusal()
            is_expired = self.clock.monotonic() >= wait_end
            if is_expired or refusal.cause not in self.causes:
                raise refusal
            await self._wait_for_change()

    def pause(self) -> float:
        """Return the time to the next check of a request, in seconds."""
        return self.poll_seconds

    def wait_end(self, call: AdmittedRequest) -> float:
        """Return until when a request waits, on the monotonic clock."""
        objective = call.route.objective
        wait_end = self.clock.monotonic() + objective * _SLOT_WAIT_FRACTION
        return min(wait_end, call.deadline)

    async def _wait_for_change(self) -> None:
        """Wait for the next check of a request.

        The answers that free slots lie unread if the event loop was late.
        """
        pause = self.pause()
        due = self.clock.monotonic() + pause
        await asyncio.sleep(pause)
        if self.clock.monotonic() - due > self.poll_seconds:
            await let_loop_read()


class ResumptionSlotWait(PolledSlotWait):
    """Waits until the deadline for an endpoint that resumes a stream.

    A refusal would cut the answer that the caller has begun to receive. The
    stream takes no place in a queue, because it had a slot already.

    Attributes
    ----------
    waiting
        Number of streams that wait.
    """

    poll_seconds = _RESUMPTION_POLL_SECONDS
    causes = _CAPACITY_CAUSES

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.waiting = 0

    async def place(self, request: UnplacedRequest) -> Placement:
        """Return endpoints for a stream as soon as there are any."""
        self.waiting += 1
        try:
            return await super().place(request)
        finally:
            self.waiting -= 1

    def pause(self) -> float:
        """Return the time to the next check of a stream, in seconds.

        Streams take turns, as each check finds what the others find. Without
        this, ten streams that wait beside a hundred full engines would use all
        of the processor.
        """
        return self.poll_seconds * self.waiting

    def wait_end(self, call: AdmittedRequest) -> float:
        """Return until when a stream waits, on the monotonic clock."""
        return call.deadline
