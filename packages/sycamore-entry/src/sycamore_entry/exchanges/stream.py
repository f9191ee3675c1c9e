"""Receiving an answer from an endpoint process and relaying it."""

from sycamore_core.ids import Attempt, RequestId
from sycamore_core.messages import Ack, Attach, Close, Frame, RunReport
from sycamore_core.states import Outcome, RunState

from ..answers import AnswerAssembler, AnswerSink
from ..errors import EntryError
from ..fleet import EndpointLink
from .events import EndpointLost
from .mailbox import Mailbox
from .waiting import next_event_of

#: Time without a frame after which the entry requests the rest again, since
#: the last packet may have been lost. The prefill of a prompt can take longer,
#: so the cost is one small message a request and period.
FRAME_TIMEOUT_SECONDS = 2.0
#: Time after which the entry requests missing frames again. Frames of one
#: connection arrive in order, so a gap means a lost packet.
GAP_TIMEOUT_SECONDS = 0.2
#: Silence of the endpoint process after which the answer counts as lost.
SILENCE_TIMEOUT_SECONDS = 5.0


_ABSENT_STATES = frozenset((RunState.NEVER_SEEN, RunState.WITHDRAWN))


class AnswerLostError(EntryError):
    """The endpoint process that ran the request is lost with its answer."""


class AnswerStream:
    """Receives the answer of a running attempt.

    Attributes
    ----------
    has_first_frame
        Whether the first frame has been written to the sink.
    resend_requests
        Number of times that frames were requested again.
    """

    def __init__(
        self,
        link: EndpointLink,
        request_id: RequestId,
        attempt: Attempt,
        mailbox: Mailbox,
        after: int = -1,
    ) -> None:
        self.link = link
        self.request_id = request_id
        self.mailbox = mailbox
        self.assembler = AnswerAssembler(attempt, after)
        self.has_first_frame = False
        self.resend_requests = 0
        self._silent_seconds: float = 0

    async def receive(self, sink: AnswerSink) -> Close:
        """Write all frames to `sink` and return the closing information.

        Raises
        ------
        AnswerLostError
            If the rest of the answer can no longer arrive.
        IncompleteAnswerError
            If the frames do not form a complete answer.
        """
        event_types = (Frame, RunReport, EndpointLost)
        while True:
            timeout = self._event_timeout()
            event = await next_event_of(self.mailbox, event_types, timeout)
            if isinstance(event, Frame):
                close = await self._receive_frame(event, sink)
                if close is not None:
                    return close
            elif event is None:
                self._request_resend(timeout)
            else:
                self._check_alive(event)

    async def _receive_frame(
        self, frame: Frame, sink: AnswerSink
    ) -> Close | None:
        self._silent_seconds = 0
        received = (frame, *self.mailbox.pop_frames())
        ready = [
            in_order
            for new_frame in received
            for in_order in self.assembler.add(new_frame)
        ]
        if not ready:
            return None
        close = ready[-1].close
        content = ready if close is None else ready[:-1]
        if content:
            await sink.write_frames(content)
            self.has_first_frame = True
        # The frames are acknowledged only after the caller's connection has
        # accepted them. The endpoint process stops reading from the engine if
        # too much is unacknowledged, so a slow caller does not fill the memory
        # of a process.
        last = ready[-1].sequence
        self.link.post(Ack(self.request_id, last), urgent=False)
        return close

    def _event_timeout(self) -> float:
        return (
            GAP_TIMEOUT_SECONDS
            if self.assembler.has_gap
            else FRAME_TIMEOUT_SECONDS
        )

    def _request_resend(self, waited: float) -> None:
        if not self.link.is_reporting:
            self._silent_seconds += waited
        if self._silent_seconds > SILENCE_TIMEOUT_SECONDS:
            raise AnswerLostError(self.link.endpoint)
        self.resend_requests += 1
        self.link.post(Attach(self.request_id, self.assembler.last_delivered))

    def _check_alive(self, event: RunReport | EndpointLost) -> None:
        if isinstance(event, EndpointLost):
            if event.restarted:
                raise AnswerLostError(event.endpoint)
            return
        # For a caller that reconnected, all endpoints of the service were
        # queried. Reports of other endpoints that have never seen the request
        # do not concern this endpoint.
        is_own_endpoint = event.endpoint == self.link.endpoint
        if is_own_endpoint and event.state in _ABSENT_STATES:
            raise AnswerLostError(self.link.endpoint)


def is_complete(close: Close) -> bool:
    """Return whether an answer completed."""
    return close.outcome == Outcome.COMPLETE
