"""Lookup of the operator's configuration by host, path and API key."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

import msgspec

from ..ids import ServiceId, SettingsVersion
from .routes import CallerLimits, Route, ServiceRecord, WorkspaceRecord

#: Factor between the importance of requests of consecutive priorities at a
#: ranked service. A prompt of 300,000 tokens weighs as much as 40 short
#: requests. Two priorities below them it weighs less than the six streams that
#: an engine generates, so that it does not hold up the streams of a whole
#: engine.
PRIORITY_FACTOR = 3.0
_NO_LIMITS = CallerLimits()


class RoutingTable:
    """One version of the configuration.

    Parameters
    ----------
    version
        Version number under which the operator published it.
    workspaces
        Workspaces by API key; None if the configuration does not have
        workspaces, so that callers need no key. An empty mapping lets nobody
        in: all keys have been revoked.

    Attributes
    ----------
    needs_keys
        Whether requests on routes that are not public need a key.
    """

    def __init__(
        self,
        version: SettingsVersion,
        routes: Iterable[Route],
        services: Iterable[ServiceRecord],
        workspaces: Mapping[str, WorkspaceRecord] | None = None,
        limits: CallerLimits = _NO_LIMITS,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.service: service for service in services}
        self.needs_keys = workspaces is not None
        self.workspaces = dict(workspaces or {})
        self.limits = limits
        self._by_host = _longest_first(self.routes)
        self._ranked = _ranked_services(self)

    @property
    def has_ranked_services(self) -> bool:
        """Whether any service is ranked."""
        return bool(self._ranked)

    def is_ranked(self, service: ServiceId) -> bool:
        """Return whether the routes of a model service differ in priority.

        Public routes are left out: they carry no work of workspaces.
        """
        return service in self._ranked

    def importance(self, route: Route, service: ServiceId) -> float:
        """Return the importance of the requests of a route at a service.

        The most urgent routes of a ranked service have the importance 1. Each
        further priority in use divides it by `PRIORITY_FACTOR`. All routes of
        other services have the importance 1.
        """
        more_urgent = [
            priority
            for priority in self._ranked.get(service, ())
            if priority < route.priority
        ]
        return PRIORITY_FACTOR ** -len(more_urgent)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, if any."""
        candidates = self._by_host.get(host.lower(), ())
        matching = (
            route for route in candidates if path.startswith(route.prefix)
        )
        return next(matching, None)

    def workspace_of(self, api_key: str) -> WorkspaceRecord | None:
        """Return the workspace of an API key, if the key is known."""
        return self.workspaces.get(api_key)

    def service(self, service: ServiceId) -> ServiceRecord | None:
        """Return the configuration of a service, if there is one."""
        return self.services.get(service)


class PublishedTable(msgspec.Struct, frozen=True):
    """A routing table and the bytes from which it was decoded."""

    table: RoutingTable
    source: bytes


def _longest_first(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    by_host: defaultdict[str, list[Route]] = defaultdict(list)
    for route in routes:
        by_host[route.host.lower()].append(route)
    return {
        host: tuple(sorted(found, key=_prefix_length, reverse=True))
        for host, found in by_host.items()
    }


def _ranked_services(
    table: RoutingTable,
) -> dict[ServiceId, frozenset[int]]:
    """Return the priorities in use at each model service with several."""
    priorities: defaultdict[ServiceId, set[int]] = defaultdict(set)
    for route in table.routes:
        if route.is_public:
            continue
        for share in route.services:
            priorities[share.service].add(route.priority)
    return {
        service: frozenset(found)
        for service, found in priorities.items()
        if len(found) > 1 and _is_model(table.services.get(service))
    }


def _is_model(record: ServiceRecord | None) -> bool:
    return record is not None and record.engine is not None


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
