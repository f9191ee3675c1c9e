"""What is forwarded, whichever endpoint gets it."""

import msgspec
from sycamore_core.decisions.direct import CallerTime
from sycamore_core.hashes import stable_part
from sycamore_core.ids import RequestId, WorkspaceId
from sycamore_core.routing import Route, ServiceRecord

from .callers.caller import CallerRequest
from .content import RequestContent
from .wire import CallTerms


class AttemptCall(msgspec.Struct, frozen=True, kw_only=True):
    """A request that was admitted.

    Attributes
    ----------
    workspace
        Whose request it is; None on public routes.
    limit
        When it is over, on the monotonic clock, in seconds.
    content
        By which it is known when it comes again.
    """

    request_id: RequestId
    terms: CallTerms
    request: CallerRequest
    route: Route
    service: ServiceRecord
    workspace: WorkspaceId | None
    limit: float
    content: RequestContent

    def caller_time(self, now: float) -> CallerTime:
        """Return what decides how long its caller may be sent away."""
        return CallerTime(self.limit - now, stable_part(self.request_id))

    @property
    def objective_at(self) -> float:
        """Return by when the answer, or its first event, was promised."""
        return self.request.arrived_at + self.route.objective
