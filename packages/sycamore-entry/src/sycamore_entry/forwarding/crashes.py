"""Quarantine of requests that crash endpoints."""

import asyncio
import contextlib
from collections.abc import Iterator

from sycamore_core.decisions.direct import AttemptEnd, after_quarantine
from sycamore_core.ids import ContentDigest, EndpointId

from .callers.refusals import Refusal, RefusalCause
from .calls import AdmittedRequest
from .context import ForwardingContext
from .crash_reporter import CrashReporter
from .endpoints.attempt import Attempt
from .errors import AttemptError, CallerDisconnectedError

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
    is_trial
        Whether the next attempt is a granted trial of a suspect request.
    """

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context
        self.quarantine = context.suspects.quarantine
        self.reporter = CrashReporter(context)
        self.is_trial = False

    async def check(self, call: AdmittedRequest) -> None:
        """Check that the request may be sent to an endpoint, or in a trial.

        Raises
        ------
        Refusal
            If the request is quarantined, or is suspect and gets no trial now.
        """
        if not self._may_be_suspect(call) or self.is_trial:
            return
        await self._wait_for_reports(call.content.digest)
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
        if not self._may_be_suspect(call) or self.is_trial:
            return
        self._check_quarantine(call)
        content = call.content.digest
        if not self.quarantine.is_in_doubt(content, self._now()):
            return
        if not await self.context.trials.request_trial(content):
            raise self._quarantine_refusal(call, 0)
        self.is_trial = True

    def endpoints_to_avoid(self, call: AdmittedRequest) -> set[EndpointId]:
        """Return endpoints that run another suspect of the same crash."""
        if not self._may_be_suspect(call):
            return set()
        suspects = self.quarantine.other_suspects(call.content.digest)
        return self.context.suspects.places.endpoints_with_any(suspects)

    @contextlib.contextmanager
    def track_attempt(self, attempt: Attempt) -> Iterator[None]:
        """Record where the request runs, and whether it may go on there."""
        try:
            with self._track_place(attempt):
                yield
        except BaseException as error:
            self._record_abandoned(attempt, error)
            raise

    def record_output(self, call: AdmittedRequest) -> None:
        """Record that the request has had output."""
        if self._may_be_suspect(call):
            self.quarantine.record_output(call.content.digest, self._now())

    def record_answer(self, call: AdmittedRequest) -> None:
        """Record that the request got a complete answer."""
        if self._may_be_suspect(call):
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
        self.is_trial = self.is_trial and error.end.has_not_run
        if error.end == AttemptEnd.NOT_SENT:
            self.reporter.probe_unreachable(attempt.placement.primary)
        if error.end != AttemptEnd.BROKEN:
            return
        probe = self.reporter.probe_broken(call, attempt)
        if attempt.watch.had_just_begun:
            await asyncio.wait((probe,), timeout=_CRASH_PROBE_TIMEOUT_SECONDS)

    def _check_quarantine(self, call: AdmittedRequest) -> None:
        """Refuse a request that can get no trial now."""
        content = call.content.digest
        now = self._now()
        seconds_left = self.quarantine.seconds_left(content, now)
        if not seconds_left and self.quarantine.is_in_doubt(content, now):
            seconds_left = self.quarantine.seconds_to_trial(content, now)
        if seconds_left:
            raise self._quarantine_refusal(call, seconds_left)

    async def _wait_for_reports(self, content: ContentDigest) -> None:
        """Wait until other entries have reported the last crash.

        Without this, a popular request is refused until the report of the
        entry that had sent the cause arrives.
        """
        seconds = self.quarantine.seconds_to_settle(content, self._now())
        if seconds:
            await asyncio.sleep(seconds)

    @contextlib.contextmanager
    def _track_place(self, attempt: Attempt) -> Iterator[None]:
        """Record that an endpoint runs a possible suspect in an attempt."""
        if not self._may_be_suspect(attempt.call):
            yield
            return
        places = self.context.suspects.places
        content = attempt.call.content.digest
        endpoint = attempt.placement.primary.endpoint
        places.begin(content, endpoint)
        try:
            yield
        finally:
            places.end(content, endpoint)

    def _record_abandoned(self, attempt: Attempt, error: BaseException) -> None:
        """Record that an endpoint may still run a request that was given up."""
        how = _how_abandoned(error)
        if not how or not attempt.scope.is_unanswered:
            return
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
        self, call: AdmittedRequest, seconds: float
    ) -> Refusal:
        content = call.content.digest
        crashes = self.quarantine.crash_count(content)
        return Refusal(
            RefusalCause.CRASHES_ENDPOINTS,
            f'content {content.hex()}, {crashes} crashes,'
            f' may be sent in {seconds:.0f} s',
            retry_after=after_quarantine(
                seconds, call.caller_time(self._now())
            ),
        )

    def _may_be_suspect(self, call: AdmittedRequest) -> bool:
        """Return whether the quarantine may have an entry for the content."""
        return self.quarantine.book.may_contain(call.content.partial_digest)

    def _now(self) -> float:
        return self.context.clock.monotonic()


def _how_abandoned(error: BaseException) -> str:
    """Return how an attempt ended if its endpoint may go on with it."""
    if isinstance(error, AttemptError):
        return error.end if error.end in _ABANDONED_ENDS else ''
    if isinstance(error, CallerDisconnectedError):
        return error.label
    return _CANCELLED if isinstance(error, asyncio.CancelledError) else ''
