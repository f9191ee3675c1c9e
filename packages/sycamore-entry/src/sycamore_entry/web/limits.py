"""Request headers, checked against the limits of the service."""

import uuid
from collections.abc import Mapping

import msgspec
from sycamore_core.ids import IdempotencyKey
from sycamore_core.settings import ServiceSettings
from sycamore_core.states import EndpointKind, RefusalReason

from ..errors import RefusedError

_TIME_ORDERED_VERSION = 7
_BOOLEAN_VALUES = ('true', 'false')
#: Methods without side effects. A call to a plain service with any other method
#: runs at most once unless the caller declares it idempotent, so that a missing
#: header cannot cause, for example, a deposit to be recorded twice.
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


class CallTerms(msgspec.Struct, frozen=True):
    """Time limit in seconds, and whether and how the call may be repeated."""

    time_limit: float
    idempotent: bool
    idempotency_key: IdempotencyKey


def read_terms(
    headers: Mapping[str, str],
    service: ServiceSettings,
    method: str = '',
) -> CallTerms:
    """Read the headers of a request.

    Parameters
    ----------
    method
        Method of a call to a plain service.

    Raises
    ------
    RefusedError
        If a header is missing, malformed or out of its limits.
    """
    return CallTerms(
        time_limit=_time_limit(headers.get('Time-Limit', ''), service),
        idempotent=_idempotent(
            headers.get('Idempotent', ''),
            may_repeat=service.idempotent and _is_safe(method, service),
        ),
        idempotency_key=_idempotency_key(headers.get('Idempotency-Key', '')),
    )


def _time_limit(text: str, service: ServiceSettings) -> float:
    if not text:
        if service.default_time_limit_seconds:
            return service.default_time_limit_seconds
        raise RefusedError(
            RefusalReason.TIME_LIMIT_MISSING,
            'name a time limit in seconds in the header Time-Limit',
        )
    try:
        seconds = float(text)
    except ValueError as error:
        raise _bad_request('Time-Limit is not a number of seconds') from error
    if not 0 < seconds <= service.longest_time_limit_seconds:
        longest = service.longest_time_limit_seconds
        raise _bad_request(f'Time-Limit is not between 0 and {longest} seconds')
    return seconds


def _is_safe(method: str, service: ServiceSettings) -> bool:
    return service.kind == EndpointKind.MODEL or method in SAFE_METHODS


def _idempotent(text: str, *, may_repeat: bool) -> bool:
    if not text:
        return may_repeat
    if text.lower() not in _BOOLEAN_VALUES:
        raise _bad_request('Idempotent is neither true nor false')
    return text.lower() == 'true'


def _idempotency_key(text: str) -> IdempotencyKey:
    if not text:
        return IdempotencyKey('')
    try:
        version = uuid.UUID(text).version
    except ValueError:
        version = None
    if version != _TIME_ORDERED_VERSION:
        raise _bad_request('Idempotency-Key is not a UUID of version 7')
    return IdempotencyKey(text.lower())


def _bad_request(detail: str) -> RefusedError:
    return RefusedError(RefusalReason.BAD_REQUEST, detail)
