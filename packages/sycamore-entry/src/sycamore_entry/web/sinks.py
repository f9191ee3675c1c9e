"""The forms in which a caller takes an answer."""

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


class TextPiece(msgspec.Struct, frozen=True):
    """Data of one event of a stream."""

    text: str
    tokens: int


class Ending(msgspec.Struct, frozen=True):
    """Data of the event that closes a stream."""

    outcome: Outcome
    frames: int
    checksum: int
    output_tokens: int
    reason: str = ''


class Document(msgspec.Struct, frozen=True):
    """A whole answer in one piece."""

    request_id: RequestId
    outcome: Outcome
    text: str
    output_tokens: int
    frames: int
    checksum: int


class HandlerSink(AnswerSink, abc.ABC):
    """Writes to the connection of one handler."""

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler

    async def refuse(
        self,
        request_id: RequestId,
        refused: RefusedError,
    ) -> None:
        """Send a problem document, unless an answer has begun."""
        await self._finish(set_problem(self.handler, refused, request_id))

    def abandon(self) -> None:
        """Close the connection, which no caller takes for an answer."""
        connection = self.handler.request.connection
        connection.stream.close()

    def _send_without_delay(self) -> None:
        """Have each piece of an answer sent at once.

        What goes wrong otherwise: the kernel holds a small piece back until
        the caller has acknowledged the one before, which callers do up to
        40 ms late; the first token waits behind the headers.
        """
        connection = self.handler.request.connection
        connection.stream.set_nodelay(True)

    async def _flush(self) -> None:
        try:
            await self.handler.flush()
        except StreamClosedError as error:
            raise CallerGoneError from error

    async def _finish(self, body: bytes = b'') -> None:
        try:
            await self.handler.finish(body)
        except StreamClosedError as error:
            raise CallerGoneError from error


class EventStreamSink(HandlerSink):
    """Server-sent events, numbered, with a closing event."""

    def __init__(self, handler: RequestHandler) -> None:
        super().__init__(handler)
        self.has_begun = False

    async def admitted(self, request_id: RequestId) -> None:
        """Send the id at once, so that the caller can come back with it."""
        if self.has_begun:
            return
        self.has_begun = True
        self.handler.set_header(_TYPE_HEADER, _STREAM_TYPE)
        self.handler.set_header('Cache-Control', 'no-store')
        self._send_without_delay()
        self.handler.set_header(_ID_HEADER, request_id)
        await self._flush()

    async def frames(self, frames: Sequence[Frame]) -> None:
        """Send one event for each frame."""
        for frame in frames:
            piece = TextPiece(frame.payload.decode(), frame.tokens)
            self._write(frame.sequence, b'tokens', msgspec.json.encode(piece))
        await self._flush()

    async def close(self, close: Close) -> None:
        """Send the closing event."""
        ending = Ending(
            outcome=close.outcome,
            frames=close.frames,
            checksum=close.checksum,
            output_tokens=close.output_tokens,
            reason=close.reason.value if close.reason else '',
        )
        self._write(close.frames, b'close', msgspec.json.encode(ending))
        await self._finish()

    async def refuse(
        self,
        request_id: RequestId,
        refused: RefusedError,
    ) -> None:
        """Send a problem document, as an event if a stream has begun."""
        if not self.has_begun:
            await super().refuse(request_id, refused)
            return
        problem = make_problem(refused, request_id)
        self._write(None, b'problem', msgspec.json.encode(problem))
        await self._finish()

    def _write(self, number: int | None, kind: bytes, body: bytes) -> None:
        if number is not None:
            self.handler.write(b'id: %d\n' % number)
        self.handler.write(b'event: %s\ndata: %s\n\n' % (kind, body))


class DocumentSink(HandlerSink):
    """One JSON document once the answer is whole."""

    def __init__(self, handler: RequestHandler) -> None:
        super().__init__(handler)
        self._pieces: list[bytes] = []
        self._request_id = RequestId('')

    async def admitted(self, request_id: RequestId) -> None:
        """Keep the id for the document."""
        self._request_id = request_id

    async def frames(self, frames: Sequence[Frame]) -> None:
        """Keep some pieces for the document."""
        self._pieces.extend(frame.payload for frame in frames)

    async def close(self, close: Close) -> None:
        """Send the document."""
        document = Document(
            request_id=self._request_id,
            outcome=close.outcome,
            text=b''.join(self._pieces).decode(),
            output_tokens=close.output_tokens,
            frames=close.frames,
            checksum=close.checksum,
        )
        self.handler.set_header(_TYPE_HEADER, _JSON_TYPE)
        self.handler.set_header(_ID_HEADER, self._request_id)
        await self._finish(msgspec.json.encode(document))


class PlainSink(HandlerSink):
    """The answer of a plain service as it stands."""

    def __init__(self, handler: RequestHandler) -> None:
        super().__init__(handler)
        self.has_begun = False

    async def admitted(self, request_id: RequestId) -> None:
        """Name the id in the answer."""
        self.handler.set_header(_ID_HEADER, request_id)

    async def frames(self, frames: Sequence[Frame]) -> None:
        """Hand on the status, then the body."""
        if not self.has_begun:
            self._send_without_delay()
        self.has_begun = True
        for frame in frames:
            if frame.plain_reply is not None:
                self._set_status(frame.plain_reply)
            self.handler.write(frame.payload)
        await self._flush()

    async def close(self, close: Close) -> None:
        """End the answer, or break it off so that it is not taken for one."""
        if close.outcome == Outcome.COMPLETE:
            await self._finish()
        else:
            self.abandon()

    async def refuse(
        self,
        request_id: RequestId,
        refused: RefusedError,
    ) -> None:
        """Send a problem document, or break off an answer that has begun."""
        if self.has_begun:
            self.abandon()
            return
        await super().refuse(request_id, refused)

    def _set_status(self, reply: PlainReply) -> None:
        self.handler.set_status(reply.status)
        self.handler.set_header(_TYPE_HEADER, reply.content_type)
