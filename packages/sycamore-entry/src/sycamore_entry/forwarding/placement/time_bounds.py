"""Time that admission control grants to a request."""

from sycamore_core.decisions.overload import UrgentLimits, usable_seconds
from sycamore_core.routing import RoutingTable

from ..calls import AdmittedRequest


class TimeBounds:
    """Bounds the time of less urgent requests by that of urgent ones."""

    def __init__(self) -> None:
        self._table: RoutingTable | None = None
        self._limits = UrgentLimits()

    def urgent_limit(
        self, table: RoutingTable | None, call: AdmittedRequest
    ) -> float | None:
        """Return the shortest limit of more urgent routes, in seconds.

        None if no route of the service is more urgent.
        """
        if table is not None and table is not self._table:
            self._table = table
            self._limits = UrgentLimits.from_routes(table.routes)
        return self._limits.shortest(call.service.service, call.route.priority)

    def usable_seconds(
        self,
        table: RoutingTable | None,
        call: AdmittedRequest,
        now: float,
    ) -> float:
        """Return the time within which a request must be answered."""
        return usable_seconds(
            call.deadline - now,
            call.deadline - call.request.arrived_at,
            self.urgent_limit(table, call),
        )
