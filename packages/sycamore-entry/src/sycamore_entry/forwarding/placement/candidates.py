"""The endpoints of a service that may be sent a request now."""

from collections.abc import Iterable, Mapping

import msgspec
from sycamore_core.decisions.direct import RateLimits, RequestedBackoffs
from sycamore_core.ids import EndpointId, ZoneId
from sycamore_core.routing import EndpointRecord, ServiceRecord

from ..fleet.keeper import FleetKeeper
from .cold_endpoints import MAX_CONNECT_SECONDS, ColdEndpoints

#: Zones whose endpoints may run a request; None for all zones.
AllowedZones = frozenset[ZoneId] | None


class Wait(msgspec.Struct, frozen=True, order=True):
    """Time until an endpoint accepts a request.

    Attributes
    ----------
    seconds
        Time in seconds; zero if the endpoint accepts a request now.
    is_backoff
        Whether the endpoint requested a backoff; otherwise its rate limit is
        reached, or its bound while it is cold.
    is_cold
        Whether the bound of a cold endpoint is reached, which takes a moment.
    """

    seconds: float
    is_backoff: bool = False
    is_cold: bool = False


NO_WAIT = Wait(0)


class Candidates:
    """Filters the registered endpoints by zone, rate limit and backoff."""

    def __init__(
        self,
        keeper: FleetKeeper,
        limits: RateLimits,
        backoffs: RequestedBackoffs,
        cold: ColdEndpoints,
    ) -> None:
        self.keeper = keeper
        self.cold = cold
        self.limits = limits
        self.backoffs = backoffs

    def accepting(
        self,
        service: ServiceRecord,
        excluded: Iterable[EndpointId],
        now: float,
        zones: AllowedZones = None,
    ) -> dict[EndpointId, EndpointRecord]:
        """Return the endpoints that accept a request now, by their ids."""
        records = self._registered(service, excluded, zones)
        if not (self.limits.is_empty and self.backoffs.is_empty):
            records = [
                record for record in records if self._accepts(record, now)
            ]
        if self.cold.is_enabled and not self.cold.limits.periods.is_empty:
            records = [
                record
                for record in records
                if self.cold.has_room(service, record, now)
            ]
        return {record.endpoint: record for record in records}

    def still_accepts(
        self,
        record: EndpointRecord,
        now: float,
        connect_seconds: float = 0,
    ) -> bool:
        """Return whether a chosen endpoint may still be sent a request.

        The endpoint may have started to leave, or requested a backoff, or its
        zone may have been evacuated, while a connection was opened.

        Parameters
        ----------
        connect_seconds
            Time that opening the connection took, in seconds.
        """
        if self.is_evacuated(record) or self._is_too_late(
            record, now, connect_seconds
        ):
            return False
        registered = self.keeper.directory.find(record.endpoint)
        is_leaving = registered is not None and registered.is_leaving
        is_backing_off = self.backoffs.is_backing_off(record.lifetime, now)
        return not (is_leaving or is_backing_off)

    def is_evacuated(self, record: EndpointRecord) -> bool:
        """Return whether nothing more may be sent to an endpoint's zone."""
        return record.zone in self.keeper.evacuation.zones

    def in_use(
        self,
        service: ServiceRecord,
        zones: AllowedZones = None,
    ) -> list[EndpointRecord]:
        """Return the endpoints of a service in zones that are in use."""
        evacuated = self.keeper.evacuation.zones
        usable = self.allowed(service, zones)
        return [record for record in usable if record.zone not in evacuated]

    def accepts(
        self,
        service: ServiceRecord,
        record: EndpointRecord,
        now: float,
    ) -> bool:
        """Return whether an endpoint may be sent a request now."""
        if record.is_leaving or self.is_evacuated(record):
            return False
        has_room = self.cold.has_room(service, record, now)
        return has_room and self._accepts(record, now)

    def seconds_to_accept(
        self,
        service: ServiceRecord,
        record: EndpointRecord,
        now: float,
    ) -> float:
        """Return the time until an endpoint accepts a request, in seconds."""
        return self._wait(service, record, now).seconds

    def allowed(
        self,
        service: ServiceRecord,
        zones: AllowedZones,
    ) -> list[EndpointRecord]:
        """Return the endpoints of a service in allowed zones."""
        usable = self.keeper.directory.usable(service.service)
        if zones is None:
            return usable
        return [record for record in usable if record.zone in zones]

    def prefer_unlimited(
        self,
        records: Mapping[EndpointId, EndpointRecord],
        now: float,
    ) -> Mapping[EndpointId, EndpointRecord]:
        """Return the endpoints without a rate limit, or all if there are none.

        Without this, a long prompt would occupy an overloaded engine for
        seconds, and each of its parts counts as a request.
        """
        unlimited = {
            endpoint: record
            for endpoint, record in records.items()
            if self.limits.limit(record.lifetime, now) is None
        }
        return unlimited or records

    def shortest_wait(
        self,
        service: ServiceRecord,
        excluded: Iterable[EndpointId],
        now: float,
        zones: AllowedZones = None,
    ) -> Wait:
        """Return the time until an endpoint accepts a request."""
        shortest = None
        for record in self._registered(service, excluded, zones):
            wait = self._wait(service, record, now)
            shortest = wait if shortest is None else min(shortest, wait)
            if shortest == NO_WAIT:
                break
        return shortest or NO_WAIT

    def seconds_to_opening(
        self,
        service: ServiceRecord,
        now: float,
    ) -> float | None:
        """Return the time until a limit or a backoff ends, in seconds.

        None if no endpoint has one.
        """
        is_open = self.limits.is_empty and self.backoffs.is_empty
        if is_open and self.cold.limits.periods.is_empty:
            return None
        waits = [
            self._wait(service, record, now).seconds
            for record in self._registered(service, (), None)
        ]
        return min((wait for wait in waits if wait > 0), default=None)

    def _is_too_late(
        self,
        record: EndpointRecord,
        now: float,
        connect_seconds: float,
    ) -> bool:
        """Return whether a cold endpoint was counted too long ago."""
        if connect_seconds < MAX_CONNECT_SECONDS or not self.cold.is_enabled:
            return False
        return self.cold.limits.periods.is_cold(record.lifetime, now)

    def _accepts(self, record: EndpointRecord, now: float) -> bool:
        lifetime = record.lifetime
        has_capacity = self.limits.has_room(lifetime, now)
        return has_capacity and self.backoffs.accepts(lifetime, now)

    def _wait(
        self,
        service: ServiceRecord,
        record: EndpointRecord,
        now: float,
    ) -> Wait:
        rate_wait = self.limits.seconds_to_room(record.lifetime, now)
        cold_wait = self.cold.seconds_to_room(service, record, now)
        backoff = self.backoffs.seconds_left(record.lifetime, now)
        return max(
            Wait(rate_wait),
            Wait(cold_wait, is_cold=cold_wait > 0),
            Wait(backoff, is_backoff=backoff > 0),
        )

    def _registered(
        self,
        service: ServiceRecord,
        excluded: Iterable[EndpointId],
        zones: AllowedZones,
    ) -> list[EndpointRecord]:
        excluded_ids = set(excluded)
        return [
            record
            for record in self.in_use(service, zones)
            if record.endpoint not in excluded_ids
        ]
