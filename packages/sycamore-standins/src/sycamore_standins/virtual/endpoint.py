"""An endpoint process in virtual time: it accepts or declines, and reports."""

from collections.abc import Sequence

from sycamore_core.decisions import EndpointView
from sycamore_core.ids import EndpointId, GroupId, ServiceId, ZoneId
from sycamore_core.states import EndpointPhase

from ..engine import (
    EngineModel,
    OutOfMemoryError,
    SequenceRequest,
    SpanRequest,
)


class VirtualEndpoint:
    """One engine model and the gate before it."""

    def __init__(
        self,
        endpoint: EndpointId,
        service: ServiceId,
        engine: EngineModel,
    ) -> None:
        self.endpoint = endpoint
        self.service = service
        self.engine = engine
        self.phase = EndpointPhase.LIVE

    def view(self, now: float) -> EndpointView:
        """Return the report of now; what comes from the engine lags."""
        load = self.engine.lagged_load(now)
        long_tokens = sum(span.tokens for span in self.engine.spans())
        return EndpointView(
            endpoint=self.endpoint,
            service=self.service,
            zone=ZoneId('z1'),
            phase=self.phase,
            reported_at=now,
            free_tokens=self.engine.memory.free_tokens,
            capacity_tokens=load.capacity_tokens,
            running=load.running,
            waiting=load.waiting,
            backlog_tokens=load.backlog_tokens,
            long_tokens=long_tokens,
            service_rate=load.prefill_rate,
            step_seconds=load.step_seconds,
        )

    def accept(self, request: SequenceRequest, now: float) -> bool:
        """Run a request if its memory fits; tell whether it does."""
        try:
            self.engine.submit(request, now)
        except OutOfMemoryError:
            return False
        return True


class Group:
    """A prompt whose spans are computed one after the other.

    Parameters
    ----------
    members
        Endpoints in span order; the last one generates the answer.
    """

    def __init__(
        self,
        request: SequenceRequest,
        members: Sequence[VirtualEndpoint],
    ) -> None:
        self.request = request
        self.members = members
        self.name = GroupId(f'g-{request.request_id}')
        self.done = 0
        self.span_tokens = request.prompt_tokens // len(members)

    def fits(self) -> bool:
        """Tell whether every member has memory for its span."""
        needed = self.span_tokens + self.request.max_output_tokens
        needed += len(self.members)
        return all(
            member.engine.memory.free_tokens >= needed
            for member in self.members
        )

    def start_next(self, now: float) -> bool:
        """Start the next span or, after the last one, the answer."""
        last = len(self.members) - 1
        first_token = self.done * self.span_tokens
        member = self.members[self.done]
        if self.done < last:
            span = SpanRequest(
                group=self.name,
                span=self.done,
                tokens=self.span_tokens,
                first_token=first_token,
                priority=self.request.priority,
            )
            try:
                member.engine.prepare_span(span, now)
            except OutOfMemoryError:
                return False
            self.done += 1
            return True
        return member.accept(
            SequenceRequest(
                request_id=self.request.request_id,
                prompt_tokens=self.request.prompt_tokens,
                max_output_tokens=self.request.max_output_tokens,
                output_tokens=self.request.output_tokens,
                priority=self.request.priority,
                imported_tokens=first_token,
            ),
            now,
        )

    def release(self, now: float) -> None:
        """Free the spans and end the answer."""
        for member in self.members:
            member.engine.release_group(self.name, now)
        self.members[-1].engine.cancel(self.request.request_id, now)
