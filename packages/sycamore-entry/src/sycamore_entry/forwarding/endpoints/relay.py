"""Forwards the answer of an endpoint to the caller."""

import time
from collections.abc import Callable

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.routing import Route, RouteKind

from ..callers.caller_answer import CallerAnswer
from ..errors import AttemptError
from ..wire import AnswerHead
from .channel import EndpointChannel
from .events import StreamEvent
from .held_body import HeldBody
from .relayed_stream import RelayedStream

_NO_EVENT = -1
_FIRST_SERVER_ERROR = 500
#: Statuses from which callers conclude that a request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class AnswerRelay:
    """Relays the answer to one request, across all attempts.

    Parameters
    ----------
    on_first_bytes
        Called before the first bytes of an answer are forwarded.
    on_output
        Called before an answer or events are forwarded, and before a stream is
        completed.

    Attributes
    ----------
    last_event_id
        Id of the last event that the caller has received; -1 before the first.
    forward_seconds
        Time that forwarding the last events took, in seconds.
    failure
        Head and body of the last answer that reports a failed request.
    """

    def __init__(
        self,
        answer: CallerAnswer,
        route: Route,
        on_first_bytes: Callable[[], None],
        on_output: Callable[[], None],
    ) -> None:
        self.answer = answer
        self.route = route
        self.on_first_bytes = on_first_bytes
        self.on_output = on_output
        self.last_event_id = _NO_EVENT
        self.forward_seconds: float = 0
        self.failure: tuple[AnswerHead, bytes] | None = None

    @property
    def after_event(self) -> str:
        """Return the id after which to resume the stream; empty at first."""
        return '' if self.last_event_id < 0 else str(self.last_event_id)

    async def relay_whole(
        self,
        head: AnswerHead,
        channel: EndpointChannel,
        on_forwarding: Callable[[], None],
    ) -> None:
        """Read a complete answer and forward it.

        An answer that is too long to be held is forwarded as it arrives, if it
        is signed and the endpoint has not failed. Any other such answer is
        refused, and so is, without its body, one that cannot be forwarded: a
        faulty endpoint may send bytes without end.

        Parameters
        ----------
        on_forwarding
            Called before the first piece of an incomplete answer is forwarded.

        Raises
        ------
        AttemptError
            If the answer is incomplete or reports that the request failed.
        """
        _check_usable(head)
        with HeldBody(self.answer.flow.held) as held:
            is_whole = await held.read(channel)
            if is_whole:
                await self._send_whole(head, held.take())
                return
            rest = [held.take()]
        if not _may_forward(head):
            raise AttemptError(
                AttemptEnd.BROKEN, f'status {head.status}, too long to be held'
            )
        on_forwarding()
        await self._begin_rest(head, channel)
        # Nothing refers to the first part while the rest is forwarded.
        await self.answer.write(rest.pop())
        await self._forward_rest(channel)

    async def relay_stream(
        self,
        stream: RelayedStream,
        on_event: Callable[[], None],
    ) -> None:
        """Forward events as they arrive, until the stream ends.

        Raises
        ------
        AttemptError
            If the stream breaks or is interrupted. Complete events have been
            forwarded by then.
        """
        has_ended = False
        while not has_ended:
            has_ended = await self._relay_chunk(stream, on_event)
        await self._finish(stream)

    async def relay_failure(self) -> None:
        """Forward the last answer that reports a failure."""
        assert self.failure is not None
        head, body = self.failure
        await self.answer.send(head.status, head.headers, body)

    async def _send_whole(self, head: AnswerHead, body: bytes) -> None:
        if not head.is_success:
            self.failure = (head, body)
            raise AttemptError(AttemptEnd.FAILED, f'status {head.status}')
        self.on_output()
        self.on_first_bytes()
        await self.answer.send(head.status, head.headers, body)

    async def _begin_rest(
        self, head: AnswerHead, channel: EndpointChannel
    ) -> None:
        self.on_output()
        self.on_first_bytes()
        if channel.content_length is not None:
            head.headers['Content-Length'] = channel.content_length
        await self.answer.begin(head.status, head.headers)

    async def _forward_rest(self, channel: EndpointChannel) -> None:
        chunk = await channel.read_chunk()
        while chunk:
            with self.answer.flow.held.holding(len(chunk)):
                await self.answer.write(chunk)
            chunk = await channel.read_chunk()
        await self.answer.finish()

    def _is_new(self, event: StreamEvent) -> bool:
        if event.number < 0:
            return True
        return event.number > self.last_event_id

    async def _relay_chunk(
        self,
        stream: RelayedStream,
        on_event: Callable[[], None],
    ) -> bool:
        """Forward what has arrived; return whether the stream has ended."""
        payload = await self._read_payload(stream, on_event)
        if payload is None:
            return True
        began = time.monotonic()
        if payload:
            with self.answer.flow.held.holding(len(payload)):
                await self._forward(stream, payload)
        self.forward_seconds = time.monotonic() - began
        return False

    async def _read_payload(
        self,
        stream: RelayedStream,
        on_event: Callable[[], None],
    ) -> bytes | None:
        """Return new events; None if the stream has ended.

        Nothing else is kept of what has arrived: the caller may read slowly.
        """
        chunk = await stream.channel.read_chunk()
        if not chunk:
            return None
        on_event()
        return self._new_payload(stream, chunk)

    def _new_payload(self, stream: RelayedStream, chunk: bytes) -> bytes:
        """Return the new events that a chunk completes, to be forwarded."""
        events = [
            event
            for event in stream.splitter.feed(chunk)
            if self._is_new(event)
        ]
        if not events:
            return b''
        self.on_output()
        stream.has_forwarded = True
        # The last of them may be a comment, which has no id.
        numbers = (event.number for event in events)
        self.last_event_id = max(self.last_event_id, *numbers)
        return b''.join(event.payload for event in events)

    async def _forward(self, stream: RelayedStream, payload: bytes) -> None:
        if self.answer.has_begun:
            await self.answer.write(payload)
            return
        self.on_first_bytes()
        head = stream.head
        await self.answer.begin(head.status, head.headers, payload)

    async def _finish(self, stream: RelayedStream) -> None:
        if stream.splitter.remainder.strip():
            raise AttemptError(
                AttemptEnd.BROKEN,
                'the stream ends within an event',
            )
        if not self.answer.has_begun:
            if self.route.kind == RouteKind.RESUMABLE_STREAM:
                raise AttemptError(
                    AttemptEnd.BROKEN,
                    'the stream has no event',
                )
            await self.answer.begin(stream.head.status, stream.head.headers)
        self.on_output()
        await self.answer.finish()


def _check_usable(head: AnswerHead) -> None:
    """Check that an answer may be forwarded, whatever its body is.

    Raises
    ------
    AttemptError
        If it may not.
    """
    if head.status in _NOT_RUN_STATUSES:
        # The caller would conclude from this status that the request has not
        # run, which the endpoint has not stated.
        raise AttemptError(AttemptEnd.BROKEN, f'status {head.status}')
    if head.is_success and not head.is_signed:
        raise AttemptError(AttemptEnd.BROKEN, 'the answer is not signed')


def _may_forward(head: AnswerHead) -> bool:
    """Return whether an answer may be forwarded before it is complete."""
    return head.is_signed and head.status < _FIRST_SERVER_ERROR
