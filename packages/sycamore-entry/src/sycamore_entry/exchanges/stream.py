"""Receiving an answer from an endpoint process and handing it on."""

from sycamore_core.ids import Attempt, RequestId
from sycamore_core.messages import Ack, Attach, Close, Frame, RunReport
from sycamore_core.states import Outcome, RunState

from ..answers import AnswerAssembler, AnswerSink
from ..errors import EntryError
from ..fleet import EndpointLink
from .events import EndpointLost
from .mailbox import Mailbox
from .waiting import next_of

#: After this long without a frame the endpoint process is asked again, as the
#: last packet may have been lost; a prompt's prefill takes longer than that,
#: so asking costs one small message a request and period.
ASK_AGAIN_SECONDS = 2.0
#: A gap is asked for again after this long; frames of one connection arrive
#: in order, so a gap means a lost packet.
GAP_SECONDS = 0.2
#: How long a silent endpoint process may take to come back with the rest.
SILENCE_PATIENCE_SECONDS = 5.0


_ABSENT = frozenset((RunState.NEVER_SEEN, RunState.WITHDRAWN))


class AnswerLostError(EntryError):
    """The endpoint process that ran the request is gone with its answer."""


class AnswerStream:
    """The answer of an attempt that runs.

    Attributes
    ----------
    has_first
        Whether the first frame has been handed on.
    asked_again
        How many times frames were asked for again.
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
        self.has_first = False
        self.asked_again = 0
        self._silent_seconds: float = 0

    async def receive(self, sink: AnswerSink) -> Close:
        """Hand all frames on to `sink` and return the closing one's content.

        Raises
        ------
        AnswerLostError
            If the rest of the answer cannot come any more.
        CutAnswerError
            If the frames do not make up a whole answer.
        """
        kinds = (Frame, RunReport, EndpointLost)
        while True:
            wait = self._wait_seconds()
            event = await next_of(self.mailbox, kinds, wait)
            if isinstance(event, Frame):
                close = await self._take(event, sink)
                if close is not None:
                    return close
            elif event is None:
                self._ask_again(wait)
            else:
                self._check_alive(event)

    async def _take(self, frame: Frame, sink: AnswerSink) -> Close | None:
        self._silent_seconds = 0
        arrived = (frame, *self.mailbox.following_frames())
        ready = [
            in_order for one in arrived for in_order in self.assembler.add(one)
        ]
        if not ready:
            return None
        close = ready[-1].close
        pieces = ready if close is None else ready[:-1]
        if pieces:
            await sink.frames(pieces)
            self.has_first = True
        # Acknowledged only now that the caller has room for more: the
        # endpoint process stops reading from the engine when too much is
        # not acknowledged, so a slow caller fills no process's memory.
        last = ready[-1].sequence
        self.link.post(Ack(self.request_id, last), urgent=False)
        return close

    def _wait_seconds(self) -> float:
        return GAP_SECONDS if self.assembler.has_gap else ASK_AGAIN_SECONDS

    def _ask_again(self, waited: float) -> None:
        if not self.link.is_heard:
            self._silent_seconds += waited
        if self._silent_seconds > SILENCE_PATIENCE_SECONDS:
            raise AnswerLostError(self.link.endpoint)
        self.asked_again += 1
        self.link.post(Attach(self.request_id, self.assembler.handed_on))

    def _check_alive(self, event: RunReport | EndpointLost) -> None:
        if isinstance(event, EndpointLost):
            if event.restarted:
                raise AnswerLostError(event.endpoint)
            return
        # A caller that came back had all endpoints of the service asked; that
        # the others have never seen the request says nothing of this one.
        is_mine = event.endpoint == self.link.endpoint
        if is_mine and event.state in _ABSENT:
            raise AnswerLostError(self.link.endpoint)


def is_whole(close: Close) -> bool:
    """Whether an answer ended as it should."""
    return close.outcome == Outcome.COMPLETE
