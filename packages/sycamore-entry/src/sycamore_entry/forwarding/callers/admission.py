"""Admission of requests: route, workspace, service and time limit."""

from sycamore_core.decisions.direct import CallerTime, after_start, with_jitter
from sycamore_core.hashes import stable_fraction
from sycamore_core.ids import RequestId, ServiceId
from sycamore_core.routing import (
    Route,
    RoutingTable,
    WorkspaceRecord,
    allowed_zones,
    rank_of,
)

from ..calls import AdmittedRequest
from ..content import RequestContent
from ..context import ForwardingContext
from ..errors import WireError
from ..fleet.keeper import FleetKeeper
from ..wire import CallTerms
from .caller_request import CallerRequest
from .refusals import Refusal, RefusalCause
from .statuses import RETRY_AFTER_SECONDS

#: Assumed timeout of a caller that sends none, in seconds, while no route is
#: known.
_DEFAULT_TIMEOUT_SECONDS = 3.0
#: Longest wait of a request for the first list of endpoints after the process
#: has started, as a fraction of the caller's timeout and in seconds. The
#: platform answers within some milliseconds, or when it is reachable again.
#: Callers that could not connect before have no retry left.
_START_WAIT_FRACTION = 0.1
_MAX_START_WAIT_SECONDS = 1.0


async def admit(
    context: ForwardingContext,
    request: CallerRequest,
) -> AdmittedRequest:
    """Return the admitted request.

    Raises
    ------
    Refusal
        If the request cannot be forwarded.
    """
    keeper = context.keeper
    terms = _read_terms(context, request)
    if not keeper.is_ready:
        longest_wait = _caller_timeout(terms) * _START_WAIT_FRACTION
        await keeper.first_list.wait(min(longest_wait, _MAX_START_WAIT_SECONDS))
    if keeper.table is None or not keeper.is_ready:
        raise _not_ready_refusal(keeper, terms)
    route = keeper.table.match(request.host, request.path)
    if route is None:
        raise Refusal(RefusalCause.NO_ROUTE)
    record = _workspace_of(keeper.table, route, terms)
    workspace = None if record is None else record.workspace
    service = keeper.table.service(_service_of(route, terms.request_id))
    if service is None:
        raise Refusal(RefusalCause.NO_ENDPOINT, 'service not configured')
    return AdmittedRequest(
        request_id=RequestId(terms.request_id),
        terms=terms,
        request=request,
        route=route,
        service=service,
        workspace=workspace,
        rank=rank_of(record, route),
        importance=keeper.table.importance(route, service.service),
        deadline=request.arrived_at + _time_limit(route, terms),
        content=RequestContent(request, workspace, terms.shared_parts),
        allowed_zones=allowed_zones(record, route, context.settings.regions),
        settings_version=keeper.table.version,
    )


def _read_terms(
    context: ForwardingContext,
    request: CallerRequest,
) -> CallTerms:
    try:
        terms = context.wire.read_terms(request.headers)
    except WireError as error:
        raise Refusal(RefusalCause.BAD_REQUEST, str(error)) from error
    if request.exceeds_memory:
        raise _memory_refusal(context, terms)
    return terms


def _memory_refusal(context: ForwardingContext, terms: CallTerms) -> Refusal:
    caller = CallerTime(
        _caller_timeout(terms), stable_fraction(terms.request_id)
    )
    held = context.flow.held
    return Refusal(
        RefusalCause.OVERLOADED,
        f'{held.count} of {held.limit} bytes are held',
        retry_after=with_jitter(RETRY_AFTER_SECONDS, caller),
    )


def _not_ready_refusal(keeper: FleetKeeper, terms: CallTerms) -> Refusal:
    caller = CallerTime(
        _caller_timeout(terms), stable_fraction(terms.request_id)
    )
    silent_seconds = keeper.first_list.silent_seconds
    return Refusal(
        RefusalCause.NOT_READY,
        f'no list of endpoints for {silent_seconds:.1f} s',
        retry_after=after_start(silent_seconds, caller),
    )


def _caller_timeout(terms: CallTerms) -> float:
    return (
        _DEFAULT_TIMEOUT_SECONDS if terms.patience is None else terms.patience
    )


def _workspace_of(
    table: RoutingTable,
    route: Route,
    terms: CallTerms,
) -> WorkspaceRecord | None:
    if route.is_public or not table.needs_keys:
        return None
    record = table.workspace_of(terms.api_key)
    if record is None:
        raise Refusal(RefusalCause.UNKNOWN_KEY)
    return record


def _service_of(route: Route, request_id: str) -> ServiceId:
    """Return the service for a request, drawn by the route's weights."""
    total = sum(share.weight for share in route.services)
    drawn = stable_fraction(request_id) * total
    for share in route.services:
        drawn -= share.weight
        if drawn < 0:
            return share.service
    return route.services[-1].service


def _time_limit(route: Route, terms: CallTerms) -> float:
    if terms.patience is None:
        return route.time_limit
    return min(route.time_limit, terms.patience)
