"""Reading of requests on the connections of callers."""

import abc
import math
from collections.abc import Callable

from sycamore_core.telemetry import Log
from sycamore_core.telemetry.tallies import Tally
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)

from ..flow_control import FlowControl
from .caller_request import CallerRequest
from .lingering import LingeringConnections
from .request_body import RequestBody
from .statuses import retry_after_field


class RequestIntake(abc.ABC):
    """Connections on which a request is awaited or read.

    Attributes
    ----------
    idle
        Connections that await a request.
    reading
        Requests whose head has arrived and whose body has not.
    lingering
        Connections that have their last answer.
    lost_answers
        Counts of connections whose close may have lost a complete answer, by
        who closed them.
    """

    def __init__(
        self,
        monotonic: Callable[[], float],
        flow: FlowControl,
    ) -> None:
        self.monotonic = monotonic
        self.flow = flow
        self.log = Log('callers')
        self.idle: dict[int, HTTP1Connection] = {}
        self.reading: set[RequestReader] = set()
        self.lingering = LingeringConnections()
        self.lost_answers = Tally('closed_by')

    @abc.abstractmethod
    def begin(
        self,
        request: CallerRequest,
        connection: HTTP1Connection,
        body: RequestBody,
    ) -> None:
        """Start the exchange of a request that has been read completely."""

    def close_idle(self, since: float = math.inf) -> None:
        """Close the connections on which no byte of a request has arrived.

        If a connection were closed after a request has been read, or while
        its bytes are in the socket's buffer, the caller could not tell whether
        the request runs.

        Parameters
        ----------
        since
            Time on the monotonic clock, in seconds; connections that have
            awaited a request only since later are left.
        """
        for key, connection in tuple(self.idle.items()):
            stream = connection.stream
            if stream.awaiting_since <= since and stream.is_idle:
                self.idle.pop(key)
                stream.close_idle()

    def refuse_incomplete(self, status: int, arrived_until: float) -> None:
        """Refuse requests whose bodies have not arrived completely.

        Parameters
        ----------
        status
            Status that promises that the request has not run.
        arrived_until
            Time on the monotonic clock, in seconds; requests whose head
            arrived later are left.
        """
        for reader in tuple(self.reading):
            if reader.arrived_at <= arrived_until:
                reader.refuse(status)


class RequestReader(HTTPMessageDelegate):
    """Reads one request of a connection.

    Parameters
    ----------
    is_kept
        Whether the connection has carried a request before.
    """

    def __init__(
        self,
        intake: RequestIntake,
        connection: HTTP1Connection,
        *,
        is_kept: bool = False,
    ) -> None:
        self.intake = intake
        self.connection = connection
        self.is_kept = is_kept
        self.start: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        self.arrived_at: float = 0
        self.is_refused = False
        self._body = RequestBody(intake.flow.held)

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the head of the request."""
        assert isinstance(start_line, RequestStartLine)
        self.intake.idle.pop(id(self.connection), None)
        self.start = start_line
        self.headers = headers
        self.arrived_at = self.intake.monotonic()
        self.intake.reading.add(self)
        self._body.reserve(headers.get('Content-Length', ''))

    def data_received(self, chunk: bytes) -> None:
        """Store bytes of the body."""
        if not self.is_refused:
            self._body.add(chunk)

    def finish(self) -> None:
        """Start the exchange of the complete request."""
        assert self.start is not None
        self.intake.reading.discard(self)
        if self.is_refused:
            return
        if self.connection.stream.closed():
            # The caller has disconnected, or this entry has closed the
            # connection. Nobody would receive the answer.
            self._body.release()
            return
        request = CallerRequest(
            self.start,
            self.headers,
            self._body.take(),
            self.arrived_at,
            exceeds_memory=self._body.is_dropped,
            read_at=self.intake.monotonic(),
            is_kept=self.is_kept,
        )
        self.intake.begin(request, self.connection, self._body)

    def on_connection_close(self) -> None:
        """Remove a connection that closed before a complete request."""
        self.intake.idle.pop(id(self.connection), None)
        self.intake.reading.discard(self)
        self._body.release()

    def refuse(self, status: int) -> None:
        """Refuse a request whose body has not arrived; drop the rest of it."""
        self.is_refused = True
        self.intake.reading.discard(self)
        self._body.release()
        self.intake.log.info(
            'incomplete_body_refused',
            status=status,
            seconds=round(self.intake.monotonic() - self.arrived_at, 3),
        )
        headers = HTTPHeaders(
            {
                'Connection': 'close',
                'Content-Length': '0',
                'Retry-After': retry_after_field(),
            },
        )
        start = ResponseStartLine('HTTP/1.1', status, responses[status])
        self.connection.write_headers(start, headers)
        self.intake.lingering.shut_down(self.connection.stream)
