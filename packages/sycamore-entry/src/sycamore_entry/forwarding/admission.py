"""Whether a request can be forwarded at all, and to which service."""

from sycamore_core.hashes import stable_part
from sycamore_core.ids import RequestId, ServiceId, WorkspaceId
from sycamore_core.routing import Route, RoutingTable

from .caller import CallerRequest
from .calls import AttemptCall
from .context import ForwardingContext
from .errors import WireError
from .refusals import Refusal, RefusalCause
from .wire import CallTerms


def admit(context: ForwardingContext, request: CallerRequest) -> AttemptCall:
    """Return what is to be forwarded.

    Raises
    ------
    Refusal
        If the request cannot be forwarded.
    """
    keeper = context.keeper
    if keeper.table is None or not keeper.is_ready:
        raise Refusal(RefusalCause.NOT_READY)
    terms = _read_terms(context, request)
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
    )


def _read_terms(
    context: ForwardingContext,
    request: CallerRequest,
) -> CallTerms:
    try:
        return context.wire.read_terms(request.headers)
    except WireError as error:
        raise Refusal(RefusalCause.BAD_REQUEST, str(error)) from error


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
