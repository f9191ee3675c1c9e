"""The admitted request that the attempts forward."""

import msgspec
from sycamore_core.decisions.direct import CallerTime
from sycamore_core.hashes import stable_fraction
from sycamore_core.ids import (
    RequestId,
    SettingsVersion,
    WorkspaceId,
    ZoneId,
)
from sycamore_core.routing import Rank, Route, ServiceRecord

from .callers.caller_request import CallerRequest
from .content import RequestContent
from .wire import CallTerms


class AdmittedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that was admitted.

    Attributes
    ----------
    workspace
        Workspace that the request belongs to; None on public routes.
    rank
        Rank among the requests of the service.
    importance
        Factor of the weight of the request's objective, from the priority of
        its route; 1 for the most urgent routes.
    deadline
        Deadline of the request on the monotonic clock, in seconds.
    allowed_zones
        Zones whose endpoints may run the request; None for all zones.
    content
        Digest that identifies the request when a caller repeats it.
    settings_version
        Version of the configuration that admitted it.
    """

    request_id: RequestId
    terms: CallTerms
    request: CallerRequest
    route: Route
    service: ServiceRecord
    workspace: WorkspaceId | None
    rank: Rank
    importance: float = 1
    deadline: float
    content: RequestContent
    allowed_zones: frozenset[ZoneId] | None = None
    settings_version: SettingsVersion = SettingsVersion(0)

    def caller_time(self, now: float) -> CallerTime:
        """Return the caller's time left, which bounds its retry delay."""
        return CallerTime(self.deadline - now, stable_fraction(self.request_id))

    def is_late(self, now: float) -> bool:
        """Return whether the deadline has passed.

        A late event loop may still take what has arrived by then, but nothing
        more is sent to an endpoint.
        """
        return now >= self.deadline

    @property
    def objective_at(self) -> float:
        """Return when the answer, or its first event, is due."""
        return self.request.arrived_at + self.route.objective
