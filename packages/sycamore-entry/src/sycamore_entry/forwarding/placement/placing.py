"""Waits for a place for one request, for a moment, or refuses it."""

import asyncio
from collections.abc import Iterable, Set

from sycamore_core.decisions.direct import (
    ReadRequest,
    after_full,
    after_limit,
    after_load,
    after_rest,
    after_start,
    is_worth_reading,
)
from sycamore_core.ids import EndpointId

from ..callers.refusals import Refusal, RefusalCause
from ..calls import AttemptCall
from ..context import ForwardingContext
from .candidates import Wait
from .dispatcher import Placement

#: Part of its objective for which a request waits for a free slot. A slot
#: that frees within it still serves the request in time; beyond it, the
#: caller is better told at once when to come back.
_WAIT_PART = 0.12
#: Time between two looks for a slot, in seconds; slots free a few times a
#: second on each engine.
_LOOK_SECONDS = 0.012
#: Part of the time that a prompt took to arrive for which news is let in before
#: it is placed, and the longest such wait, in seconds. What peers sent
#: meanwhile waits behind the prompt on a narrow link, and comes in small
#: messages once the link is free.
_NEWS_PART = 0.25
_LONGEST_NEWS = 0.02
#: Shortest such wait, in seconds: a short turn is not held up for its timer.
_LEAST_NEWS = 0.001
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
        failed_at: Set[EndpointId],
        avoided: Set[EndpointId],
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
        avoided
            Endpoints that are left out as long as there are others.

        Raises
        ------
        Refusal
            If there is no place, and none is expected in time.
        """
        left_out = excluded
        if failed_at and not self._has_taking(excluded):
            left_out = excluded - failed_at
        if not excluded:
            await self._let_news_in()
        began = self._now()
        while True:
            placement = self._place_apart(left_out, avoided)
            if placement is not None:
                self._check_worth(placement, left_out)
                return placement
            await self._wait_for_slot(left_out, began)

    async def _let_news_in(self) -> None:
        """Wait for what peers said while the prompt filled the link.

        What goes wrong otherwise: a prompt of 900,000 tokens takes 75 ms to
        arrive, and its entry knows of nothing that others placed meanwhile.
        It puts parts of seconds ahead of theirs while half of the engines
        are idle.
        """
        if self.call.service.engine is None:
            return
        taken = self._now() - self.call.request.arrived_at
        wait = min(_LONGEST_NEWS, taken * _NEWS_PART)
        if wait >= _LEAST_NEWS:
            await asyncio.sleep(wait)

    def _place_apart(
        self,
        excluded: Set[EndpointId],
        avoided: Set[EndpointId],
    ) -> Placement | None:
        """Return a place, away from some endpoints where there is another."""
        if avoided:
            placement = self._place(excluded | avoided)
            if placement is not None:
                return placement
        return self._place(excluded)

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
        excluded: Set[EndpointId],
    ) -> None:
        """Refuse a prompt that takes more from others than it is worth.

        One that was sent somewhere already goes on whatever it harms: what
        was read is lost otherwise.
        """
        costs = self.call.service.engine
        if costs is None or excluded:
            return
        now = self._now()
        request = read_request(self.call, now)
        plan = placement.plan
        read_ms = costs.read_ms(request.prompt_tokens)
        if is_worth_reading(plan, request, read_ms):
            return
        raise Refusal(
            RefusalCause.HARMFUL,
            f'harm {plan.harm:.1f}, weight {request.weight:.1f},'
            f' expected {plan.expected_ms:.0f} ms',
            retry_after=after_load(self.call.caller_time(now)),
        )

    async def _wait_for_slot(
        self,
        excluded: Set[EndpointId],
        began: float,
    ) -> None:
        """Wait until it is looked for a slot again, or refuse the request."""
        refusal = self._no_place(excluded)
        until = began + self.call.route.objective * _WAIT_PART
        is_over = self._now() >= min(until, self.call.limit)
        if is_over or refusal.cause != RefusalCause.OVERLOADED:
            raise refusal
        await asyncio.sleep(_LOOK_SECONDS)

    def _has_taking(self, excluded: Iterable[EndpointId]) -> bool:
        """Return whether endpoints that were not tried take a request."""
        candidates = self.context.dispatcher.candidates
        service = self.call.service
        return bool(candidates.taking(service, excluded, self._now()))

    def _others(self, excluded: Iterable[EndpointId]) -> bool:
        """Return whether there are endpoints that were not tried."""
        return bool(self._usable().difference(excluded))

    def _usable(self) -> set[EndpointId]:
        directory = self.context.keeper.directory
        usable = directory.usable(self.call.service.service)
        return {one.endpoint for one in usable}

    def _no_place(self, excluded: Set[EndpointId]) -> Refusal:
        caller = self.call.caller_time(self._now())
        if not self._usable():
            return Refusal(
                RefusalCause.NO_ENDPOINT,
                retry_after=after_start(0, caller),
            )
        wait = self._shortest_wait(())
        if wait.is_rest:
            return Refusal(
                RefusalCause.ENDPOINTS_REST,
                f'all endpoints rest for {wait.seconds:.2f} s',
                retry_after=after_rest(wait.seconds, caller),
            )
        if not self._others(excluded):
            return Refusal.by_endpoint(caller)
        wait = self._shortest_wait(excluded)
        if wait.seconds:
            return Refusal(
                RefusalCause.RATE_LIMITED,
                f'no endpoint takes more for {wait.seconds:.2f} s',
                retry_after=after_limit(wait.seconds, caller),
            )
        turns = self.context.dispatcher.book.turns
        return Refusal(
            RefusalCause.OVERLOADED,
            f'no slot at {len(self._usable())} endpoints',
            retry_after=after_full(turns.stay_seconds, caller),
        )

    def _shortest_wait(self, excluded: Iterable[EndpointId]) -> Wait:
        candidates = self.context.dispatcher.candidates
        service = self.call.service
        return candidates.shortest_wait(service, excluded, self._now())

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
        limit_ms=max(1, (call.limit - now) * _MS),
    )
