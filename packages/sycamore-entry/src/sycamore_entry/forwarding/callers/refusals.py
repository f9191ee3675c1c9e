"""Answers to requests that are not served."""

import enum
from types import MappingProxyType
from typing import Self

from sycamore_core.decisions.direct import CallerTime, spread
from tornado.httputil import HTTPHeaders

from .caller import CallerAnswer


class RefusalCause(enum.StrEnum):
    """Why the entry answers itself."""

    NOT_READY = 'not_ready'
    BAD_REQUEST = 'bad_request'
    NO_ROUTE = 'no_route'
    UNKNOWN_KEY = 'unknown_key'
    NO_ENDPOINT = 'no_endpoint'
    ENDPOINT_REFUSED = 'endpoint_refused'
    OVERLOADED = 'overloaded'
    #: All endpoints have got the rate of requests that they name.
    RATE_LIMITED = 'rate_limited'
    #: All endpoints have asked this entry for rest.
    ENDPOINTS_REST = 'endpoints_rest'
    #: Reading the prompt now would take more from others than it is worth.
    HARMFUL = 'harmful'
    TIME_LIMIT = 'time_limit'
    #: Endpoints crashed when they ran it.
    CRASHES_ENDPOINTS = 'crashes_endpoints'


_STATUS = MappingProxyType(
    {
        RefusalCause.BAD_REQUEST: 400,
        RefusalCause.NO_ROUTE: 404,
        RefusalCause.UNKNOWN_KEY: 401,
    },
)
_UNAVAILABLE = 503
#: The endpoint gave no answer that can be handed on.
BAD_GATEWAY = 502
#: It gave none in time.
GATEWAY_TIMEOUT = 504
#: When a caller may come back, in seconds, where nothing else is known: a
#: process that has just started, or an endpoint that has just refused, is
#: usually well again by then.
COME_BACK_SECONDS = 0.4


class Refusal(Exception):
    """A request is not served, and has not run.

    Attributes
    ----------
    retry_after
        When the caller may come back, in seconds.
    """

    def __init__(
        self,
        cause: RefusalCause,
        detail: str = '',
        retry_after: float = COME_BACK_SECONDS,
    ) -> None:
        super().__init__(detail or cause.value)
        self.cause = cause
        self.detail = detail
        self.retry_after = retry_after

    @classmethod
    def by_endpoint(cls, caller: CallerTime, detail: str = '') -> Self:
        """Return the refusal that endpoints gave, or all that are left."""
        return cls(
            RefusalCause.ENDPOINT_REFUSED,
            detail,
            retry_after=spread(COME_BACK_SECONDS, caller),
        )


async def refuse(
    answer: CallerAnswer,
    headers: HTTPHeaders,
    refusal: Refusal,
) -> None:
    """Send the answer that a request was not run."""
    status = _STATUS.get(refusal.cause, _UNAVAILABLE)
    if status == _UNAVAILABLE:
        headers['Retry-After'] = f'{refusal.retry_after:.2f}'
    headers['Content-Type'] = 'text/plain'
    await answer.send(status, headers, refusal.cause.value.encode())
