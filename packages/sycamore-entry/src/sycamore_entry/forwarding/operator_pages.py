"""Pages that answer every request alike: for the balancer and for operators."""

import abc

import msgspec
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)


class PageAnswer(msgspec.Struct, frozen=True):
    """What a page shows at one moment."""

    start: ResponseStartLine
    body: bytes = b''
    content_type: str = ''

    @property
    def headers(self) -> HTTPHeaders:
        """Return its headers."""
        named = {'Content-Length': str(len(self.body))}
        if self.content_type:
            named['Content-Type'] = self.content_type
        return HTTPHeaders(named)


class OperatorPage(HTTPServerConnectionDelegate, abc.ABC):
    """Answers every request with what it shows at that moment."""

    @abc.abstractmethod
    def show(self) -> PageAnswer:
        """Return the answer."""

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return what answers the next request of a connection."""
        return _PageRequest(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Nothing is kept for a connection."""


class _PageRequest(HTTPMessageDelegate):
    def __init__(self, page: OperatorPage, connection: HTTPConnection) -> None:
        self.page = page
        self.connection = connection

    def finish(self) -> None:
        """Answer the request."""
        answer = self.page.show()
        self.connection.write_headers(
            answer.start,
            answer.headers,
            answer.body or None,
        )
        self.connection.finish()
