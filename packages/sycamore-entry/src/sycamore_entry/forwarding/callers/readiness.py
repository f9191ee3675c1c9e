"""Readiness page for the load balancer."""

from collections.abc import Callable
from http import HTTPStatus

from tornado.httputil import ResponseStartLine

from ..operator_pages import OperatorPage, PageResponse

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


class Readiness(OperatorPage):
    """Answers every request with the readiness of the entry.

    Parameters
    ----------
    is_ready
        Returns whether the balancer should send callers to this entry.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def make_response(self) -> PageResponse:
        """Return status 200 if the entry is ready, otherwise 503."""
        return PageResponse(_READY if self.is_ready() else _NOT_READY)
