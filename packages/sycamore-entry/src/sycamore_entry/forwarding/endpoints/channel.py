"""One connection to an endpoint, managed by the entry itself.

The connection pool of a client library resends a request by itself if an idle
connection turns out to be closed, so that a deposit would be recorded twice.
This module never resends a request.
"""

import asyncio
import contextlib
import errno

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.error_translation import describe_error
from sycamore_core.http_answers import has_length
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPOutputError,
    RequestStartLine,
)
from tornado.iostream import StreamClosedError

from ..errors import AttemptError, SlowReaderError
from ..flow_control import (
    PIECE_BYTES,
    FlowControl,
    ReaderSide,
)
from ..wire import AnswerHead, WireFormat
from .answer_reader import AnswerReader
from .endpoint_stream import EndpointStream
from .time_limit import wait_within

#: Timeout of a connection attempt, in seconds. Endpoints accept within a few
#: milliseconds; an endpoint that does not is gone or unreachable.
CONNECT_SECONDS = 0.5
#: Longest time that is added to it if the event loop was late, in seconds. The
#: system has made the connection meanwhile. A longer time would delay retries
#: by more than their budget allows for.
LATE_CONNECT_SECONDS = 0.1
#: Errors that end the reading of an answer early.
_READ_ERRORS = (StreamClosedError, HTTPInputError, OSError)


