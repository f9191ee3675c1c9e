"""The formats in which a caller can receive an answer."""

import abc
from collections.abc import Sequence

import msgspec
from sycamore_core.ids import RequestId
from sycamore_core.messages import Close, Frame, PlainReply
from sycamore_core.states import Outcome
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from ..answers import AnswerSink
from ..errors import CallerGoneError, RefusedError
from .problems import make_problem, set_problem

_TYPE_HEADER = 'Content-Type'
_ID_HEADER = 'Request-Id'
_JSON_TYPE = 'application/json'
_STREAM_TYPE = 'text/event-stream'


class TextEvent(msgspec.Struct, frozen=True):
    """Data of one event in a stream."""

    text: str
    tokens: int


class ClosingEvent(msgspec.Struct, frozen=True):
    """Data of the event that closes a stream."""

    outcome: Outcome
    frames: int
    checksum: int
    output_tokens: int
    reason: str = ''


class AnswerDocument(msgspec.Struct, frozen=True):
    """A complete answer in one document."""

    request_id: RequestId
    outcome: Outcome
    text: str
    output_tokens: int
    frames: int
    checksum: int


class HandlerSink(AnswerSink, abc.ABC):
    """Base class of sinks that write to the connection of a handler."""

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler
        self.is_finished = False

    async def refuse(
        self,
        request_id: RequestId,
        refused: RefusedError,
    ) -> None:
        """Send a problem document, unless an answer has begun."""
        if not self.is_finished:
            await self._finish(set_problem(self.handler, refused, request_id))

    def abort(self) -> None:
        """Close the connection, so that the answer is visibly incomplete."""
        connection = self.handler.request.connection
        connection.stream.close()

    def _send_without_delay(self) -> None:
        """Disable Nagle's algorithm for the connection.

        Otherwise, the kernel holds back a small segment until the caller has
        acknowledged the segment before, and callers delay acknowledgements by
        up to 40 ms. The first token would then wait behind the headers.
        """
        connection = self.handler.request.connection
        connection.stream.set_nodelay(True)

    async def _flush(self) -> None:
        try:
            await self.handler.flush()
        except StreamClosedError as error:
            raise CallerGoneError from error

    async def _finish(self, body: bytes = b'') -> None:
        self.is_finished = True
        try:
            await self.handler.finish(body)
        except StreamClosedError as error:
            raise CallerGoneError from error


class EventStreamSink(HandlerSink):
    """Sends numbered server-sent events and a closing event."""

    def __init__(self, handler: RequestHandler) -> None:
        super().__init__(handler)
        self.has_started = False

    async def start(self, request_id: RequestId) -> None:
        """Send the id immediately, so that the caller can reconnect with it."""
        if self.has_started:
            return
        self.has_started = True
        self.handler.set_header(_TYPE_HEADER, _STREAM_TYPE)
        self.handler.set_header('Cache-Control', 'no-store')
        self._send_without_delay()
        self.handler.set_header(_ID_HEADER, request_id)
        await self._flush()

    async def write_frames(self, frames: Sequence[Frame]) -> None:
        """Send one event for each frame."""
        for frame in frames:
            text_event = TextEvent(frame.payload.decode(), frame.tokens)
            self._write_event(
                frame.sequence, b'tokens', msgspec.json.encode(text_event)
            )
        await self._flush()

    async def close(self, close: Close) -> None:
        """Send the closing event."""
        closing = ClosingEvent(
            outcome=close.outcome,
            frames=close.frames,
            checksum=close.checksum,
            output_tokens=close.output_tokens,
            reason=close.reason.value if close.reason else '',
        )
        self._write_event(close.frames, b'close', msgspec.json.encode(closing))
        await self._finish()

    async def refuse(
        self,
        request_id: RequestId,
        refused: RefusedError,
    ) -> None:
        """Send a problem document, as an event if a stream has begun."""
        if self.is_finished or not self.has_started:
            await super().refuse(request_id, refused)
            return
        problem = make_problem(refused, request_id)
        self._write_event(None, b'problem', msgspec.json.encode(problem))
        await self._finish()

    def _write_event(
        self, number: int | None, kind: bytes, body: bytes
    ) -> None:
        if number is not None:
            self.handler.write(b'id: %d\n' % number)
        self.handler.write(b'event: %s\ndata: %s\n\n' % (kind, body))


class DocumentSink(HandlerSink):
    """Sends a JSON document once the answer is complete."""

    def __init__(self, handler: RequestHandler) -> None:
        super().__init__(handler)
        self._payloads: list[bytes] = []
        self._request_id = RequestId('')

    async def start(self, request_id: RequestId) -> None:
        """Store the id for the document."""
        self._request_id = request_id

    async def write_frames(self, frames: Sequence[Frame]) -> None:
        """Store the payloads for the document."""
        self._payloads.extend(frame.payload for frame in frames)

    async def close(self, close: Close) -> None:
        """Send the document."""
        document = AnswerDocument(
            request_id=self._request_id,
            outcome=close.outcome,
            text=b''.join(self._payloads).decode(),
            output_tokens=close.output_tokens,
            frames=close.frames,
            checksum=close.checksum,
        )
        self.handler.set_header(_TYPE_HEADER, _JSON_TYPE)
        self.handler.set_header(_ID_HEADER, self._request_id)
        await self._finish(msgspec.json.encode(document))


class PlainSink(HandlerSink):
    """Sends the answer of a plain service unchanged."""

    def __init__(self, handler: RequestHandler) -> None:
        super().__init__(handler)
        self.has_started = False

    async def start(self, request_id: RequestId) -> None:
        """Set the header with the request id."""
        self.handler.set_header(_ID_HEADER, request_id)

    async def write_frames(self, frames: Sequence[Frame]) -> None:
        """Write the status, then the body."""
        if not self.has_started:
            self._send_without_delay()
        self.has_started = True
        for frame in frames:
            if frame.plain_reply is not None:
                self._set_status(frame.plain_reply)
            self.handler.write(frame.payload)
        await self._flush()

    async def close(self, close: Close) -> None:
        """End the answer, or abort it visibly if it is incomplete."""
        if close.outcome == Outcome.COMPLETE:
            await self._finish()
        else:
            self.abort()

    async def refuse(
        self,
        request_id: RequestId,
        refused: RefusedError,
    ) -> None:
        """Send a problem document, or abort an answer that has begun."""
        if self.has_started and not self.is_finished:
            self.abort()
            return
        await super().refuse(request_id, refused)

    def _set_status(self, reply: PlainReply) -> None:
        self.handler.set_status(reply.status)
        self.handler.set_header(_TYPE_HEADER, reply.content_type)
