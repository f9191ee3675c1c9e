"""Places one request, waits briefly for a slot, or refuses the request."""

import asyncio
from collections.abc import Iterable, Set

from sycamore_core.decisions.direct import (
    ReadRequest,
    after_backoff,
    after_full,
    after_limit,
    after_overload,
    after_start,
    is_worth_reading,
)
from sycamore_core.ids import EndpointId

from ..callers.refusals import Refusal, RefusalCause
from ..calls import AdmittedRequest
from ..context import ForwardingContext
from .candidates import Wait
from .dispatcher import Placement

#: Fraction of its objective for which a request waits for a free slot. A slot
#: that becomes free within this time still serves the request in time. After
#: it, the request is refused with a retry delay.
_SLOT_WAIT_FRACTION = 0.12
#: Interval between checks for a free slot, in seconds. On each engine, slots
#: become free a few times per second.
_POLL_SECONDS = 0.012
#: Time to wait for load reports of peers before a prompt is placed, as a
#: fraction of the time that the prompt took to arrive, and the longest such
#: wait, in seconds. On a narrow link, reports queue behind the prompt and
#: arrive in small messages once the link is free.
_REPORT_WAIT_FRACTION = 0.25
_MAX_REPORT_WAIT_SECONDS = 0.02
#: Shortest such wait, in seconds. Shorter waits are skipped, so that a timer
#: does not delay short requests.
_MIN_REPORT_WAIT_SECONDS = 0.001
_MS = 1000.0


