"""Refusals: answers to requests that have not run."""

import enum
from types import MappingProxyType
from typing import NamedTuple, Self

import msgspec
from sycamore_core.decisions.direct import CallerTime, with_jitter
from sycamore_core.routing import Rank
from tornado.httputil import HTTPHeaders

from .statuses import RETRY_AFTER_SECONDS, UNAVAILABLE, retry_after_field
from .stop_basis import StopBasis


class RefusalCause(enum.StrEnum):
    """Why the entry refuses a request."""

    NOT_READY = 'not_ready'
    BAD_REQUEST = 'bad_request'
    NO_ROUTE = 'no_route'
    UNKNOWN_KEY = 'unknown_key'
    NO_ENDPOINT = 'no_endpoint'
    #: All zones with endpoints of the service are evacuated.
    EVACUATED = 'zone_evacuated'
    ENDPOINT_REFUSED = 'endpoint_refused'
    OVERLOADED = 'overloaded'
    #: All endpoints are at the rate limit that they set.
    RATE_LIMITED = 'rate_limited'
    #: All endpoints have requested a backoff from this entry.
    ENDPOINTS_BACKING_OFF = 'endpoints_rest'
    #: The interference of reading the prompt now would exceed its value.
    INTERFERENCE = 'harmful'
    TIME_LIMIT = 'time_limit'
    #: Endpoints crashed while they ran the request.
    CRASHES_ENDPOINTS = 'crashes_endpoints'
    #: No slot is expected while the request could still be served in time.
    CANNOT_MEET_LIMIT = 'too_late'
    #: No replica is expected to answer the call in time.
    PLAIN_FULL = 'plain_full'
    #: A more urgent request took the request's place in a full queue.
    DISPLACED = 'displaced'
    #: The caller has ended its sending side, and has probably left.
    CALLER_ENDED = 'caller_ended'
    #: The entry stops before the request could be answered.
    STOPPING = 'stopping'
    #: The entry has a defect.
    DEFECT = 'defect'


_STATUS = MappingProxyType(
    {
        RefusalCause.BAD_REQUEST: 400,
        RefusalCause.NO_ROUTE: 404,
        RefusalCause.UNKNOWN_KEY: 401,
    },
)
#: The endpoint gave no answer that can be forwarded.
BAD_GATEWAY = 502
#: The endpoint gave no answer in time.
GATEWAY_TIMEOUT = 504
#: Retry delay of a caller whose entry stops, in seconds. Another entry serves
#: the caller at once.
STOPPING_RETRY_SECONDS = 0.1


class OwnAnswer(NamedTuple):
    """A short answer of the entry itself."""

    status: int
    headers: HTTPHeaders
    body: bytes


class RefusalBasis(msgspec.Struct, frozen=True, kw_only=True):
    """Forecast on which a refusal for lack of capacity is based.

    Attributes
    ----------
    expected_seconds
        Expected time until the request has a slot; for a plain call until its
        answer. Infinite if none is expected.
    waiting_before
        Requests that receive a slot first, at all entries.
    free_slots
        Free slots that the request could use.
    report_age
        Age of the oldest report of peers that was used, in seconds; None
        without reports.
    """

    rank: Rank
    expected_seconds: float
    waiting_before: int
    free_slots: int
    report_age: float | None


class Refusal(Exception):
    """A request is refused; it has not run.

    Attributes
    ----------
    cause
        Why the request is refused.
    detail
        Description for the log.
    retry_after
        Delay after which the caller may retry, in seconds.
    basis
        Forecast that led to the refusal; None if there was none.
    stop_basis
        What a stopping entry expected; None for other refusals.
    """

    def __init__(
        self,
        cause: RefusalCause,
        detail: str = '',
        retry_after: float = RETRY_AFTER_SECONDS,
    ) -> None:
        super().__init__(detail or cause.value)
        self.cause = cause
        self.detail = detail
        self.retry_after = retry_after
        self.basis: RefusalBasis | None = None
        self.stop_basis: StopBasis | None = None

    @classmethod
    def from_endpoint(cls, caller: CallerTime, detail: str = '') -> Self:
        """Return the refusal if all remaining endpoints have refused."""
        return cls(
            RefusalCause.ENDPOINT_REFUSED,
            detail,
            retry_after=with_jitter(RETRY_AFTER_SECONDS, caller),
        )


def refusal_answer(headers: HTTPHeaders, refusal: Refusal) -> OwnAnswer:
    """Return the answer of a refusal; its headers are added to the others."""
    status = _STATUS.get(refusal.cause, UNAVAILABLE)
    if status == UNAVAILABLE:
        headers['Retry-After'] = retry_after_field(refusal.retry_after)
    headers['Content-Type'] = 'text/plain'
    return OwnAnswer(status, headers, refusal.cause.value.encode())
