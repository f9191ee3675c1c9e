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
from ..endpoints.fallback import Fallback, KeptFallback
from ..endpoints.relay import AnswerRelay
from ..endpoints.resumed_attempt import resume
from ..endpoints.time_limit import ending_within
from ..errors import (
    AttemptError,
    CallerDisconnectedError,
    FallbackReadyError,
)
from ..placement.dispatcher import Placement
from ..placement.placing import Placer
from .admission import admit
from .attempt_watches import AttemptWatches
from .caller_answer import CallerAnswer, CallerRequest
from .excluded_endpoints import ExcludedEndpoints
from .failure_log import FailureLog
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
    watches
        Makes the watches of attempts, and holds the slot of the next one.
    fallback
        An attempt that was given up, until another one replaces it.
    excluded
        Endpoints at which attempts have failed.
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
        self.fallback = KeptFallback(context)
        self.excluded = ExcludedEndpoints(context)
        self.call: AdmittedRequest | None = None
        self.watches = AttemptWatches(context, self.attempts, self.excluded)
        self.request_id = context.wire.request_id(request.headers)
        self.outcome = RequestOutcome(
            context, answer, self.attempts, self.request_id
        )
        answer.request.early = self.outcome
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
            await self.outcome.end_cancelled()
        except Exception as error:
            await self.outcome.answer_defect(error)

    async def _serve(self) -> None:
        try:
            StopAdmission(self.context).check_arrival()
            call = await admit(self.context, self.request)
        except Refusal as refusal:
            self.answer.end_if_sent_early()
            await self.outcome.refuse(refusal)
            return
        self.answer.end_if_sent_early()
        self.call = call
        self.answer.request.may_repeat = call.route.kind.is_idempotent
        try:
            async with ending_within(call.deadline - self._now()):
                await self._attempt_until_answered(call)
        except TimeoutError:
            self.answer.end_if_sent_early()
            await self.outcome.time_out()
        except Refusal as refusal:
            self.answer.end_if_sent_early()
            await self.outcome.refuse_admitted(refusal)

    async def _attempt_until_answered(self, call: AdmittedRequest) -> None:
        relay = AnswerRelay(
            self.answer,
            call.route,
            self._record_first_event,
            self.fallback.close,
        )
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
            try:
                async with self.fallback.ending_when_ready():
                    is_over = await self._attempt_next(placer, relay)
            except FallbackReadyError:
                is_over = await self._replace_attempt(call, relay)

    async def _replace_attempt(
        self, call: AdmittedRequest, relay: AnswerRelay
    ) -> bool:
        """Take the answer of an attempt that was given up; see `_resume`."""
        if self.attempts.is_in_progress:
            self.attempts.record(AttemptEnd.REPLACED)
        fallback = self.fallback.take(AttemptEnd.REPLACED)
        assert fallback is not None
        return await self._resume(fallback, call, relay)

    async def _attempt_next(self, placer: Placer, relay: AnswerRelay) -> bool:
        """Make the next attempt; return whether the request is over.

        Raises
        ------
        Refusal
            If the request is not sent, and has no fallback.
        """
        call = placer.call
        try:
            placement = await self._place_checked(placer, relay)
        except Refusal as refusal:
            fallback = self.fallback.take(refusal.cause)
            if fallback is None:
                raise
            return await self._resume(fallback, call, relay)
        if placement is None:
            return True
        self.answer.end_if_sent_early()
        self.last_endpoint = placement.primary.endpoint
        DecisionLog(self.context).log_placement(call, placement)
        self.attempts.begin()
        attempt = Attempt(
            self.watches.make(call, placement), self._check_sending
        )
        return await self._run_attempt(attempt, call, relay)

    async def _resume(
        self,
        fallback: Fallback,
        call: AdmittedRequest,
        relay: AnswerRelay,
    ) -> bool:
        """Go on with what was given up; return whether the request is over."""
        self.watches.release_slot()
        self.last_endpoint = fallback.placement.primary.endpoint
        watch = self.watches.make(call, fallback.placement)
        attempt = resume(watch, fallback)
        self.crashes.record_resumed(attempt)
        return await self._run_attempt(attempt, call, relay)

    async def _run_attempt(
        self, attempt: Attempt, call: AdmittedRequest, relay: AnswerRelay
    ) -> bool:
        """Run one attempt; return whether the request is over."""
        self.answer.request.may_be_stopped = call.route.kind.may_be_stopped
        self.answer.request.is_at_endpoint = attempt.is_resumed
        with attempt.watch.permit:
            try:
                with self.crashes.track_attempt(attempt):
                    await attempt.run(relay)
            except AttemptError as error:
                if attempt.fallback is not None:
                    self.fallback.keep(attempt.fallback, error.end)
                self.answer.request.is_at_endpoint = False
                return await self._handle_failure(call, attempt, error, relay)
        self.attempts.record(AttemptEnd.ANSWERED, is_resumed=attempt.is_resumed)
        self.crashes.record_answer(call)
        self.outcome.label = 'answered'
        return True

    def _check_sending(self, call: AdmittedRequest) -> None:
        """Raise an `AttemptError` if the request may not be sent any more."""
        self.answer.end_if_sent_early()
        if not self.answer.may_be_sent:
            raise AttemptError(
                AttemptEnd.NOT_ACCEPTING,
                'the caller has ended its sending side',
            )
        self.crashes.check_sending(call)
        self.answer.request.is_at_endpoint = True

    async def _place_checked(
        self, placer: Placer, relay: AnswerRelay
    ) -> Placement | None:
        """Return the endpoints for a request that may be sent there.

        Raises
        ------
        Refusal
            If the request may not be sent, or has no endpoint.
        """
        if not self.answer.may_be_sent:
            raise Refusal(RefusalCause.CALLER_ENDED)
        await self.crashes.check(placer.call)
        avoided = self.crashes.endpoints_to_avoid(placer.call)
        placement = await self._place(placer, relay, avoided)
        if placement is not None:
            await self.crashes.claim_trial(placer.call)
        return placement

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
            self.watches.release_slot()
            placement = await placer.place(
                self.excluded.endpoints,
                self.excluded.failed_at,
                avoided,
                is_resumption=self.answer.has_begun,
                may_wait=not self.fallback.may_go_on,
            )
            StopAdmission(self.context).check(
                placer.call,
                placement,
                may_have_run=self.attempts.may_have_run > 0,
                has_begun=self.answer.has_begun,
            )
        except Refusal:
            if relay.failure is None or self.answer.has_begun:
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
        self.attempts.record(error.end, is_resumed=attempt.is_resumed)
        self.answer.end_if_sent_early()
        self.attempts.answer_has_begun = self.answer.has_begun
        await self.crashes.handle_failed_attempt(call, attempt, error)
        failed_endpoint = self.excluded.exclude(attempt, error)
        decision = self.retries.decide(call, error.end, attempt.watch.permit)
        FailureLog(self.context, self.attempts).record(
            attempt,
            error,
            decision,
            failed_endpoint=failed_endpoint,
            last_event_id=relay.last_event_id,
        )
        step = decision.step
        if step == NextStep.RETRY:
            self.context.metrics.retries.count(error.end)
            return False
        fallback = self.fallback.take(error.end)
        if fallback is not None:
            return await self._resume(fallback, call, relay)
        if step == NextStep.REFUSE:
            caller_time = call.caller_time(self._now())
            raise Refusal.from_endpoint(caller_time, error.detail)
        if step == NextStep.RELAY_FAILURE:
            await self.outcome.relay_failure(relay)
            return True
        await self.outcome.fail()
        return True

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
        self.fallback.close()
        self.crashes.granted.finish()
        self.watches.release_slot()
        self.outcome.report_unanswered()
        outcomes = self.context.metrics.outcomes
        outcomes.requests.add(self.outcome.label)
        self._log_end()

    def _log_end(self) -> None:
        call = self.call
        keeper = self.context.keeper
        elapsed = self._now() - self.request.arrived_at
        self.context.log.info(
            'request_ended',
            request_id=self.request_id,
            route='' if call is None else call.route.name,
            how=self.outcome.label,
            detail=self.outcome.detail,
            endpoint=self.last_endpoint,
            attempts=self.attempts.sent,
            first_ms=round(self.first_event_ms, 1),
            total_ms=round(elapsed * _MS, 1),
            settings_version=(
                keeper.version if call is None else call.settings_version
            ),
            settings_age=keeper.age,
            **self._stop_fields(),
        )

    def _stop_fields(self) -> dict[str, float | None]:
        """Return when a request came that the end of the process ended."""
        asked_at = self.context.stop_asked_at
        if self.outcome.label != 'stopped' or asked_at is None:
            return {}
        heard_at = self.watches.heard_at
        return {
            'stop_read_seconds': round(self.request.read_at - asked_at, 3),
            'endpoint_silent_seconds': (
                None if heard_at is None else round(self._now() - heard_at, 3)
            ),
        }

    def _now(self) -> float:
        return self.context.clock.monotonic()
