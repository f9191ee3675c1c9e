"""Tells the balancer whether to send callers here."""

from collections.abc import Callable
from http import HTTPStatus

from tornado.httputil import ResponseStartLine

from ..operator_pages import OperatorPage, PageAnswer

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
    """Answers every request by whether the entry is ready.

    Parameters
    ----------
    is_ready
        Whether callers are to be sent here.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def show(self) -> PageAnswer:
        """Return the answer."""
        return PageAnswer(_READY if self.is_ready() else _NOT_READY)
