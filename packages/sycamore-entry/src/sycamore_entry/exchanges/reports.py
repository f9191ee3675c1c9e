"""What an exchange tells of itself: metrics, logs and records."""

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


class ExchangeReport:
    """Reports one request; no text of its prompt is kept or logged.

    Attributes
    ----------
    first_token_seconds
        Time from the arrival to the first frame; None until it came.
    """

    def __init__(self, context: EntryContext, request: CallerRequest) -> None:
        self.context = context
        self.request = request
        self.arrived_at = context.clock.wall()
        self.first_token_seconds: float | None = None
        self._is_offered = False
        self._is_left = False

    def watch(self, sink: AnswerSink) -> 'WatchedSink':
        """Return a sink that notes the first frame on its way to `sink`."""
        return WatchedSink(sink, self)

    def left(self) -> None:
        """Note that the caller went away."""
        self._is_left = True

    def offered(self) -> None:
        """Note that the request is offered; its wait ends the first time."""
        if self._is_offered:
            return
        self._is_offered = True
        view = self.request.view
        wait = self.context.now() - view.arrival
        self.context.metrics.times.queue_wait(view.band, wait)

    def first_frame(self) -> None:
        """Note that the first frame has reached the caller."""
        now = self.context.now()
        view = self.request.view
        seconds = now - view.arrival
        self.first_token_seconds = seconds
        self.context.scheduler.first_token(view.request_id, now)
        self.context.metrics.first_token(view.band, seconds)

    def settle(self) -> None:
        """Count the request under its target, met or missed.

        A request that its caller gave up counts as missed once its target
        time is over: the caller may have left because it waited too long.
        """
        target = self.request.target
        if target is None or self._is_given_up_early(target):
            return
        view = self.request.view
        self.context.attainment.record(
            AttainmentKey(view.workspace, view.service, view.band),
            target,
            self.first_token_seconds,
        )

    def retried(self, reason: RetryReason) -> None:
        """Note that the request will be offered again."""
        self.context.metrics.retried(reason)
        self.context.log.info(
            'request_retried',
            request_id=self.request.view.request_id,
            reason=reason.value,
        )

    def frames_asked_again(self, times: int) -> None:
        """Note how many times frames were asked for again."""
        for _ in range(times):
            self.context.metrics.retried(RetryReason.FRAME_GAP)

    def closed(
        self,
        close: Close,
        endpoint: EndpointId | None,
        attempt: Attempt,
    ) -> None:
        """Note that the caller has the end of its answer."""
        self._note_gap(close)
        if close.outcome == Outcome.COMPLETE:
            return
        reason = close.reason or RefusalReason.BACKEND_FAILED
        failed = RefusedError(reason, execution=Execution.RAN)
        self.refused(failed, endpoint, attempt)

    def refused(
        self,
        refused: RefusedError,
        endpoint: EndpointId | None,
        attempt: Attempt,
    ) -> None:
        """Count, log and record that the caller has no whole answer."""
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

    def _is_given_up_early(self, target: Target) -> bool:
        waited = self.context.now() - self.request.view.arrival
        is_early = waited < target.first_token_seconds
        return self._is_left and self.first_token_seconds is None and is_early

    def _note_gap(self, close: Close) -> None:
        if self.first_token_seconds is None or close.output_tokens < 2:
            return
        since_arrival = self.context.now() - self.request.view.arrival
        streamed = since_arrival - self.first_token_seconds
        gaps = close.output_tokens - 1
        self.context.metrics.times.token_gap(streamed / gaps)


class WatchedSink(AnswerSink):
    """Hands everything on and reports the first frame."""

    def __init__(self, sink: AnswerSink, report: ExchangeReport) -> None:
        self._sink = sink
        self._report = report
        self._is_first = True

    async def admitted(self, request_id: RequestId) -> None:
        """Hand on."""
        await self._sink.admitted(request_id)

    async def frames(self, frames: Sequence[Frame]) -> None:
        """Hand on and report the first frame."""
        await self._sink.frames(frames)
        if self._is_first:
            self._is_first = False
            self._report.first_frame()

    async def close(self, close: Close) -> None:
        """Hand on."""
        await self._sink.close(close)

    def abandon(self) -> None:
        """Hand on."""
        self._sink.abandon()

    async def refuse(
        self,
        request_id: RequestId,
        refused: RefusedError,
    ) -> None:
        """Hand on."""
        await self._sink.refuse(request_id, refused)
