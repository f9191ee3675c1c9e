"""Which endpoints of a service may be given a request now."""

from collections.abc import Iterable, Mapping

import msgspec
from sycamore_core.decisions.direct import AskedRests, RateLimits
from sycamore_core.ids import EndpointId
from sycamore_core.routing import EndpointRecord, ServiceRecord

from ..fleet.keeper import FleetKeeper


class Wait(msgspec.Struct, frozen=True, order=True):
    """For how long an endpoint takes no request.

    Attributes
    ----------
    seconds
        Zero if it takes one now.
    is_rest
        Whether it has asked for rest; else it has got the rate that it names.
    """

    seconds: float
    is_rest: bool = False


NO_WAIT = Wait(0)


class Candidates:
    """The registered endpoints, less those that take no more for now."""

    def __init__(
        self,
        keeper: FleetKeeper,
        limits: RateLimits,
        rests: AskedRests,
    ) -> None:
        self.keeper = keeper
        self.limits = limits
        self.rests = rests

    def taking(
        self,
        service: ServiceRecord,
        excluded: Iterable[EndpointId],
        now: float,
    ) -> dict[EndpointId, EndpointRecord]:
        """Return the endpoints that take a request, as far as they said."""
        records = self._registered(service, excluded)
        if not (self.limits.is_empty and self.rests.is_empty):
            records = [one for one in records if self._takes(one, now)]
        return {record.endpoint: record for record in records}

    def still_takes(self, record: EndpointRecord, now: float) -> bool:
        """Return whether an endpoint that was chosen may be sent a request.

        It may have said something else while a connection was made.
        """
        known = self.keeper.directory.find(record.endpoint)
        is_leaving = known is not None and known.is_leaving
        is_resting = self.rests.is_resting(record.lifetime, now)
        return not (is_leaving or is_resting)

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

    def shortest_wait(
        self,
        service: ServiceRecord,
        excluded: Iterable[EndpointId],
        now: float,
    ) -> Wait:
        """Return when an endpoint takes a request, as far as they said."""
        waits = [
            self._wait(record, now)
            for record in self._registered(service, excluded)
        ]
        return min(waits, default=NO_WAIT)

    def _takes(self, record: EndpointRecord, now: float) -> bool:
        lifetime = record.lifetime
        has_room = self.limits.has_room(lifetime, now)
        return has_room and self.rests.takes(lifetime, now)

    def _wait(self, record: EndpointRecord, now: float) -> Wait:
        to_room = self.limits.seconds_to_room(record.lifetime, now)
        rest = self.rests.seconds_left(record.lifetime, now)
        return max(Wait(to_room), Wait(rest, is_rest=rest > 0))

    def _registered(
        self,
        service: ServiceRecord,
        excluded: Iterable[EndpointId],
    ) -> list[EndpointRecord]:
        left_out = set(excluded)
        usable = self.keeper.directory.usable(service.service)
        return [one for one in usable if one.endpoint not in left_out]
