"""Watches of the attempts of one request, and the slot of its next attempt."""

from sycamore_core.decisions.direct import AttemptLog

from ..calls import AdmittedRequest
from ..context import ForwardingContext
from ..endpoints.held_slot import HeldSlot
from ..endpoints.move_permit import MovePermit
from ..endpoints.silence import SilenceWatch
from ..placement.dispatcher import Placement
from .excluded_endpoints import ExcludedEndpoints


class AttemptWatches:
    """Watches each attempt of one request with a permit of its own.

    Attributes
    ----------
    slot
        Slot for the next attempt; None before the first attempt.
    latest
        Watch of the latest attempt; None before the first attempt.
    """

    def __init__(
        self,
        context: ForwardingContext,
        attempts: AttemptLog,
        excluded: ExcludedEndpoints,
    ) -> None:
        self.context = context
        self.attempts = attempts
        self.excluded = excluded
        self.slot: HeldSlot | None = None
        self.latest: SilenceWatch | None = None

    @property
    def last_byte_at(self) -> float | None:
        """Return when an endpoint was last heard; None if it never was.

        Endpoints of earlier attempts do not count. It is a time on the
        monotonic clock, in seconds.
        """
        watch = self.latest
        if watch is None:
            return None
        is_heard = watch.has_event or watch.heard_at > watch.last_event_at
        return max(watch.last_event_at, watch.heard_at) if is_heard else None

    def make(self, call: AdmittedRequest, placement: Placement) -> SilenceWatch:
        """Return the watch of an attempt that counts as begun."""
        if self.slot is None:
            self.slot = HeldSlot(self.context, call)
        runs = self.attempts.may_have_run
        is_idempotent = call.route.kind.is_idempotent
        permit = MovePermit(
            self.context,
            call,
            self.slot,
            self.excluded.without_return(placement.primary.endpoint),
            may_move=is_idempotent and runs < call.route.max_attempts,
        )
        self.latest = SilenceWatch(self.context, call, placement, permit)
        return self.latest

    def release_slot(self) -> None:
        """Release the slot, as the request is placed, goes on or is over."""
        if self.slot is not None:
            self.slot.release()
