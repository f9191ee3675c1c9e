"""Tells the balancer whether to send callers here."""

from collections.abc import Callable
from http import HTTPStatus

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)

_READY = ResponseStartLine(
    'HTTP/1.1',
    HTTPStatus.OK,
    HTTPStatus.OK.phrase,
)
_NOT_READY = ResponseStartLine(
    'HTTP/1.1',
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.SERVICE_UNAVAILABLE.phrase,
)


class Readiness(HTTPServerConnectionDelegate):
    """Answers every request by whether the entry is ready.

    Parameters
    ----------
    is_ready
        Whether callers are to be sent here.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return what answers the next request of a connection."""
        return _Answer(self.is_ready, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Nothing is kept for a connection."""


class _Answer(HTTPMessageDelegate):
    def __init__(
        self,
        is_ready: Callable[[], bool],
        connection: HTTPConnection,
    ) -> None:
        self.is_ready = is_ready
        self.connection = connection

    def finish(self) -> None:
        """Answer the request."""
        start = _READY if self.is_ready() else _NOT_READY
        self.connection.write_headers(
            start,
            HTTPHeaders({'Content-Length': '0'}),
        )
        self.connection.finish()
