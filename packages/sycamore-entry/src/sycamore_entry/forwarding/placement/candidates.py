"""Which endpoints of a service may be given a request now."""

from collections.abc import Iterable, Mapping

from sycamore_core.decisions.direct import RateLimits
from sycamore_core.ids import EndpointId
from sycamore_core.routing import EndpointRecord, ServiceRecord

from ..fleet.keeper import FleetKeeper


class Candidates:
    """The registered endpoints, less those that take no more for now."""

    def __init__(self, keeper: FleetKeeper, limits: RateLimits) -> None:
        self.keeper = keeper
        self.limits = limits

    def taking(
        self,
        service: ServiceRecord,
        excluded: Iterable[EndpointId],
        now: float,
    ) -> dict[EndpointId, EndpointRecord]:
        """Return the endpoints that take a request by the limits they name."""
        return {
            record.endpoint: record
            for record in self._registered(service, excluded)
            if self.limits.has_room(record.lifetime, now)
        }

    def without_limit(
        self,
        records: Mapping[EndpointId, EndpointRecord],
        now: float,
    ) -> Mapping[EndpointId, EndpointRecord]:
        """Return the endpoints that name no limit, if there are any.

        What goes wrong otherwise: a long prompt takes seconds of an engine
        that is in need, and each of its parts counts as a request.
        """
        free = {
            endpoint: record
            for endpoint, record in records.items()
            if self.limits.limit(record.lifetime, now) is None
        }
        return free or records

    def seconds_to_room(
        self,
        service: ServiceRecord,
        excluded: Iterable[EndpointId],
        now: float,
    ) -> float:
        """Return when an endpoint takes a request by the limit it names.

        Zero if one does now, or if there is none.
        """
        waits = [
            self.limits.seconds_to_room(record.lifetime, now)
            for record in self._registered(service, excluded)
        ]
        return min(waits, default=0)

    def _registered(
        self,
        service: ServiceRecord,
        excluded: Iterable[EndpointId],
    ) -> list[EndpointRecord]:
        left_out = set(excluded)
        usable = self.keeper.directory.usable(service.service)
        return [one for one in usable if one.endpoint not in left_out]
