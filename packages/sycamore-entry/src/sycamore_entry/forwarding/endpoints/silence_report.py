"""Reports attempts that are given up because their endpoint is silent."""

import enum

from ..calls import AdmittedRequest
from ..context import ForwardingContext
from .channel import EndpointChannel
from .move_permit import PermitState


class SocketState(enum.StrEnum):
    """Whether an endpoint that seems silent has sent something."""

    EMPTY = 'empty'
    #: Bytes have arrived that the entry has not read yet.
    UNREAD = 'unread'

    @classmethod
    def from_channel(cls, channel: EndpointChannel) -> 'SocketState':
        """Return the state of a connection to an endpoint."""
        return cls.UNREAD if channel.has_unread_bytes else cls.EMPTY


class SilenceReport:
    """Logs and counts the attempts that are given up for silence."""

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context

    def record(
        self,
        call: AdmittedRequest,
        channel: EndpointChannel,
        *,
        permit: PermitState,
        silent_seconds: float,
        late_seconds: float,
        has_event: bool,
    ) -> None:
        """Record that an attempt is given up.

        Parameters
        ----------
        permit
            Whether a retry is reserved for the request.
        late_seconds
            How late the check ran.
        has_event
            Whether the caller has received an event.
        """
        socket_state = SocketState.from_channel(channel)
        outcomes = self.context.metrics.outcomes
        outcomes.silent_attempts.add(socket_state)
        budget = self.context.retry_budget(call.service.service)
        state = budget.state(self.context.clock.monotonic())
        self.context.log.info(
            'attempt_silent',
            request_id=call.request_id,
            socket=socket_state,
            permit=permit,
            silent_seconds=round(silent_seconds, 3),
            late_seconds=round(late_seconds, 3),
            has_event=has_event,
            **state.log_fields(),
        )
