"""Permission to end an attempt so that another endpoint runs the request.

The permission is taken before the attempt is given up, and is used by the
decision on the retry. Without this, many attempts that are given up at the same
moment rely on the same retry. All but one of them end without an answer, or in
the middle of it, although their endpoints may go on. So does an attempt that no
other endpoint accepts.
"""

import enum
from collections.abc import Set
from types import TracebackType
from typing import Self

from sycamore_core.decisions.direct import RetryPermit, SharedRetryBudget
from sycamore_core.ids import EndpointId

from ..calls import AdmittedRequest
from ..context import ForwardingContext
from .held_slot import HeldSlot


class PermitState(enum.StrEnum):
    """Whether a retry is reserved for an attempt."""

    NONE = 'none'
    HELD = 'held'


class MovePermit:
    """The permission of one attempt to move to another endpoint.

    In a large fleet, an entry may make three retries, plus one for every five
    requests, in ten seconds: its share of the operator's limit. Once they are
    used up, a prompt that is cancelled at a late engine, or a stream that
    pauses, cannot be sent to another engine, and its caller loses an answer
    that was on its way. The end of the endpoint or of the connection ends the
    attempt all the same.

    Parameters
    ----------
    slot
        Slot for the next attempt.
    excluded
        Endpoints that are not used after this attempt, its own among them.
    may_move
        Whether the request may run once more after this attempt, leaving out
        the retry budget.

    Attributes
    ----------
    permit
        The reserved retry; None if there is none.
    is_denial_logged
        Whether the log states that the attempt stays.
    """

    def __init__(
        self,
        context: ForwardingContext,
        call: AdmittedRequest,
        slot: HeldSlot,
        excluded: Set[EndpointId],
        *,
        may_move: bool,
    ) -> None:
        self.context = context
        self.call = call
        self.slot = slot
        self.excluded = excluded
        self.may_move = may_move
        self.permit: RetryPermit | None = None
        self.is_denial_logged = False

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.give_back()

    @property
    def state(self) -> PermitState:
        """Return whether a retry is reserved."""
        return PermitState.NONE if self.permit is None else PermitState.HELD

    def acquire(self, cause: str, *, needs_slot: bool = False) -> bool:
        """Reserve a retry; return whether the attempt may be given up.

        Parameters
        ----------
        cause
            Why the attempt should be given up, for the log.
        needs_slot
            Whether another endpoint must have a free slot, which is held.
        """
        # Many attempts ask again and again while no retry is left, so that the
        # endpoints are searched last.
        is_permitted = (
            self.may_move
            and self._has_retry()
            and self._is_accepted_elsewhere()
            and (not needs_slot or self.slot.acquire(self.excluded))
        )
        if not is_permitted:
            self._log_denial(cause)
        elif self.permit is None:
            self.permit = self._budget.acquire(self._now())
        return is_permitted

    def use(self) -> bool:
        """Consume the reserved retry, or one that is left.

        Return whether the request may be retried.
        """
        permit = self.permit
        if permit is None:
            return self._budget.try_acquire(self._now())
        self.permit = None
        return self._budget.use(permit, self._now())

    def give_back(self) -> None:
        """Return the reserved retry if it has not been used."""
        permit = self.permit
        if permit is None:
            return
        self.permit = None
        self._budget.give_back(permit, self._now())
        self.context.log.info(
            'retry_permit_returned',
            request_id=self.call.request_id,
            **self._budget.state(self._now()).log_fields(),
        )

    @property
    def _budget(self) -> SharedRetryBudget:
        return self.context.retry_budget(self.call.service.service)

    def _has_retry(self) -> bool:
        """Return whether a retry is reserved or left."""
        has_permit = self.permit is not None
        return has_permit or self._budget.has_capacity(self._now())

    def _is_accepted_elsewhere(self) -> bool:
        """Return whether another endpoint accepts the request now.

        It may have no free slot: the request waits for one, with the others.
        """
        candidates = self.context.dispatcher.candidates
        service, zones = self.call.service, self.call.allowed_zones
        now = self._now()
        return bool(candidates.accepting(service, self.excluded, now, zones))

    def _log_denial(self, cause: str) -> None:
        if self.is_denial_logged:
            return
        self.is_denial_logged = True
        self.context.log.info(
            'attempt_kept',
            request_id=self.call.request_id,
            cause=cause,
            may_move=self.may_move,
            has_alternative=self._is_accepted_elsewhere(),
            **self._budget.state(self._now()).log_fields(),
        )

    def _now(self) -> float:
        return self.context.clock.monotonic()
