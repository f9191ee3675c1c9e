"""Refusals as problem documents in JSON, without stack traces."""

import http
from types import MappingProxyType

import msgspec
from sycamore_core.ids import RequestId
from sycamore_core.states import Execution, RefusalReason
from tornado.web import RequestHandler

from ..errors import RefusedError

PROBLEM_TYPE = 'application/problem+json'
_TYPE_PREFIX = 'urn:sycamorestack:refusal:'

_BAD = http.HTTPStatus.BAD_REQUEST
_UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE
_TOO_MANY = http.HTTPStatus.TOO_MANY_REQUESTS
_GATEWAY = http.HTTPStatus.BAD_GATEWAY
_TOO_LARGE = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
_TIMEOUT = http.HTTPStatus.GATEWAY_TIMEOUT

#: HTTP status of each reason; other reasons have status 503, try again later.
STATUSES = MappingProxyType(
    {
        RefusalReason.BAD_REQUEST: _BAD,
        RefusalReason.TIME_LIMIT_MISSING: _BAD,
        RefusalReason.TIME_LIMIT_TOO_SHORT: _BAD,
        RefusalReason.FORGED_REQUEST_ID: http.HTTPStatus.FORBIDDEN,
        RefusalReason.UNAUTHENTICATED: http.HTTPStatus.UNAUTHORIZED,
        RefusalReason.UNKNOWN_WORKSPACE: http.HTTPStatus.NOT_FOUND,
        RefusalReason.UNKNOWN_SERVICE: http.HTTPStatus.NOT_FOUND,
        RefusalReason.UNKNOWN_REQUEST: http.HTTPStatus.NOT_FOUND,
        RefusalReason.BODY_TOO_LARGE: _TOO_LARGE,
        RefusalReason.PROMPT_TOO_LONG: _TOO_LARGE,
        RefusalReason.OVER_SHARE: _TOO_MANY,
        RefusalReason.OVERLOADED: _TOO_MANY,
        RefusalReason.QUEUE_FULL: _TOO_MANY,
        RefusalReason.DEADLINE_PASSED: _TIMEOUT,
        RefusalReason.KEY_IN_DOUBT: http.HTTPStatus.CONFLICT,
        RefusalReason.RESERVATION_EXPIRED: http.HTTPStatus.GONE,
        RefusalReason.OUTCOME_UNKNOWN: _GATEWAY,
        RefusalReason.BACKEND_FAILED: _GATEWAY,
    }
)


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a refusal, in the form of RFC 9457.

    Attributes
    ----------
    not_run
        True if the request was certainly not run, False if it was run, and
        the text ``unknown`` if the state is not known.
    this_call_not_run
        The same for this call alone. A key whose state an endpoint process
        does not know may have run under an earlier call. A caller that has
        just created the key and reads True here can use a reserved id.
    retry_after
        Delay before a retry, in seconds.
    """

    type: str
    title: str
    status: int
    reason: RefusalReason
    not_run: bool | str
    this_call_not_run: bool | str
    request_id: str = ''
    retry_after: float = 0
    detail: str = ''


def make_problem(
    refused: RefusedError,
    request_id: RequestId | None = None,
) -> Problem:
    """Return the problem document of a refusal."""
    return Problem(
        type=_TYPE_PREFIX + refused.reason.value,
        title=refused.reason.value.replace('_', ' '),
        status=STATUSES.get(refused.reason, _UNAVAILABLE).value,
        reason=refused.reason,
        not_run=_not_run(refused.execution),
        this_call_not_run=_not_run(refused.this_call),
        request_id=request_id or '',
        retry_after=refused.retry_after,
        detail=refused.detail,
    )


def set_problem(
    handler: RequestHandler,
    refused: RefusedError,
    request_id: RequestId | None = None,
) -> bytes:
    """Set the status and headers of a refusal and return its body."""
    problem = make_problem(refused, request_id)
    handler.set_status(problem.status)
    handler.set_header('Content-Type', PROBLEM_TYPE)
    if request_id is not None:
        handler.set_header('Request-Id', request_id)
    if refused.retry_after:
        seconds = max(1, round(refused.retry_after))
        handler.set_header('Retry-After', str(seconds))
    return msgspec.json.encode(problem)


def _not_run(execution: Execution) -> bool | str:
    if execution == Execution.UNKNOWN:
        return execution.value
    return execution == Execution.NOT_RUN
