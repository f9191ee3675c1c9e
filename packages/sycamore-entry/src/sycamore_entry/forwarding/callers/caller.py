"""Callers' connections: requests come in, answers go out."""

import abc
import asyncio
import socket
from collections.abc import Callable, Coroutine

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import IOStream, StreamClosedError

from ..errors import CallerLeftError


class CallerRequest(msgspec.Struct, frozen=True):
    """A whole request of a caller.

    Attributes
    ----------
    arrived_at
        When its head had come, on the monotonic clock, in seconds.
    """

    start: RequestStartLine
    headers: HTTPHeaders
    body: bytes
    arrived_at: float

    @property
    def host(self) -> str:
        """Return the host that the caller asked for, without the port."""
        host, _, _ = self.headers.get('Host', '').partition(':')
        return host

    @property
    def path(self) -> str:
        """Return the path without the query."""
        path, _, _ = self.start.path.partition('?')
        return path


class CallerAnswer:
    """Writes the answer to one request.

    Attributes
    ----------
    has_begun
        Whether the head of an answer was sent.
    closes
        Whether the connection ends after this answer.
    """

    def __init__(self, connection: HTTP1Connection) -> None:
        self.connection = connection
        self.has_begun = False
        self.is_over = False
        self.closes = False
        connection.stream.set_nodelay(True)

    async def send(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Send a whole answer."""
        headers['Content-Length'] = str(len(body))
        await self.begin(status, headers, body)
        await self.finish()

    async def begin(
        self,
        status: int,
        headers: HTTPHeaders,
        piece: bytes = b'',
    ) -> None:
        """Send the head and the first bytes of an answer.

        Raises
        ------
        CallerLeftError
            If the caller has closed the connection.
        """
        self.has_begun = True
        if self.closes:
            headers['Connection'] = 'close'
        reason = responses.get(status, 'Unknown')
        start = ResponseStartLine('HTTP/1.1', status, reason)
        try:
            await self.connection.write_headers(start, headers, piece)
        except StreamClosedError as error:
            raise CallerLeftError from error

    async def write(self, piece: bytes) -> None:
        """Send more of an answer that has begun."""
        try:
            await self.connection.write(piece)
        except StreamClosedError as error:
            raise CallerLeftError from error

    async def finish(self) -> None:
        """Mark the answer as complete."""
        self.is_over = True
        stream = self.connection.stream
        self.connection.finish()
        if self.closes:
            # The caller closes as well; waiting for it would hold up an end.
            await asyncio.sleep(0)
            stream.close()

    def cut(self) -> None:
        """Close the connection: the caller sees that the answer is cut."""
        self.is_over = True
        self.connection.close()


class RequestServer(abc.ABC):
    """Serves callers' requests."""

    @abc.abstractmethod
    def serve(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
    ) -> Coroutine[None, None, None]:
        """Answer one request."""

    @property
    @abc.abstractmethod
    def hands_over(self) -> bool:
        """Whether connections are to end after their answers."""


class CallerConnections(HTTPServerConnectionDelegate):
    """All connections of callers.

    Attributes
    ----------
    waiting
        Those on which a request is awaited.
    tasks
        Exchanges in progress.
    """

    def __init__(
        self,
        server: RequestServer,
        monotonic: Callable[[], float],
    ) -> None:
        self.server = server
        self.monotonic = monotonic
        self.waiting: dict[int, HTTP1Connection] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return what takes the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        self.waiting[id(request_conn)] = request_conn
        return RequestReader(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Forget nothing: readers forget their own connections."""

    def close_waiting(self) -> None:
        """Close the connections on which nothing of a request has come.

        What goes wrong otherwise: a request has been read, or lies in the
        socket, as its connection is closed; its caller cannot tell whether
        it will run.
        """
        for key, connection in tuple(self.waiting.items()):
            if is_quiet(connection.stream):
                self.waiting.pop(key)
                connection.close()

    def begin(
        self, request: CallerRequest, connection: HTTP1Connection
    ) -> None:
        """Start the exchange of a request that has been read."""
        answer = CallerAnswer(connection)
        answer.closes = self.server.hands_over
        task = asyncio.create_task(self.server.serve(request, answer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        connection.set_close_callback(_Leaving(task, answer).on_close)


def is_quiet(stream: IOStream) -> bool:
    """Return whether nothing has come on a connection that awaits it."""
    if stream.closed():
        return True
    if not stream.reading():
        # Bytes were read, and their reader is about to run.
        return False
    try:
        return not stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return True


class _Leaving:
    """Ends an exchange whose caller closes its connection."""

    def __init__(
        self,
        task: asyncio.Task[None],
        answer: CallerAnswer,
    ) -> None:
        self.task = task
        self.answer = answer

    def on_close(self) -> None:
        """Cancel the exchange unless it has closed the connection itself."""
        if not self.answer.is_over:
            self.task.cancel()


class RequestReader(HTTPMessageDelegate):
    """Reads one request of a connection."""

    def __init__(
        self,
        connections: CallerConnections,
        connection: HTTP1Connection,
    ) -> None:
        self.connections = connections
        self.connection = connection
        self.start: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        self.arrived_at: float = 0
        self._pieces: list[bytes] = []

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take the head of the request."""
        assert isinstance(start_line, RequestStartLine)
        self.connections.waiting.pop(id(self.connection), None)
        self.start = start_line
        self.headers = headers
        self.arrived_at = self.connections.monotonic()

    def data_received(self, chunk: bytes) -> None:
        """Take bytes of the body."""
        self._pieces.append(chunk)

    def finish(self) -> None:
        """Serve the request, which is whole."""
        assert self.start is not None
        if self.connection.stream.closed():
            # Its caller has gone, or this entry has closed the connection:
            # passed on, it would run for nobody.
            return
        request = CallerRequest(
            self.start,
            self.headers,
            b''.join(self._pieces),
            self.arrived_at,
        )
        self.connections.begin(request, self.connection)

    def on_connection_close(self) -> None:
        """Forget a connection that ended before a whole request."""
        self.connections.waiting.pop(id(self.connection), None)
