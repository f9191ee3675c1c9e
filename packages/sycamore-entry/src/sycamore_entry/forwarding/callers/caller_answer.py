"""The answer to one request of a caller."""

import abc
import asyncio
import contextlib
import socket
import time
from collections.abc import Coroutine

from sycamore_core.decisions.ended_callers import EndedCaller, SilenceChecks
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine, responses
from tornado.iostream import IOStream, StreamClosedError

from ..errors import CallerDisconnectedError
from ..flow_control import (
    CONNECTION_BYTES,
    PIECE_BYTES,
    FlowControl,
    ReaderSide,
)
from ..socket_state import reset_at_close
from .caller_request import CallerRequest
from .closing import Closing
from .request_reader import RequestIntake
from .request_state import RequestState

#: Bytes that the system holds for a caller of an entry that stops, if it grants
#: as many.
_LAST_BYTES = 1_048_576


class CallerAnswer:
    """Writes the answer to one request.

    Attributes
    ----------
    has_begun
        Whether the head of an answer has been sent.
    is_over
        Whether the answer is complete or was aborted.
    is_complete
        Whether all of the answer was written.
    closes
        Whether the connection closes after this answer, once it has begun.
    caller_has_left
        Whether the caller has closed the connection before the end of its
        answer.
    is_blocked
        Whether bytes wait because the caller does not read.
    knows_chunks
        Whether the caller can read an answer in chunks.
    ends_by_close
        Whether only the close of the connection tells the end of the answer.
    request
        State of the request.
    is_given_up
        Whether the exchange ends because the caller may have left.
    is_sent_early
        Whether the answer was sent before its exchange was told to end.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        server: 'RequestServer',
        intake: RequestIntake,
    ) -> None:
        self.connection = connection
        self.server = server
        self.intake = intake
        self.has_begun = False
        self.is_over = False
        self.is_complete = False
        self.closes = False
        self.caller_has_left = False
        self.is_blocked = False
        self.knows_chunks = True
        self.ends_by_close = False
        self.request = RequestState()
        self.is_given_up = False
        self._is_system_holding = False
        self.is_sent_early = False
        _set_options(connection.stream)

    @property
    def flow(self) -> FlowControl:
        """Bounds on the bytes that are held."""
        return self.intake.flow

    @property
    def closing(self) -> Closing | None:
        """How the connection was closed; None while it is open."""
        return self.connection.stream.closing

    @property
    def may_be_sent(self) -> bool:
        """Whether the request may be sent, as its caller may wait for it."""
        caller = self._ended_caller()
        return caller is None or caller.may_be_sent()

    def goes_on(self, checks: SilenceChecks) -> bool:
        """Return whether the exchange goes on, as its caller may read on.

        Parameters
        ----------
        checks
            All earlier checks of its caller; this one is recorded.
        """
        caller = self._ended_caller()
        if caller is None:
            return True
        checks.record(caller.silent_seconds)
        if not self.request.is_at_endpoint and not self.has_begun:
            return caller.may_be_sent()
        return caller.may_go_on(
            checks, may_be_stopped=self.request.may_be_stopped
        )

    async def send(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Send a complete answer."""
        headers['Content-Length'] = str(len(body))
        body = self._sent_body(body)
        await self.begin(status, headers, body[:PIECE_BYTES])
        if len(body) > PIECE_BYTES:
            await self.write(body[PIECE_BYTES:])
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
        CallerDisconnectedError
            If the caller has closed the connection, or reads nothing.
        CancelledError
            If the answer was sent early. The exchange is about to be told.
        """
        self.end_if_sent_early()
        written = self._write_head(status, headers, piece)
        await self._drain(written, len(piece))

    def end_if_sent_early(self) -> None:
        """End an exchange whose request was answered as the process stops.

        Until it is told to end, it must neither write nor send anything.

        Raises
        ------
        CancelledError
            If the answer was sent early.
        """
        if self.is_sent_early:
            raise asyncio.CancelledError

    def send_early(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Write a short answer whole, before its exchange is told to end.

        On a slow machine, the end of an exchange takes much longer than its
        answer.
        """
        headers['Content-Length'] = str(len(body))
        self._write_head(status, headers, self._sent_body(body))
        stream = self.connection.stream
        self.is_sent_early = True
        self.is_over = True
        self.is_complete = not (stream.closed() or stream.writing())

    async def finish_early(self) -> None:
        """Finish an answer that was sent early.

        Raises
        ------
        CallerDisconnectedError
            If the caller has closed the connection before it was written.
        """
        if not self.connection.stream.closed():
            await self.finish()
        elif not self.is_complete:
            raise CallerDisconnectedError

    async def write(self, piece: bytes) -> None:
        """Send the next bytes of an answer that has begun."""
        self.end_if_sent_early()
        view = memoryview(piece)
        for begin in range(0, len(piece), PIECE_BYTES):
            part = bytes(view[begin : begin + PIECE_BYTES])
            await self._drain(self.connection.write(part), len(part))

    async def finish(self) -> None:
        """End the answer, and wait until its last bytes are written.

        Raises
        ------
        CallerDisconnectedError
            If the caller has closed the connection, or reads nothing.
        """
        self.is_over = True
        stream = self.connection.stream
        lingering = self.intake.lingering
        if self.closes:
            lingering.add(stream)
        self.connection.finish()
        if stream.writing():
            await self._drain(stream.write(b''), 0)
        self.is_complete = True
        if self.closes:
            lingering.shut_down(stream)

    def abort(self) -> None:
        """Close the connection, so that the caller sees a truncated answer."""
        self.is_over = True
        stream = self.connection.stream
        self.intake.lingering.discard(stream)
        stream.last_close = None
        if self.ends_by_close and not stream.closed():
            # The end of the connection would complete the answer.
            reset_at_close(stream.socket)
        self.connection.close()

    def _sent_body(self, body: bytes) -> bytes:
        """Return what follows the head: nothing after that of `HEAD`."""
        return b'' if self.request.is_head else body

    def _write_head(
        self, status: int, headers: HTTPHeaders, piece: bytes
    ) -> asyncio.Future[None]:
        self.has_begun = True
        self.closes = self.server.is_draining
        if self.closes:
            headers['Connection'] = 'close'
        self.ends_by_close = (
            not self.knows_chunks and 'Content-Length' not in headers
        )
        reason = responses.get(status, 'Unknown')
        start = ResponseStartLine('HTTP/1.1', status, reason)
        return self.connection.write_headers(start, headers, piece)

    def _ended_caller(self) -> EndedCaller | None:
        """Return what is known of a caller that has ended its sending side."""
        stream = self.connection.stream
        end = stream.sending_end
        if end is None:
            return None
        return EndedCaller(
            waited_seconds=end.waited_seconds,
            silent_seconds=end.silent_seconds(time.monotonic()),
            has_read=stream.has_read_since_end,
            is_blocked=self.is_blocked,
        )

    async def _drain(self, written: asyncio.Future[None], size: int) -> None:
        """Wait until the caller takes bytes; disconnect it if it does not."""
        stream = self.connection.stream
        if self.server.is_draining and not self._is_system_holding:
            self._is_system_holding = True
            _hand_to_system(stream)
        self.is_blocked = stream.writing()
        try:
            await self.flow.drain(stream, written, ReaderSide.CALLER, size)
        except StreamClosedError as error:
            raise CallerDisconnectedError from error
        finally:
            self.is_blocked = False


def _set_options(stream: IOStream) -> None:
    # A connection that has just ended refuses options. Its request is served
    # all the same, which shows that the caller has left.
    with contextlib.suppress(OSError):
        stream.set_nodelay(True)
        # The system would hold megabytes for a caller that does not read.
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, CONNECTION_BYTES // 2
        )


def _hand_to_system(stream: IOStream) -> None:
    """Let the system hold what a caller reads slowly.

    It still sends it after the end of the process, which would cut the answer
    otherwise, although its endpoint has sent all of it.
    """
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _LAST_BYTES
        )


class RequestServer(abc.ABC):
    """Serves callers' requests."""

    @abc.abstractmethod
    def serve(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
    ) -> Coroutine[None, None, None]:
        """Return the coroutine that answers one request."""

    @property
    @abc.abstractmethod
    def is_draining(self) -> bool:
        """Whether connections close after their current answer."""
