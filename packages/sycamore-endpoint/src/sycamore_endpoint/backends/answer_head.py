"""The head of a back end's answer, read line by line."""

from sycamore_core.http_answers import ends_with_connection, is_http_status
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    parse_response_start_line,
)

_STATUS_LINE = 'HTTP/'


class AnswerHead:
    """Status and headers of one answer, as far as they have arrived.

    Parameters
    ----------
    method
        Method of the request.

    Attributes
    ----------
    status
        Status of the answer, or of an interim answer before it; 0 until a
        status line has arrived.
    fault
        Why the head cannot be read; empty if nothing is wrong with it.
    """

    def __init__(self, method: str) -> None:
        self.method = method
        self.status = 0
        self.headers = HTTPHeaders()
        self.fault = ''

    @property
    def content_type(self) -> str:
        """Return the type of the body; empty if the answer has none."""
        types = self.headers.get_list('Content-Type')
        return types[-1] if types else ''

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the answer."""
        return ends_with_connection(self.method, self.status, self.headers)

    def take_line(self, line: bytes) -> bool:
        """Read a line; return whether it is one of a head in HTTP.

        The client library takes more than that. Another client could read
        such a line as a different header, or the body as a different one.
        """
        text = line.decode('latin-1')
        try:
            self._read(text)
        except HTTPInputError as error:
            self.fault = f'unreadable head: {error}'
            return False
        return True

    def _read(self, text: str) -> None:
        if not text.startswith(_STATUS_LINE):
            self.headers.parse_line(text)
            return
        code = parse_response_start_line(text.rstrip('\r\n')).code
        if not is_http_status(code):
            raise HTTPInputError(f'status {code} is not one of HTTP')
        self.status = code
        self.headers = HTTPHeaders()
