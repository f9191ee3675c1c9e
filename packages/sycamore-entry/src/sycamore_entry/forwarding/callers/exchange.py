"""The exchange of one request, from admission to the end of its answer."""

import asyncio

from sycamore_core.decisions.direct import (
    AttemptEnd,
    AttemptLog,
    NextStep,
)
from sycamore_core.ids import EndpointId

from ..calls import AdmittedRequest
from ..context import ForwardingContext
from ..crashes import CrashWatch
from ..decision_log import DecisionLog
from ..endpoints.attempt import Attempt
from ..endpoints.held_slot import HeldSlot
from ..endpoints.move_permit import MovePermit
from ..endpoints.relay import AnswerRelay
from ..endpoints.silence import SilenceWatch
from ..endpoints.time_limit import ending_within
from ..errors import (
    AttemptError,
    CallerDisconnectedError,
    EndpointEndedError,
)
from ..placement.dispatcher import Placement
from ..placement.placing import Placer
from .admission import admit
from .caller import CallerAnswer, CallerRequest
from .outcome import RequestOutcome
from .refusals import Refusal, RefusalCause
from .retry_control import RetryControl
from .stop_admission import StopAdmission

_MS = 1000.0


class Exchange:
    """Forwards one request and its answer, with retries.

    Attributes
    ----------
    attempts
        Results of the attempts so far.
    retries
        Decides whether a failed attempt is followed by another.
    call
        The admitted request; None if it was not admitted.
    slot
        Slot for the next attempt; None before the first attempt.
    excluded
        Endpoints that must not be used again.
    failed_at
        Excluded endpoints that answered with a failure of their own. They are
        used again if no other endpoint accepts the request.
    outcome
        Records how the request ended. Sends the caller a refusal or a failure
        if no endpoint answered.
    first_event_ms
        Time from the request's arrival to the first event of the answer, in
        milliseconds; negative before.
    last_endpoint
        Endpoint of the latest attempt; empty before.
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
        self.retries = RetryControl(context, self.attempts)
        self.crashes = CrashWatch(context)
        self.excluded: set[EndpointId] = set()
        self.failed_at: set[EndpointId] = set()
        self.call: AdmittedRequest | None = None
        self.slot: HeldSlot | None = None
        self.request_id = context.wire.request_id(request.headers)
        self.outcome = RequestOutcome(
            context, answer, self.attempts, self.request_id
        )
        self.first_event_ms: float = -1
        self.last_endpoint = EndpointId('')

    async def run(self) -> None:
        """Answer the request, and log and count its outcome."""
        try:
            await self._serve_or_fail()
        except CallerDisconnectedError as error:
            self.outcome.disconnect(error)
        except asyncio.CancelledError:
            self.outcome.cancel()
            raise
        except Exception as error:
            # A second defect, in the answer to the first.
            self.outcome.record_defect(error)
        finally:
            self._finish()

    async def _serve_or_fail(self) -> None:
        """Answer the request, also if the entry stops or has a defect."""
        try:
            await self._serve()
        except CallerDisconnectedError:
            raise
        except asyncio.CancelledError:
            if self.answer.caller_has_left:
                raise
            # Only the end of the process cancels other exchanges.
            await self.outcome.stop()
        except Exception as error:
            await self.outcome.answer_defect(error)

    async def _serve(self) -> None:
        try:
            StopAdmission(self.context).check_arrival()
            call = await admit(self.context, self.request)
        except Refusal as refusal:
            await self.outcome.refuse(refusal)
            return
        self.call = call
        try:
            async with ending_within(call.deadline - self._now()):
                await self._attempt_until_answered(call)
        except TimeoutError:
            await self.outcome.time_out()
        except Refusal as refusal:
            await self._refuse(refusal)

    async def _refuse(self, refusal: Refusal) -> None:
        if refusal.cause == RefusalCause.TIME_LIMIT:
            await self.outcome.time_out()
        else:
            await self.outcome.refuse(refusal)

    async def _attempt_until_answered(self, call: AdmittedRequest) -> None:
        relay = AnswerRelay(self.answer, call.route, self._record_first_event)
        placer = Placer(self.context, call)
        self.retries.record_first_attempt(call)
        if call.service.engine is not None:
            dispatcher = self.context.dispatcher
            dispatcher.record_arrival(
                call.service.engine,
                call.terms.prompt_tokens,
            )
        is_over = False
        while not is_over:
            await self.crashes.check(call)
            avoided = self.crashes.endpoints_to_avoid(call)
            placement = await self._place(placer, relay, avoided)
            if placement is None:
                return
            await self.crashes.claim_trial(call)
            is_over = await self._attempt_at(placement, call, relay)

    async def _attempt_at(
        self,
        placement: Placement,
        call: AdmittedRequest,
        relay: AnswerRelay,
    ) -> bool:
        """Make one attempt; return whether the request is over."""
        self.last_endpoint = placement.primary.endpoint
        DecisionLog(self.context).log_placement(call, placement)
        permit = MovePermit(
            self.context,
            call,
            self._held_slot(call),
            (self.excluded - self.failed_at) | {self.last_endpoint},
            may_move=self._may_move(call),
        )
        watch = SilenceWatch(self.context, call, placement, permit)
        attempt = Attempt(watch, self.crashes.check_sending)
        self.attempts.begin()
        with permit:
            try:
                with self.crashes.track_attempt(attempt):
                    await attempt.run(relay)
            except AttemptError as error:
                return await self._handle_failure(call, attempt, error, relay)
        self.attempts.record(AttemptEnd.ANSWERED)
        self.crashes.record_answer(call)
        self.outcome.label = 'answered'
        return True

    async def _place(
        self,
        placer: Placer,
        relay: AnswerRelay,
        avoided: set[EndpointId],
    ) -> Placement | None:
        """Return the endpoints for an attempt; None if the request is over.

        Raises
        ------
        Refusal
            If no endpoint is free, and no earlier attempt got a failure that
            can be relayed.
        """
        try:
            self._release_slot()
            placement = await placer.place(
                self.excluded,
                self.failed_at,
                avoided,
                is_resumption=self.answer.has_begun,
            )
            if not self.attempts.may_have_run:
                # Any other request could only be failed.
                StopAdmission(self.context).check(placer.call, placement)
        except Refusal:
            if relay.failure is None:
                raise
            await self.outcome.relay_failure(relay)
            return None
        return placement

    async def _handle_failure(
        self,
        call: AdmittedRequest,
        attempt: Attempt,
        error: AttemptError,
        relay: AnswerRelay,
    ) -> bool:
        """Handle a failed attempt; return whether the request is over."""
        self.attempts.record(error.end)
        self.attempts.answer_has_begun = self.answer.has_begun
        await self.crashes.handle_failed_attempt(call, attempt, error)
        failed_endpoint = self._exclude(attempt, error)
        decision = self.retries.decide(call, error.end, attempt.watch.permit)
        step = decision.step
        if isinstance(error, EndpointEndedError):
            self._log_ended(attempt, error)
        self.context.log.info(
            'attempt_failed',
            request_id=call.request_id,
            endpoint=attempt.placement.primary.endpoint,
            at_fault=failed_endpoint,
            how=error.end,
            detail=error.detail,
            sent=self.attempts.sent,
            may_have_run=self.attempts.may_have_run,
            events=relay.last_event_id,
            content=call.content.digest_for_log(error.end),
            step=step,
            retry=decision.permission,
            **decision.budget.log_fields(),
        )
        if step == NextStep.RETRY:
            self.context.metrics.retries.count(error.end)
            return False
        if step == NextStep.REFUSE:
            caller_time = call.caller_time(self._now())
            raise Refusal.from_endpoint(caller_time, error.detail)
        if step == NextStep.RELAY_FAILURE:
            await self.outcome.relay_failure(relay)
            return True
        await self.outcome.fail()
        return True

    def _held_slot(self, call: AdmittedRequest) -> HeldSlot:
        if self.slot is None:
            self.slot = HeldSlot(self.context, call)
        return self.slot

    def _release_slot(self) -> None:
        if self.slot is not None:
            self.slot.release()

    def _exclude(self, attempt: Attempt, error: AttemptError) -> EndpointId:
        """Exclude the endpoint of a failed attempt; return it.

        If the error names another endpoint, that one is excluded instead.
        """
        if isinstance(error, EndpointEndedError):
            return self._exclude_ended(error)
        dispatcher = self.context.dispatcher
        failed_endpoint = attempt.placement.primary.endpoint
        if error.faulty_address:
            other = dispatcher.endpoint_at(error.faulty_address)
            failed_endpoint = other or failed_endpoint
        self.excluded.add(failed_endpoint)
        if error.end == AttemptEnd.FAILED:
            self.failed_at.add(failed_endpoint)
        is_named = bool(error.faulty_address) and error.end.was_sent
        if is_named or attempt.shows_fault(error):
            dispatcher.record_failure(failed_endpoint)
        return failed_endpoint

    def _exclude_ended(self, error: EndpointEndedError) -> EndpointId:
        """Exclude an endpoint whose lifetime ended; return it.

        Its next start, or the endpoint that has its address now, has not
        failed. Silence may have another cause than the end, so that peers are
        told of a failure.
        """
        endpoint = error.cause.lifetime.endpoint
        self.excluded.add(endpoint)
        if error.cause.evidence.is_silence:
            self.context.dispatcher.record_failure(endpoint)
        return endpoint

    def _log_ended(self, attempt: Attempt, error: EndpointEndedError) -> None:
        lifetime = error.cause.lifetime
        self.context.log.info(
            'attempt_ended_with_endpoint',
            request_id=self.request_id,
            endpoint=lifetime.endpoint,
            started_ms=lifetime.started_ms,
            evidence=error.cause.evidence,
            is_primary=lifetime == attempt.placement.primary.lifetime,
            was_sent=error.end.was_sent,
        )

    def _may_move(self, call: AdmittedRequest) -> bool:
        is_idempotent = call.route.kind.is_idempotent
        possible_runs = self.attempts.may_have_run + 1
        return is_idempotent and possible_runs < call.route.max_attempts

    def _record_first_event(self) -> None:
        elapsed = self._now() - self.request.arrived_at
        self.first_event_ms = elapsed * _MS
        call = self.call
        if call is None:
            return
        self.crashes.record_output(call)
        if call.route.kind.is_stream:
            tokens = call.terms.prompt_tokens
            self.context.metrics.observe_first_event(tokens, elapsed)

    def _finish(self) -> None:
        if not self.answer.is_complete:
            # After any fault, the caller must not take a truncated answer for
            # a complete one, nor wait for the remainder.
            self.answer.abort()
        self.crashes.granted.finish()
        self._release_slot()
        self.outcome.report_unanswered()
        outcomes = self.context.metrics.outcomes
        outcomes.requests.add(self.outcome.label)
        elapsed = self._now() - self.request.arrived_at
        self.context.log.info(
            'request_ended',
            request_id=self.request_id,
            route='' if self.call is None else self.call.route.name,
            how=self.outcome.label,
            detail=self.outcome.detail,
            endpoint=self.last_endpoint,
            attempts=self.attempts.sent,
            first_ms=round(self.first_event_ms, 1),
            total_ms=round(elapsed * _MS, 1),
        )

    def _now(self) -> float:
        return self.context.clock.monotonic()
