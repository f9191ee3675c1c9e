"""Whether a request can be forwarded at all, and to which service."""

from sycamore_core.decisions.direct import CallerTime, after_start
from sycamore_core.hashes import stable_part
from sycamore_core.ids import RequestId, ServiceId, WorkspaceId
from sycamore_core.routing import Route, RoutingTable

from ..calls import AttemptCall
from ..content import RequestContent
from ..context import ForwardingContext
from ..errors import WireError
from ..fleet.keeper import FleetKeeper
from ..wire import CallTerms
from .caller import CallerRequest
from .refusals import Refusal, RefusalCause

#: Time that a caller which names none is taken to have, in seconds, while no
#: route is known.
_UNKNOWN_PATIENCE = 3.0
#: Part of its time, and most seconds, for which a request waits for the first
#: list of endpoints of a process that has just started. The platform answers
#: within some milliseconds, or, if it was away, when it is back; callers that
#: found no process before have no other try left.
_START_PART = 0.1
_LONGEST_START = 1.0


async def admit(
    context: ForwardingContext,
    request: CallerRequest,
) -> AttemptCall:
    """Return what is to be forwarded.

    Raises
    ------
    Refusal
        If the request cannot be forwarded.
    """
    keeper = context.keeper
    terms = _read_terms(context, request)
    if not keeper.is_ready:
        patience = _patience_of(terms) * _START_PART
        await keeper.first_list.wait(min(patience, _LONGEST_START))
    if keeper.table is None or not keeper.is_ready:
        raise _not_ready(keeper, terms)
    route = keeper.table.match(request.host, request.path)
    if route is None:
        raise Refusal(RefusalCause.NO_ROUTE)
    workspace = _workspace_of(keeper.table, route, terms)
    service = keeper.table.service(_service_of(route, terms.request_id))
    if service is None:
        raise Refusal(RefusalCause.NO_ENDPOINT, 'service not configured')
    return AttemptCall(
        request_id=RequestId(terms.request_id),
        terms=terms,
        request=request,
        route=route,
        service=service,
        workspace=workspace,
        limit=request.arrived_at + _patience(route, terms),
        content=RequestContent(request, workspace),
    )


def _read_terms(
    context: ForwardingContext,
    request: CallerRequest,
) -> CallTerms:
    try:
        return context.wire.read_terms(request.headers)
    except WireError as error:
        raise Refusal(RefusalCause.BAD_REQUEST, str(error)) from error


def _not_ready(keeper: FleetKeeper, terms: CallTerms) -> Refusal:
    caller = CallerTime(_patience_of(terms), stable_part(terms.request_id))
    away_seconds = keeper.first_list.silent_seconds
    return Refusal(
        RefusalCause.NOT_READY,
        f'no list of endpoints for {away_seconds:.1f} s',
        retry_after=after_start(away_seconds, caller),
    )


def _patience_of(terms: CallTerms) -> float:
    return _UNKNOWN_PATIENCE if terms.patience is None else terms.patience


def _workspace_of(
    table: RoutingTable,
    route: Route,
    terms: CallTerms,
) -> WorkspaceId | None:
    if route.is_public or not table.needs_keys:
        return None
    record = table.workspace_of(terms.api_key)
    if record is None:
        raise Refusal(RefusalCause.UNKNOWN_KEY)
    return record.workspace


def _service_of(route: Route, request_id: str) -> ServiceId:
    """Return the service for a request, by the route's weights."""
    total = sum(share.weight for share in route.services)
    drawn = stable_part(request_id) * total
    for share in route.services:
        drawn -= share.weight
        if drawn < 0:
            return share.service
    return route.services[-1].service


def _patience(route: Route, terms: CallTerms) -> float:
    if terms.patience is None:
        return route.time_limit
    return min(route.time_limit, terms.patience)