class Placer:
    """Finds endpoints for the attempts of one request."""

    def __init__(
        self,
        context: ForwardingContext,
        call: AdmittedRequest,
    ) -> None:
        self.context = context
        self.call = call

    async def place(
        self,
        excluded: Set[EndpointId],
        failed_at: Set[EndpointId],
        avoided: Set[EndpointId],
    ) -> Placement:
        """Return the endpoints for the next attempt.

        Parameters
        ----------
        excluded
            Endpoints that must not be used.
        failed_at
            Excluded endpoints that are used again if no other endpoint
            accepts the request. Without this, if one replica of three is left
            and fails one request in seven, the requests that it fails are
            lost, because no other endpoint can retry them.
        avoided
            Endpoints that are used only if no other endpoint is free.

        Raises
        ------
        Refusal
            If no endpoint is free, and none is expected to be in time.
        """
        unusable = excluded
        if failed_at and not self._has_accepting(excluded):
            unusable = excluded - failed_at
        if not excluded:
            await self._wait_for_reports()
        began = self._now()
        while True:
            placement = self._place_avoiding(unusable, avoided)
            if placement is not None:
                self._check_interference(placement, unusable)
                return placement
            await self._wait_for_slot(unusable, began)

    async def _wait_for_reports(self) -> None:
        """Wait for reports that peers sent while the prompt filled the link.

        Without this, the entry would not know of requests that its peers
        placed while the prompt arrived, which takes 75 ms for 900,000 tokens.
        It would place parts that take seconds to read before these requests,
        at the same engines, while half of the engines are idle.
        """
        if self.call.service.engine is None:
            return
        arrival_seconds = self._now() - self.call.request.arrived_at
        wait = min(
            _MAX_REPORT_WAIT_SECONDS,
            arrival_seconds * _REPORT_WAIT_FRACTION,
        )
        if wait >= _MIN_REPORT_WAIT_SECONDS:
            await asyncio.sleep(wait)

    def _place_avoiding(
        self,
        excluded: Set[EndpointId],
        avoided: Set[EndpointId],
    ) -> Placement | None:
        """Return a placement without the avoided endpoints, if possible."""
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
        request = make_read_request(self.call, self._now())
        return dispatcher.place_model(
            service,
            service.engine,
            request,
            excluded,
        )

    def _check_interference(
        self,
        placement: Placement,
        excluded: Set[EndpointId],
    ) -> None:
        """Refuse a prompt that delays other requests by more than its value.

        The value is the weight, and less if the answer is late. The check is
        skipped once an endpoint is ruled out: the prompt was sent there, and
        the work of reading it would be lost.
        """
        costs = self.call.service.engine
        if costs is None or excluded:
            return
        now = self._now()
        request = make_read_request(self.call, now)
        plan = placement.plan
        read_ms = costs.read_ms(request.prompt_tokens)
        if is_worth_reading(plan, request, read_ms):
            return
        raise Refusal(
            RefusalCause.INTERFERENCE,
            f'harm {plan.interference:.1f},'
            f' weight {request.weight:.1f},'
            f' expected {plan.expected_ms:.0f} ms',
            retry_after=after_overload(self.call.caller_time(now)),
        )

    async def _wait_for_slot(
        self,
        excluded: Set[EndpointId],
        began: float,
    ) -> None:
        """Wait until the next check for a free slot.

        Raises
        ------
        Refusal
            If the request has waited long enough, or if it lacks something
            other than a free slot.
        """
        refusal = self._build_refusal(excluded)
        wait_end = began + self.call.route.objective * _SLOT_WAIT_FRACTION
        is_expired = self._now() >= min(wait_end, self.call.deadline)
        if is_expired or refusal.cause != RefusalCause.OVERLOADED:
            raise refusal
        await asyncio.sleep(_POLL_SECONDS)

    def _has_accepting(self, excluded: Iterable[EndpointId]) -> bool:
        """Return whether an endpoint that is not excluded accepts a request."""
        candidates = self.context.dispatcher.candidates
        service = self.call.service
        return bool(candidates.accepting(service, excluded, self._now()))

    def _has_permitted(self, excluded: Iterable[EndpointId]) -> bool:
        """Return whether there are endpoints that are not excluded."""
        return bool(self._usable_endpoints().difference(excluded))

    def _usable_endpoints(self) -> set[EndpointId]:
        directory = self.context.keeper.directory
        usable = directory.usable(self.call.service.service)
        return {record.endpoint for record in usable}

    def _build_refusal(self, excluded: Set[EndpointId]) -> Refusal:
        caller_time = self.call.caller_time(self._now())
        if not self._usable_endpoints():
            return Refusal(
                RefusalCause.NO_ENDPOINT,
                retry_after=after_start(0, caller_time),
            )
        wait = self._shortest_wait(())
        if wait.is_backoff:
            return Refusal(
                RefusalCause.ENDPOINTS_BACKING_OFF,
                f'all endpoints are backing off for {wait.seconds:.2f} s',
                retry_after=after_backoff(wait.seconds, caller_time),
            )
        if not self._has_permitted(excluded):
            return Refusal.from_endpoint(caller_time)
        wait = self._shortest_wait(excluded)
        if wait.seconds:
            return Refusal(
                RefusalCause.RATE_LIMITED,
                f'all endpoints are at their limit for {wait.seconds:.2f} s',
                retry_after=after_limit(wait.seconds, caller_time),
            )
        short_requests = self.context.dispatcher.loads.short_requests
        return Refusal(
            RefusalCause.OVERLOADED,
            f'no free slot at {len(self._usable_endpoints())} endpoints',
            retry_after=after_full(short_requests.slot_seconds, caller_time),
        )

    def _shortest_wait(self, excluded: Iterable[EndpointId]) -> Wait:
        candidates = self.context.dispatcher.candidates
        service = self.call.service
        return candidates.shortest_wait(service, excluded, self._now())

    def _now(self) -> float:
        return self.context.clock.monotonic()


def make_read_request(call: AdmittedRequest, now: float) -> ReadRequest:
    """Return the parameters of a request that decide its placement."""
    terms = call.terms
    return ReadRequest(
        prompt_tokens=terms.prompt_tokens,
        answer_tokens=terms.answer_tokens,
        objective_ms=(call.objective_at - now) * _MS,
        pause_ms=call.route.pause_objective * _MS,
        limit_ms=max(1, (call.deadline - now) * _MS),
    )
