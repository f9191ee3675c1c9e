"""HTTP pages for the balancer and operators, with one response per page."""

import abc

import msgspec
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)


class PageResponse(msgspec.Struct, frozen=True):
    """The response of a page at one moment."""

    start: ResponseStartLine
    body: bytes = b''
    content_type: str = ''

    @property
    def headers(self) -> HTTPHeaders:
        """Return the headers of the response."""
        fields = {'Content-Length': str(len(self.body))}
        if self.content_type:
            fields['Content-Type'] = self.content_type
        return HTTPHeaders(fields)


class OperatorPage(HTTPServerConnectionDelegate, abc.ABC):
    """Answers every request, whatever its path, with the current response."""

    @abc.abstractmethod
    def make_response(self) -> PageResponse:
        """Return the current response."""

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the delegate for the next request of a connection."""
        return _PageRequest(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Do nothing; no state is kept for a connection."""


class _PageRequest(HTTPMessageDelegate):
    def __init__(self, page: OperatorPage, connection: HTTPConnection) -> None:
        self.page = page
        self.connection = connection

    def finish(self) -> None:
        """Answer the request."""
        response = self.page.make_response()
        self.connection.write_headers(
            response.start,
            response.headers,
            response.body or None,
        )
        self.connection.finish()