class EndpointChannel:
    """A connection that carries one request at a time.

    Attributes
    ----------
    idle_since
        When the last answer ended, on the clock of the event loop.
    idle_seconds
        How long the endpoint keeps an idle connection open; None if unknown.
    """

    def __init__(
        self,
        stream: EndpointStream,
        wire: WireFormat,
        flow: FlowControl,
    ) -> None:
        self.stream = stream
        self.wire = wire
        self.flow = flow
        self.idle_since: float = 0
        self.idle_seconds: float | None = None
        self.head: AnswerHead | None = None
        self.reader = AnswerReader(flow.held, stream)
        self._request_id = ''
        self._reading: asyncio.Task[None] | None = None
        self._sending: asyncio.Task[None] | None = None

    @classmethod
    async def connect(
        cls,
        host: str,
        port: int,
        wire: WireFormat,
        flow: FlowControl,
    ) -> 'EndpointChannel':
        """Return a new connection.

        Raises
        ------
        AttemptError
            If the endpoint could not be connected to.
        NoDescriptorError
            If the process can open no connection.
        """
        stream = EndpointStream.create()
        try:
            await wait_within(
                stream.connect((host, port)),
                CONNECT_SECONDS,
                LATE_CONNECT_SECONDS,
            )
        except (StreamClosedError, TimeoutError, OSError) as error:
            stream.close()
            raise AttemptError(
                AttemptEnd.NOT_SENT,
                f'connection failed: {error}',
            ) from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return cls(stream, wire, flow)

    def send(
        self,
        start: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        request_id: str,
    ) -> None:
        """Send a request and start to read its answer."""
        self.head = None
        self.reader = AnswerReader(self.flow.held, self.stream, start.method)
        self._request_id = request_id
        connection = HTTP1Connection(self.stream, is_client=True)
        self._reading = asyncio.create_task(self._read(connection))
        self._sending = None
        if len(body) <= PIECE_BYTES:
            connection.write_headers(start, headers, body or None)
            connection.finish()
            return
        connection.write_headers(start, headers)
        self.stream.is_sending = True
        self._sending = asyncio.create_task(self._send_body(connection, body))

    async def read_head(self) -> AnswerHead:
        """Return status and headers of the answer.

        Raises
        ------
        AttemptError
            If the connection ends, or is interrupted, before the headers.
        """
        while True:
            head = self.take_head()
            if head is not None:
                return head
            if self.reader.is_over:
                raise AttemptError(
                    AttemptEnd.BROKEN,
                    self.reader.fault or 'connection closed before the answer',
                )
            await self.reader.wait()

    def take_head(self) -> AnswerHead | None:
        """Return status and headers of the answer; None before they arrive.

        Raises
        ------
        AttemptError
            If they cannot be read, or are those of another answer.
        """
        start = self.reader.start
        if self.head is not None or start is None:
            return self.head
        headers = self.reader.headers or HTTPHeaders()
        try:
            head = self.wire.read_head(start.code, headers)
        except Exception as error:
            # Any endpoint may send any header.
            raise AttemptError(
                AttemptEnd.BROKEN, f'unreadable head: {describe_error(error)}'
            ) from error
        if head.request_id and head.request_id != self._request_id:
            # A late answer to an earlier request. The connection is closed,
            # as later answers could not be matched to their requests.
            raise AttemptError(
                AttemptEnd.BROKEN,
                'the answer belongs to another request',
            )
        self.head = head
        if head.idle_seconds is not None:
            self.idle_seconds = head.idle_seconds
        return head

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body; empty once it is complete.

        Raises
        ------
        AttemptError
            If the connection ends, or is interrupted, before the body is
            complete. All that had arrived was returned by then.
        """
        while True:
            chunk = self.reader.pop_body()
            if chunk:
                return chunk
            if self.reader.is_over:
                if self.reader.is_complete:
                    return b''
                raise AttemptError(
                    AttemptEnd.BROKEN,
                    self.reader.fault or 'the answer is incomplete',
                )
            await self.reader.wait()

    def interrupt(self) -> None:
        """Let reading end once the bytes that have arrived are taken.

        The connection stays open. The answer goes on once the reader does.
        """
        self.reader.interrupt()

    @property
    def is_interrupted(self) -> bool:
        """Whether the answer was interrupted and may go on."""
        return self.reader.is_interrupted and not self.reader.is_over

    @property
    def content_length(self) -> str | None:
        """Return the length of the answer, if its head has it."""
        headers = self.reader.headers
        return None if headers is None else headers.get('Content-Length')

    @property
    def is_complete(self) -> bool:
        """Whether the answer has been received completely."""
        return self.reader.is_complete

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes of the answer have arrived that were not taken yet."""
        return self.stream.has_unread_bytes or self.reader.has_chunks

    @property
    def is_unacknowledged(self) -> bool:
        """Whether the connection broke because of missing acknowledgements."""
        error = self.stream.error
        return isinstance(error, OSError) and error.errno == errno.ETIMEDOUT

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        head = self.head
        if head is None or not self.reader.is_complete or head.closes:
            return False
        if not has_length(self.reader.headers or HTTPHeaders()):
            return False
        if self._sending is not None and not self._sending.done():
            return False
        return not self.stream.writing() and self.stream.is_clean

    def close(self) -> None:
        """Close the connection; the endpoint then cancels its request."""
        if self._sending is not None:
            self._sending.cancel()
        self.reader.close()
        # The task that reads ends, as it finds the connection closed.
        self.stream.close()

    async def _send_body(
        self,
        connection: HTTP1Connection,
        body: bytes,
    ) -> None:
        """Send a body in pieces, as fast as the endpoint reads them.

        The attempt that waits for the answer sees that the connection is
        closed if the endpoint does not read.
        """
        view = memoryview(body)
        try:
            for begin in range(0, len(body), PIECE_BYTES):
                end = begin + PIECE_BYTES
                piece = bytes(view[begin:end])
                self.stream.is_sending = end < len(body)
                await self.flow.drain(
                    self.stream,
                    connection.write(piece),
                    ReaderSide.ENDPOINT,
                    len(piece),
                )
            connection.finish()
        except (SlowReaderError, StreamClosedError, HTTPOutputError):
            self.stream.close()

    async def _read(self, connection: HTTP1Connection) -> None:
        reader = self.reader
        try:
            # The attempt that waits for the answer sees that it is incomplete
            # and logs it.
            with contextlib.suppress(*_READ_ERRORS):
                await connection.read_response(reader)
        finally:
            reader.end()
