"""Metrics, log events and records of an exchange."""

from collections.abc import Sequence

from sycamore_core.ids import Attempt, EndpointId, RequestId
from sycamore_core.messages import Close, Frame
from sycamore_core.settings import Target
from sycamore_core.states import Execution, Outcome, RefusalReason, RetryReason
from sycamore_core.telemetry import AttainmentKey

from ..answers import AnswerSink
from ..errors import RefusedError
from ..records import RequestRecord
from .call import CallerRequest
from .context import EntryContext


class ExchangeTelemetry:
    """Records one request; prompt text is neither stored nor logged.

    Attributes
    ----------
    first_token_seconds
        Time from the arrival to the first frame; None before that frame.
    """

    def __init__(self, context: EntryContext, request: CallerRequest) -> None:
        self.context = context
        self.request = request
        self.arrived_at = context.clock.wall()
        self.first_token_seconds: float | None = None
        self._is_offered = False
        self._has_caller_left = False

    def observe(self, sink: AnswerSink) -> 'ObservedSink':
        """Return a sink that records the first frame and writes to `sink`."""
        return ObservedSink(sink, self)

    def record_caller_left(self) -> None:
        """Record that the caller disconnected."""
        self._has_caller_left = True

    def record_offered(self) -> None:
        """Record an offer; the first one ends the queueing time."""
        if self._is_offered:
            return
        self._is_offered = True
        view = self.request.view
        wait = self.context.now() - view.arrival
        self.context.metrics.times.queue_wait(view.band, wait)

    def record_first_frame(self) -> None:
        """Record that the first frame has reached the caller."""
        now = self.context.now()
        view = self.request.view
        seconds = now - view.arrival
        self.first_token_seconds = seconds
        self.context.scheduler.first_token(view.request_id, now)
        self.context.metrics.first_token(view.band, seconds)

    def record_attainment(self) -> None:
        """Count the target of the request as met or missed.

        If the caller disconnects after the target time, the request counts
        as missed, since the caller may have left because of the long wait.
        """
        target = self.request.target
        if target is None or self._left_before_target(target):
            return
        view = self.request.view
        self.context.attainment.record(
            AttainmentKey(view.workspace, view.service, view.band),
            target,
            self.first_token_seconds,
        )

    def record_retry(self, reason: RetryReason) -> None:
        """Record that the request will be offered again."""
        self.context.metrics.retried(reason)
        self.context.log.info(
            'request_retried',
            request_id=self.request.view.request_id,
            reason=reason.value,
        )

    def record_resend_requests(self, count: int) -> None:
        """Record the number of repeated requests for frames."""
        for _ in range(count):
            self.context.metrics.retried(RetryReason.FRAME_GAP)

    def record_closed(
        self,
        close: Close,
        endpoint: EndpointId | None,
        attempt: Attempt,
    ) -> None:
        """Record that the caller has received the end of the answer."""
        self._record_token_gap(close)
        if close.outcome == Outcome.COMPLETE:
            return
        reason = close.reason or RefusalReason.BACKEND_FAILED
        failed = RefusedError(reason, execution=Execution.RAN)
        self.record_refused(failed, endpoint, attempt)

    def record_refused(
        self,
        refused: RefusedError,
        endpoint: EndpointId | None,
        attempt: Attempt,
    ) -> None:
        """Count, log and record that the caller has no complete answer."""
        view = self.request.view
        self.context.metrics.refused(refused.reason)
        self.context.log.info(
            'request_refused',
            request_id=view.request_id,
            workspace=view.workspace,
            service=view.service,
            reason=refused.reason.value,
            execution=refused.execution.value,
            settings_version=self.request.settings_version,
        )
        self.context.records.add(
            RequestRecord(
                request_id=view.request_id,
                workspace=view.workspace,
                service=view.service,
                band=view.band,
                reason=refused.reason,
                execution=refused.execution,
                detail=refused.detail,
                settings_version=self.request.settings_version,
                endpoint=endpoint,
                attempts=attempt,
                arrived_at=self.arrived_at,
                ended_at=self.context.clock.wall(),
            ),
        )

    def _left_before_target(self, target: Target) -> bool:
        waited = self.context.now() - self.request.view.arrival
        is_early = waited < target.first_token_seconds
        return (
            self._has_caller_left
            and self.first_token_seconds is None
            and is_early
        )

    def _record_token_gap(self, close: Close) -> None:
        if self.first_token_seconds is None or close.output_tokens < 2:
            return
        since_arrival = self.context.now() - self.request.view.arrival
        streamed = since_arrival - self.first_token_seconds
        gaps = close.output_tokens - 1
        self.context.metrics.times.token_gap(streamed / gaps)


class ObservedSink(AnswerSink):
    """Delegates to another sink and records the first frame."""

    def __init__(self, sink: AnswerSink, telemetry: ExchangeTelemetry) -> None:
        self._sink = sink
        self._telemetry = telemetry
        self._is_first = True

    async def start(self, request_id: RequestId) -> None:
        """Start the answer."""
        await self._sink.start(request_id)

    async def write_frames(self, frames: Sequence[Frame]) -> None:
        """Write the frames and record the first one."""
        await self._sink.write_frames(frames)
        if self._is_first:
            self._is_first = False
            self._telemetry.record_first_frame()

    async def close(self, close: Close) -> None:
        """Close the answer."""
        await self._sink.close(close)

    def abort(self) -> None:
        """Abort the answer."""
        self._sink.abort()

    async def refuse(
        self,
        request_id: RequestId,
        refused: RefusedError,
    ) -> None:
        """Refuse the request."""
        await self._sink.refuse(request_id, refused)
