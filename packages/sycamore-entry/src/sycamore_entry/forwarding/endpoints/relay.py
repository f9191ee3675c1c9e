"""Hands an endpoint's answer on to the caller."""

from collections.abc import Callable

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.routing import Route, RouteKind

from ..callers.caller import CallerAnswer
from ..errors import AttemptError
from ..wire import AnswerHead
from .channel import EndpointChannel
from .events import EventCutter, StreamEvent

_NO_EVENT = -1
#: Statuses by which callers take it that a request has not run.
_PROMISES = frozenset((408, 421, 429, 503))


class AnswerRelay:
    """The answer to one request, over all attempts.

    Attributes
    ----------
    last_number
        Id of the last event that the caller has; -1 if it has none.
    failure
        The last answer of an endpoint that it failed, and its body.
    """

    def __init__(
        self,
        answer: CallerAnswer,
        route: Route,
        on_first: Callable[[], None],
    ) -> None:
        self.answer = answer
        self.route = route
        self.on_first = on_first
        self.last_number = _NO_EVENT
        self.failure: tuple[AnswerHead, bytes] | None = None

    @property
    def after_event(self) -> str:
        """Return the event after which a stream is resumed, if it has begun."""
        return '' if self.last_number < 0 else str(self.last_number)

    async def whole(self, head: AnswerHead, channel: EndpointChannel) -> None:
        """Read a whole answer and hand it on.

        Raises
        ------
        AttemptError
            If it is not whole, or says that the request failed.
        """
        body = await _read_whole(channel)
        if head.status in _PROMISES:
            # Handed on, this status would say that the request has not run,
            # which the endpoint does not say.
            raise AttemptError(AttemptEnd.BROKEN, f'status {head.status}')
        if not head.is_success:
            self.failure = (head, body)
            raise AttemptError(AttemptEnd.FAILED, f'status {head.status}')
        if not head.is_signed:
            raise AttemptError(AttemptEnd.BROKEN, 'not signed')
        self.on_first()
        await self.answer.send(head.status, head.headers, body)

    async def stream(
        self,
        head: AnswerHead,
        channel: EndpointChannel,
        on_event: Callable[[], None],
    ) -> None:
        """Hand events on as they arrive, until the stream ends.

        Raises
        ------
        AttemptError
            If it breaks; events that were whole have been handed on.
        """
        cutter = EventCutter()
        piece = await channel.read_some()
        while piece:
            on_event()
            events = [one for one in cutter.feed(piece) if self._is_new(one)]
            if events:
                await self._hand_on(head, events)
            piece = await channel.read_some()
        await self._finish(head, cutter.rest)

    async def hand_on_failure(self) -> None:
        """Hand on an endpoint's own failure."""
        assert self.failure is not None
        head, body = self.failure
        await self.answer.send(head.status, head.headers, body)

    def _is_new(self, event: StreamEvent) -> bool:
        if event.number < 0:
            return True
        return event.number > self.last_number

    async def _hand_on(
        self,
        head: AnswerHead,
        events: list[StreamEvent],
    ) -> None:
        payload = b''.join(event.payload for event in events)
        self.last_number = max(self.last_number, events[-1].number)
        if self.answer.has_begun:
            await self.answer.write(payload)
            return
        self.on_first()
        await self.answer.begin(head.status, head.headers, payload)

    async def _finish(self, head: AnswerHead, rest: bytes) -> None:
        if rest.strip():
            raise AttemptError(AttemptEnd.BROKEN, 'ends within an event')
        if not self.answer.has_begun:
            if self.route.kind == RouteKind.RESUMABLE_STREAM:
                raise AttemptError(AttemptEnd.BROKEN, 'no event')
            await self.answer.begin(head.status, head.headers)
        await self.answer.finish()


async def _read_whole(channel: EndpointChannel) -> bytes:
    pieces: list[bytes] = []
    piece = await channel.read_some()
    while piece:
        pieces.append(piece)
        piece = await channel.read_some()
    return b''.join(pieces)
