"""Quarantine of requests that crash endpoints, and of parts of prompts."""

import asyncio
import contextlib
from collections.abc import Iterator

from sycamore_core.decisions.crashes import kind_of
from sycamore_core.decisions.direct import AttemptEnd, after_quarantine
from sycamore_core.ids import EndpointId, TraitDigest

from .callers.refusals import Refusal, RefusalCause
from .calls import AdmittedRequest
from .context import ForwardingContext
from .crash_reporter import CrashReporter
from .endpoints.attempt import Attempt
from .endpoints.time_limit import is_done_within
from .errors import AttemptError, CallerDisconnectedError
from .granted_trials import GrantedTrials

#: Longest time that a request waits for the crash probe of its endpoint, in
#: seconds: several round trips within a region.
_CRASH_PROBE_TIMEOUT_SECONDS = 0.03
#: Ends of attempts after which the endpoint may still run the request.
_ABANDONED_ENDS = frozenset((AttemptEnd.SILENT, AttemptEnd.ENDED))
#: How an attempt ended at the time limit, or as its caller left.
_CANCELLED = 'cancelled'


class CrashWatch:
    """Applies the quarantine to one request, and records crashes.

    Attributes
    ----------
    granted
        Trials that are granted to the next attempt.
    """

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context
        self.quarantine = context.suspects.quarantine
        self.reporter = CrashReporter(context)
        self.granted = GrantedTrials(context.trials)

    async def check(self, call: AdmittedRequest) -> None:
        """Check that the request may be sent to an endpoint, or in a trial.

        Raises
        ------
        Refusal
            If the request is quarantined, or is suspect and gets no trial now.
        """
        suspects = self._suspect_traits(call)
        if not suspects:
            return
        await self._wait_for_reports(suspects)
        self._check_quarantine(call)

    async def claim_trial(self, call: AdmittedRequest) -> None:
        """Get a trial for a suspect request that has a free endpoint.

        Without a free endpoint, the trial would be used up without an attempt,
        and the request refused until the time of the trial is over.

        Raises
        ------
        Refusal
            If the request is quarantined, or is suspect and gets no trial now.
        """
        self._check_quarantine(call)
        for trait in self._suspect_traits(call):
            if not await self.granted.claim(trait):
                raise self._quarantine_refusal(call, trait, 0)

    def check_sending(self, call: AdmittedRequest) -> None:
        """Check that a request has not become suspect while it waited.

        Without this, requests that are placed and wait for a connection or for
        memory at other engines are sent after their quarantine has begun.

        Raises
        ------
        AttemptError
            If the request must not be sent without a further check.
        """
        if self._suspect_traits(call):
            raise AttemptError(
                AttemptEnd.NOT_ACCEPTING,
                'the request has become suspect',
            )

    def endpoints_to_avoid(self, call: AdmittedRequest) -> set[EndpointId]:
        """Return endpoints that run another suspect of the same crash."""
        if not self._has_known_content(call):
            return set()
        suspects = self.quarantine.other_suspects(call.content.digest)
        return self.context.suspects.places.endpoints_with_any(suspects)

    @contextlib.contextmanager
    def track_attempt(self, attempt: Attempt) -> Iterator[None]:
        """Record where the request runs, and whether it may go on there."""
        try:
            with self.context.suspects.track_place(
                attempt.call.content, attempt.placement.primary.endpoint
            ):
                yield
        except BaseException as error:
            self._record_abandoned(attempt, error)
            raise

    def record_resumed(self, attempt: Attempt) -> None:
        """Record that a request goes on where it had been given up."""
        self.quarantine.abandoned.remove(
            attempt.call.content.digest, attempt.placement.primary.lifetime
        )

    def record_output(self, call: AdmittedRequest) -> None:
        """Record that the request has had output."""
        if self._has_known_content(call):
            self.quarantine.record_output(call.content.digest, self._now())

    def record_answer(self, call: AdmittedRequest) -> None:
        """Record that the request got a complete answer.

        Without the answers of contents that are not suspect, a content that is
        answered all the time would be refused after two crashes.
        """
        if call.content.is_cheap or self._has_known_content(call):
            self.quarantine.record_answer(call.content.digest, self._now())

    async def handle_failed_attempt(
        self,
        call: AdmittedRequest,
        attempt: Attempt,
        error: AttemptError,
    ) -> None:
        """Probe whether the endpoint of a broken attempt has crashed.

        A request that may have caused the crash waits for the result.
        Without this, its next attempt would crash another endpoint.
        """
        self.granted.end_attempt(error.end)
        if error.end == AttemptEnd.NOT_SENT:
            self.reporter.probe_unreachable(attempt.placement.primary)
        if error.end != AttemptEnd.BROKEN:
            return
        probe = self.reporter.probe_broken(call, attempt)
        if attempt.watch.had_just_begun:
            await is_done_within(probe, _CRASH_PROBE_TIMEOUT_SECONDS)

    def _check_quarantine(self, call: AdmittedRequest) -> None:
        """Refuse a request that can get no trial now."""
        now = self._now()
        beside = set(self._known_traits(call))
        for trait in self._suspect_traits(call):
            seconds = self.quarantine.seconds_left(trait, now, beside)
            seconds = seconds or self.quarantine.seconds_to_trial(trait, now)
            if seconds:
                self.quarantine.record_refusal(trait, now)
                raise self._quarantine_refusal(call, trait, seconds)

    async def _wait_for_reports(self, suspects: list[TraitDigest]) -> None:
        """Wait until other entries have reported the last crash.

        Without this, a popular request is refused until the report of the
        entry that had sent the cause arrives.
        """
        now = self._now()
        seconds = max(
            self.quarantine.seconds_to_settle(trait, now) for trait in suspects
        )
        if seconds:
            await asyncio.sleep(seconds)

    def _record_abandoned(self, attempt: Attempt, error: BaseException) -> None:
        """Record that an endpoint may still run a request that was given up."""
        how = _how_abandoned(error)
        if not how or not attempt.scope.is_unanswered:
            return
        self.granted.abandon()
        metrics = self.context.metrics.suspects
        metrics.abandoned_attempts.add(how)
        call, lifetime = attempt.call, attempt.placement.primary.lifetime
        self.context.log.info(
            'attempt_abandoned',
            request_id=call.request_id,
            endpoint=lifetime.endpoint,
            started_ms=lifetime.started_ms,
            content=call.content.digest.hex(),
            how=how,
            had_just_begun=attempt.watch.had_just_begun,
        )
        self.reporter.record_abandoned(call, attempt)

    def _quarantine_refusal(
        self, call: AdmittedRequest, trait: TraitDigest, seconds: float
    ) -> Refusal:
        crashes = self.quarantine.crash_count(trait)
        return Refusal(
            RefusalCause.CRASHES_ENDPOINTS,
            f'{kind_of(trait)} {trait.hex()}, {crashes} crashes,'
            f' may be sent in {seconds:.0f} s',
            retry_after=after_quarantine(
                seconds, call.caller_time(self._now())
            ),
        )

    def _suspect_traits(self, call: AdmittedRequest) -> list[TraitDigest]:
        """Return the traits that need a trial before the request is sent."""
        now = self._now()
        granted = self.granted.numbers
        find_suspect = self.quarantine.book.find_suspect
        return [
            trait
            for trait in self._known_traits(call)
            if trait not in granted and find_suspect(trait, now) is not None
        ]

    def _known_traits(self, call: AdmittedRequest) -> Iterator[TraitDigest]:
        """Iterate over the traits for which the quarantine has a record."""
        if self._has_known_content(call):
            yield call.content.digest
        may_contain = self.quarantine.book.may_contain
        yield from filter(may_contain, call.content.parts)

    def _has_known_content(self, call: AdmittedRequest) -> bool:
        """Return whether the quarantine may have a record of the content."""
        return self.context.suspects.is_known(call.content)

    def _now(self) -> float:
        return self.context.clock.monotonic()


def _how_abandoned(error: BaseException) -> str:
    """Return how an attempt ended if its endpoint may go on with it."""
    if isinstance(error, AttemptError):
        return error.end if error.end in _ABANDONED_ENDS else ''
    if isinstance(error, CallerDisconnectedError):
        return error.label
    return _CANCELLED if isinstance(error, asyncio.CancelledError) else ''
