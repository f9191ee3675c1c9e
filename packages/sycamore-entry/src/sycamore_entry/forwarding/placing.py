"""Waits for a place for one request, for a moment, or refuses it."""

import asyncio
from collections.abc import Iterable, Set

from sycamore_core.decisions.direct import (
    ReadRequest,
    after_load,
    is_worth_reading,
)
from sycamore_core.ids import EndpointId

from .calls import AttemptCall
from .context import ForwardingContext
from .dispatcher import Placement
from .refusals import Refusal, RefusalCause

#: Part of its objective for which a request waits for a free slot. A slot
#: that frees within it still serves the request in time; beyond it, the
#: caller is better told at once when to come back.
_WAIT_PART = 0.12
#: Time between two looks for a slot, in seconds; slots free a few times a
#: second on each engine.
_LOOK_SECONDS = 0.012
#: When callers come back to engines that are full, in seconds: about a third
#: of the slots are free again after the third of an answer.
_FULL_SECONDS = 0.5
_MS = 1000.0


class Placing:
    """Finds places for the attempts of one request."""

    def __init__(
        self,
        context: ForwardingContext,
        call: AttemptCall,
    ) -> None:
        self.context = context
        self.call = call

    async def place(
        self,
        excluded: Set[EndpointId],
        failed_at: Set[EndpointId] = frozenset(),
    ) -> Placement:
        """Return where to send the request.

        Parameters
        ----------
        excluded
            Endpoints that are left out.
        failed_at
            Those of them that are tried again where there is no other. What
            goes wrong otherwise: one replica is left of three, it fails one
            look-up in seven, and each of these is lost.

        Raises
        ------
        Refusal
            If there is no place, and none is expected in time.
        """
        until = self._now() + self.call.route.objective * _WAIT_PART
        until = min(until, self.call.limit)
        if not self._others(excluded):
            excluded = excluded - failed_at
        while True:
            placement = self._place(excluded)
            if placement is not None:
                self._check_worth(placement, excluded)
                return placement
            if self._now() >= until or not self._others(excluded):
                raise self._refusal(excluded)
            await asyncio.sleep(_LOOK_SECONDS)

    def _place(self, excluded: Iterable[EndpointId]) -> Placement | None:
        dispatcher = self.context.dispatcher
        service = self.call.service
        if service.engine is None:
            return dispatcher.place_plain(service, excluded)
        request = read_request(self.call, self._now())
        return dispatcher.place_model(
            service,
            service.engine,
            request,
            excluded,
        )

    def _check_worth(
        self,
        placement: Placement,
        excluded: Iterable[EndpointId],
    ) -> None:
        """Send away a prompt that takes more from others than it is worth.

        One that was sent somewhere already goes on: what was read is lost
        otherwise.
        """
        now = self._now()
        request = read_request(self.call, now)
        plan = placement.plan
        costs = self.call.service.engine
        if costs is None or any(excluded):
            return
        read_ms = costs.read_ms(request.prompt_tokens)
        if is_worth_reading(plan, request, read_ms):
            return
        raise Refusal(
            RefusalCause.HARMFUL,
            f'harm {plan.harm:.1f}, weight {request.weight:.1f},'
            f' expected {plan.expected_ms:.0f} ms',
            retry_after=after_load(self.call.caller_time(now)),
        )

    def _others(self, excluded: Iterable[EndpointId]) -> bool:
        """Return whether there are endpoints that were not tried."""
        directory = self.context.keeper.directory
        usable = directory.usable(self.call.service.service)
        return bool({one.endpoint for one in usable}.difference(excluded))

    def _refusal(self, excluded: Iterable[EndpointId]) -> Refusal:
        directory = self.context.keeper.directory
        if not self._others(()):
            return Refusal(RefusalCause.NO_ENDPOINT)
        if not self._others(excluded):
            return Refusal(RefusalCause.ENDPOINT_REFUSED)
        usable = directory.usable(self.call.service.service)
        return Refusal(
            RefusalCause.OVERLOADED,
            f'no slot at {len(usable)} endpoints',
            retry_after=_FULL_SECONDS,
        )

    def _now(self) -> float:
        return self.context.clock.monotonic()


def read_request(call: AttemptCall, now: float) -> ReadRequest:
    """Return what decides where a prompt is read."""
    terms = call.terms
    return ReadRequest(
        prompt_tokens=terms.prompt_tokens,
        answer_tokens=terms.answer_tokens,
        objective_ms=(call.objective_at - now) * _MS,
        pause_ms=call.route.pause_objective * _MS,
    )
