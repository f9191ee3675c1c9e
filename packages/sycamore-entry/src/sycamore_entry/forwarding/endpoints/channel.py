"""One connection to an endpoint, held by the entry itself.

What goes wrong with a client library's own pool: it sends a request once more
by itself when a kept connection turns out to be closed, and a deposit is
recorded twice. Here nothing is sent that was not decided.
"""

import asyncio
import contextlib
import socket

from sycamore_core.decisions.direct import AttemptEnd
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from ..errors import AttemptError
from ..wire import AnswerHead, WireFormat

#: Time to make a connection, in seconds. Endpoints accept within a few
#: milliseconds; one that does not is gone or cut off.
CONNECT_SECONDS = 0.5
#: Bytes of an answer that wait for a slow caller before reading stops.
_BUFFER_BYTES = 262_144
#: How the reading of an answer ends early.
_ENDS = (StreamClosedError, HTTPInputError, OSError)
#: Unacknowledged bytes end a connection after this time, in milliseconds. A
#: cut network would otherwise hold it for many minutes.
_USER_TIMEOUT_MS = 3000


class EndpointStream(IOStream):
    """A TCP connection that can tell whether it is fit for another request."""

    @property
    def is_clean(self) -> bool:
        """Whether it is open and no bytes have come that nobody asked for.

        What goes wrong otherwise: an endpoint sends a second answer, which
        the next request on the connection would take for its own.
        """
        if self.closed() or self._read_buffer_size:
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class AnswerReader(HTTPMessageDelegate):
    """Takes one answer as it arrives."""

    def __init__(self) -> None:
        self.start: ResponseStartLine | None = None
        self.headers: HTTPHeaders | None = None
        self.is_complete = False
        self.is_over = False
        self._pieces: list[bytes] = []
        self._waiting_bytes = 0
        self._arrived = asyncio.Event()
        self._taken = asyncio.Event()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take status and headers."""
        self.start = start_line  # type: ignore[assignment]
        self.headers = headers
        self._arrived.set()

    async def data_received(self, chunk: bytes) -> None:
        """Take bytes of the body; return once there is room for more."""
        self._pieces.append(chunk)
        self._waiting_bytes += len(chunk)
        self._arrived.set()
        while self._waiting_bytes > _BUFFER_BYTES:
            self._taken.clear()
            await self._taken.wait()

    def finish(self) -> None:
        """Note that the answer is complete."""
        self.is_complete = True
        self.end()

    def on_connection_close(self) -> None:
        """Note that the connection broke before the end."""
        self.end()

    def end(self) -> None:
        """Note that nothing more will come."""
        self.is_over = True
        self._arrived.set()

    async def wait(self) -> None:
        """Return when something has arrived since the last call."""
        await self._arrived.wait()
        self._arrived.clear()

    def take(self) -> bytes:
        """Return the bytes that have arrived and were not taken."""
        taken = b''.join(self._pieces)
        self._pieces.clear()
        self._waiting_bytes = 0
        self._taken.set()
        return taken


class EndpointChannel:
    """A connection that carries one request at a time.

    Attributes
    ----------
    idle_since
        When the last answer ended, on the loop's clock.
    idle_seconds
        How long the endpoint keeps it open; None if it did not say.
    """

    def __init__(self, stream: EndpointStream, wire: WireFormat) -> None:
        self.stream = stream
        self.wire = wire
        self.idle_since: float = 0
        self.idle_seconds: float | None = None
        self.head: AnswerHead | None = None
        self.reader = AnswerReader()
        self._request_id = ''
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    async def connect(
        cls,
        host: str,
        port: int,
        wire: WireFormat,
    ) -> 'EndpointChannel':
        """Return a new connection.

        Raises
        ------
        AttemptError
            If none could be made.
        """
        stream = EndpointStream(_new_socket())
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await stream.connect((host, port))
        except (StreamClosedError, TimeoutError, OSError) as error:
            stream.close()
            raise AttemptError(
                AttemptEnd.NOT_SENT,
                f'no connection: {error}',
            ) from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return cls(stream, wire)

    def send(
        self,
        start: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        request_id: str,
    ) -> None:
        """Begin to send a request and to read its answer."""
        self.head = None
        self.reader = AnswerReader()
        self._request_id = request_id
        connection = HTTP1Connection(self.stream, is_client=True)
        connection.write_headers(start, headers, body or None)
        connection.finish()
        self._tasks = [asyncio.create_task(self._read(connection))]

    async def read_head(self) -> AnswerHead:
        """Return status and headers of the answer.

        Raises
        ------
        AttemptError
            If the connection ends before them.
        """
        while self.head is None:
            start = self.reader.start
            if start:
                self._take_head(start)
            elif self.reader.is_over:
                raise AttemptError(AttemptEnd.BROKEN, 'closed, no answer')
            else:
                await self.reader.wait()
        return self.head

    async def read_some(self) -> bytes:
        """Return the next bytes of the body; none at its complete end.

        Raises
        ------
        AttemptError
            If the connection ends before that.
        """
        while True:
            taken = self.reader.take()
            if taken:
                return taken
            if self.reader.is_over:
                self._check_end()
                return b''
            await self.reader.wait()

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        head = self.head
        if head is None or not self.reader.is_complete or head.closes:
            return False
        is_framed = not self._is_unframed
        return is_framed and not self.stream.writing() and self.stream.is_clean

    def close(self) -> None:
        """Close the connection; an endpoint then drops its request."""
        for task in self._tasks:
            task.cancel()
        self.reader.end()
        self.stream.close()

    @property
    def _is_unframed(self) -> bool:
        headers = self.reader.headers
        if headers is None:
            return True
        return (
            'Content-Length' not in headers
            and 'Transfer-Encoding' not in headers
        )

    def _take_head(self, start: ResponseStartLine) -> None:
        headers = self.reader.headers or HTTPHeaders()
        head = self.wire.read_head(start.code, headers)
        if head.request_id and head.request_id != self._request_id:
            # An answer to an earlier request that came late. The connection
            # is given up: what follows on it cannot be told apart.
            raise AttemptError(AttemptEnd.BROKEN, 'answer to another request')
        self.head = head
        if head.idle_seconds is not None:
            self.idle_seconds = head.idle_seconds

    def _check_end(self) -> None:
        if not self.reader.is_complete:
            raise AttemptError(AttemptEnd.BROKEN, 'cut in the middle')
        if self._is_unframed and self.stream.error is not None:
            # Without a length only an orderly close marks the end; a reset
            # may come in the middle.
            raise AttemptError(AttemptEnd.BROKEN, 'reset, length not known')

    async def _read(self, connection: HTTP1Connection) -> None:
        reader = self.reader
        try:
            # Whoever waits for the answer sees that it ended before it was
            # complete, and logs that with the attempt.
            with contextlib.suppress(*_ENDS):
                await connection.read_response(reader)
        finally:
            reader.end()


def _new_socket() -> socket.socket:
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setblocking(False)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _USER_TIMEOUT_MS,
    )
    return made
