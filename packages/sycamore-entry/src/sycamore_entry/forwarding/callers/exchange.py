"""The whole life of one forwarded request, written straight down."""

import asyncio

from sycamore_core.decisions.direct import (
    AttemptEnd,
    AttemptLog,
    NextStep,
    next_step,
)
from sycamore_core.ids import EndpointId

from ..calls import AttemptCall
from ..context import ForwardingContext
from ..crashes import CrashWatch
from ..decision_log import DecisionLog
from ..endpoints.attempt import Attempt
from ..endpoints.relay import AnswerRelay
from ..endpoints.silence import SilenceWatch
from ..errors import AttemptError, CallerLeftError
from ..placement.dispatcher import Placement
from ..placement.placing import Placing
from .admission import admit
from .caller import CallerAnswer, CallerRequest
from .ending import Ending
from .refusals import Refusal

_MS = 1000.0


class Exchange:
    """One request, from its head to the end of its answer.

    Attributes
    ----------
    attempts
        What became of the attempts so far.
    call
        What is forwarded; None if nothing can be.
    excluded
        Endpoints that are not tried again.
    failed_at
        Those of them that answered with a failure of their own: they are
        tried again where there is no other.
    ending
        What the caller is told where no endpoint has answered.
    """

    def __init__(
        self,
        context: ForwardingContext,
        request: CallerRequest,
        answer: CallerAnswer,
    ) -> None:
        self.context = context
        self.request = request
        self.answer = answer
        self.attempts = AttemptLog()
        self.decisions = DecisionLog(context)
        self.crashes = CrashWatch(context)
        self.excluded: set[EndpointId] = set()
        self.failed_at: set[EndpointId] = set()
        self.call: AttemptCall | None = None
        self.request_id = context.wire.request_id(request.headers)
        self.ending = Ending(context, answer, self.attempts, self.request_id)
        self.first_event_ms: float = -1
        self.last_endpoint = EndpointId('')

    async def run(self) -> None:
        """Answer the request."""
        try:
            await self._serve()
        except CallerLeftError:
            self.ending.how = 'caller_left'
        except asyncio.CancelledError:
            self.ending.how = 'caller_left'
            raise
        except Exception as error:
            # A fault of ours. Its caller sees a failure that promises
            # nothing; the others must not suffer from it.
            self.ending.how = 'fault'
            self.context.log.error(
                'exchange_fault',
                request_id=self.request_id,
                error=repr(error),
            )
        finally:
            self._settle()

    async def _serve(self) -> None:
        try:
            call = await admit(self.context, self.request)
        except Refusal as refusal:
            await self.ending.refuse(refusal)
            return
        self.call = call
        try:
            async with asyncio.timeout(call.limit - self._now()):
                await self._try_until_answered(call)
        except TimeoutError:
            await self.ending.out_of_time()
        except Refusal as refusal:
            await self.ending.refuse(refusal)

    async def _try_until_answered(self, call: AttemptCall) -> None:
        relay = AnswerRelay(self.answer, call.route, self._note_first)
        placing = Placing(self.context, call)
        self.context.allowance(call.service.service).first_try(self._now())
        if call.service.engine is not None:
            dispatcher = self.context.dispatcher
            dispatcher.turn_came(
                call.service.engine,
                call.terms.prompt_tokens,
            )
        is_over = False
        while not is_over:
            await self.crashes.check(call)
            avoided = self.crashes.places_to_avoid(call)
            placement = await self._place(placing, relay, avoided)
            if placement is None:
                return
            is_over = await self._try_at(placement, call, relay)

    async def _try_at(
        self,
        placement: Placement,
        call: AttemptCall,
        relay: AnswerRelay,
    ) -> bool:
        """Send the request to one endpoint; return whether it is over."""
        self.last_endpoint = placement.home.endpoint
        self.decisions.placed(call, placement)
        watch = SilenceWatch(
            self.context,
            call,
            placement,
            may_move=self._may_move(call),
        )
        attempt = Attempt(watch)
        self.attempts.begin()
        try:
            with self.crashes.sent_to(self.last_endpoint, call):
                await attempt.run(relay)
        except AttemptError as error:
            return await self._after(call, attempt, error, relay)
        self.attempts.note(AttemptEnd.ANSWERED)
        self.crashes.answered(call)
        self.ending.how = 'answered'
        return True

    async def _place(
        self,
        placing: Placing,
        relay: AnswerRelay,
        avoided: set[EndpointId],
    ) -> Placement | None:
        """Return where to send the request; None if it is over.

        Raises
        ------
        Refusal
            If there is no place, and nobody has answered before.
        """
        try:
            return await placing.place(
                self.excluded,
                self.failed_at,
                avoided,
            )
        except Refusal:
            if relay.failure is None:
                raise
        await self.ending.hand_on_failure(relay)
        return None

    async def _after(
        self,
        call: AttemptCall,
        attempt: Attempt,
        error: AttemptError,
        relay: AnswerRelay,
    ) -> bool:
        """Decide what follows a failed attempt; return whether it is over."""
        self.attempts.note(error.end)
        self.attempts.has_begun = self.answer.has_begun
        await self.crashes.attempt_ended(call, attempt, error)
        at_fault = self._exclude(attempt, error)
        step = self._next_step(call, error.end)
        self.context.log.info(
            'attempt_failed',
            request_id=call.request_id,
            endpoint=attempt.placement.home.endpoint,
            at_fault=at_fault,
            how=error.end,
            detail=error.detail,
            sent=self.attempts.sent,
            may_have_run=self.attempts.may_have_run,
            events=relay.last_number,
            content=call.content.name_after(error.end),
            step=step,
        )
        if step == NextStep.TRY_AGAIN:
            self.context.metrics.retries.add(error.end)
            return False
        if step == NextStep.REFUSE:
            caller = call.caller_time(self._now())
            raise Refusal.by_endpoint(caller, error.detail)
        if step == NextStep.HAND_ON:
            await self.ending.hand_on_failure(relay)
            return True
        await self.ending.fail()
        return True

    def _exclude(self, attempt: Attempt, error: AttemptError) -> EndpointId:
        """Leave the endpoint at fault out of the next attempt; return it."""
        dispatcher = self.context.dispatcher
        at_fault = attempt.placement.home.endpoint
        if error.faulty_address:
            named = dispatcher.endpoint_at(error.faulty_address)
            at_fault = named or at_fault
        self.excluded.add(at_fault)
        if error.end == AttemptEnd.FAILED:
            self.failed_at.add(at_fault)
        if error.faulty_address or attempt.shows_fault(error):
            dispatcher.failed(at_fault)
        return at_fault

    def _may_move(self, call: AttemptCall) -> bool:
        is_idempotent = call.route.kind.is_idempotent
        runs = self.attempts.may_have_run + 1
        return is_idempotent and runs < call.route.max_attempts

    def _next_step(self, call: AttemptCall, end: AttemptEnd) -> NextStep:
        now = self._now()
        kind = call.route.kind
        step = next_step(
            kind,
            end,
            self.attempts,
            may_repeat=True,
            max_attempts=call.route.max_attempts,
        )
        if step != NextStep.TRY_AGAIN:
            return step
        allowance = self.context.allowance(call.service.service)
        # Nothing reached an endpoint where no connection was made: such an
        # attempt does not count as a repeat.
        if not end.was_sent or allowance.take(now, self.context.entries):
            return step
        return next_step(
            kind,
            end,
            self.attempts,
            may_repeat=False,
            max_attempts=call.route.max_attempts,
        )

    def _note_first(self) -> None:
        passed = self._now() - self.request.arrived_at
        self.first_event_ms = passed * _MS
        call = self.call
        if call is not None and call.route.kind.is_stream:
            tokens = call.terms.prompt_tokens
            self.context.metrics.first_event(tokens, passed)

    def _settle(self) -> None:
        if not self.answer.is_over:
            # Whatever went wrong, the caller must not take half an answer
            # for a whole one, nor wait for the rest.
            self.answer.cut()
        self.context.metrics.ends.add(self.ending.how)
        passed = self._now() - self.request.arrived_at
        self.context.log.info(
            'request_ended',
            request_id=self.request_id,
            route='' if self.call is None else self.call.route.name,
            how=self.ending.how,
            detail=self.ending.detail,
            endpoint=self.last_endpoint,
            attempts=self.attempts.sent,
            first_ms=round(self.first_event_ms, 1),
            total_ms=round(passed * _MS, 1),
        )

    def _now(self) -> float:
        return self.context.clock.monotonic()
