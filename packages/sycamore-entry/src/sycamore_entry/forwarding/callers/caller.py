"""HTTP connections of callers, and the exchanges on them."""

import asyncio
import contextlib
from collections.abc import Callable, Collection

from sycamore_core.telemetry import error_fields
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)

from ..errors import CallerDisconnectedError
from ..flow_control import FlowControl
from .caller_answer import CallerAnswer, RequestServer
from .caller_request import CallerRequest
from .disconnect import DisconnectHandler
from .lingering import DroppedRequest
from .open_exchanges import OpenExchanges
from .request_body import RequestBody
from .request_reader import RequestIntake, RequestReader
from .statuses import UNAVAILABLE, retry_after_field


class CallerConnections(RequestIntake, HTTPServerConnectionDelegate):
    """All connections of callers.

    Attributes
    ----------
    open
        All connections, with their latest request.
    exchanges
        Exchanges in progress.
    """

    def __init__(
        self,
        server: RequestServer,
        monotonic: Callable[[], float],
        flow: FlowControl,
    ) -> None:
        super().__init__(monotonic, flow)
        self.server = server
        self.open: dict[object, HTTP1Connection] = {}
        self.exchanges = OpenExchanges()

    @property
    def tasks(self) -> Collection[asyncio.Task[None]]:
        """Exchanges in progress."""
        return self.exchanges.answers.keys()

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        is_kept = server_conn in self.open
        self.open[server_conn] = request_conn
        request_conn.stream.last_close = self.lingering
        request_conn.stream.start_request(self.monotonic())
        if request_conn.stream in self.lingering.streams:
            return DroppedRequest()
        self.idle[id(request_conn)] = request_conn
        return RequestReader(self, request_conn, is_kept=is_kept)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that is closed, once its caller has closed it."""
        connection = self.open.get(server_conn)
        if connection is None:
            return
        self.idle.pop(id(connection), None)
        stream = connection.stream
        self.lingering.discard(stream)
        if stream in self.lingering.streams:
            stream.on_closed = lambda: self._forget(server_conn)
        else:
            self._forget(server_conn)

    def close_all(self) -> None:
        """Close all connections at once, so that no request is read."""
        for connection in tuple(self.open.values()):
            connection.close()
        self.lingering.close_all()

    def begin(
        self,
        request: CallerRequest,
        connection: HTTP1Connection,
        body: RequestBody,
    ) -> None:
        """Start the exchange of a request that has been read completely."""
        answer = CallerAnswer(connection, self.server, self)
        answer.knows_chunks = request.start.version != 'HTTP/1.0'
        answer.request.is_head = request.start.method == 'HEAD'
        task = asyncio.create_task(self._serve(request, answer))
        self.exchanges.add(task, answer)
        task.add_done_callback(lambda _: body.release())
        handler = DisconnectHandler(task, answer)
        connection.set_close_callback(handler.on_close)
        connection.stream.expect_answer(handler.on_sending_end)

    def _forget(self, server_conn: object) -> None:
        """Forget a connection, and log if it may have lost an answer."""
        connection = self.open.pop(server_conn, None)
        if connection is None:
            return
        stream = connection.stream
        closing = stream.closing
        if stream.has_request and closing and closing.may_lose_answer:
            self.lost_answers.add(closing.closed_by)
            self.log.info('answer_may_be_lost', **closing.log_fields())

    async def _serve(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
    ) -> None:
        """Serve a request, and refuse it if its exchange cannot begin."""
        try:
            await self.server.serve(request, answer)
        except Exception as error:
            self.log.error('exchange_fault', **error_fields(error))
            if not answer.is_over:
                await self._refuse(answer)
            if not answer.is_complete:
                answer.abort()

    async def _refuse(self, answer: CallerAnswer) -> None:
        """Refuse a request of which no endpoint has heard.

        An exchange ends its answer whatever happens, so that this request has
        had none.
        """
        headers = HTTPHeaders({'Retry-After': retry_after_field()})
        with contextlib.suppress(CallerDisconnectedError):
            await answer.send(UNAVAILABLE, headers, b'')
