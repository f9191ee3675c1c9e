"""Routes, services and workspaces of the operator's configuration.

They are out of sight of the garbage collector, as they refer to nothing that
could refer to them, and there may be thousands.
"""

import enum

import msgspec

from ..ids import RegionId, ServiceId, WorkspaceId
from .engines import EngineCosts


class RouteKind(enum.Enum):
    """How the requests of a route may be retried or resumed."""

    #: Idempotent: may run more than once.
    SAFE = enum.auto()
    #: Runs at most once.
    UNSAFE = enum.auto()
    #: An event stream that runs at most once.
    STREAM = enum.auto()
    #: An event stream that another endpoint may resume after its last event.
    RESUMABLE_STREAM = enum.auto()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run again if it may have run before."""
        return self in {RouteKind.SAFE, RouteKind.RESUMABLE_STREAM}

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in {RouteKind.STREAM, RouteKind.RESUMABLE_STREAM}

    @property
    def may_be_stopped(self) -> bool:
        """Whether a request may be stopped midway if nobody reads on."""
        return self.is_idempotent or self.is_stream


class ServiceShare(msgspec.Struct, frozen=True, gc=False):
    """Share of the requests of a route that one service receives."""

    service: ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, gc=False, kw_only=True):
    """Requests to one host whose paths share a prefix.

    Attributes
    ----------
    prefix
        Prefix of the paths; begins and ends with a slash.
    services
        Services that receive the requests, by weight.
    time_limit
        Maximum duration of a request, in seconds.
    objective
        Objective for the time to the answer, or to the first event of a
        stream, in seconds.
    pause_objective
        Objective for the longest pause between two events of a stream, in
        seconds; 0 if there is none.
    priority
        Rank among routes; 0 is the most urgent.
    max_attempts
        Maximum number of endpoints on which one request may run.
    is_public
        Whether requests need no workspace key.
    allowed_regions
        Regions whose endpoints may run the requests; empty for all regions.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[ServiceShare, ...]
    time_limit: float
    objective: float
    pause_objective: float = 0
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    allowed_regions: frozenset[RegionId] = frozenset()


class ServiceRecord(msgspec.Struct, frozen=True, gc=False, kw_only=True):
    """A service and, for a model service, the cost model of its engines.

    Attributes
    ----------
    cold_seconds
        Time for which an endpoint is cold after its start, in seconds; 0 if
        endpoints are never cold.
    cold_per_s
        Requests per second that a cold endpoint tolerates; 0 if there is no
        such limit.
    """

    service: ServiceId
    max_connections: int
    engine: EngineCosts | None = None
    cold_seconds: float = 0
    cold_per_s: float = 0


class WorkspaceRecord(msgspec.Struct, frozen=True, gc=False):
    """A workspace that sends requests.

    Attributes
    ----------
    priority
        Rank among workspaces; takes precedence over the priority of the
        route. 0 is the most urgent.
    allowed_regions
        Regions whose endpoints may run the requests; empty for all regions.
    weight
        Weight of the share of the workspace when requests wait.
    """

    workspace: WorkspaceId
    priority: int = 0
    allowed_regions: frozenset[RegionId] = frozenset()
    weight: float = 1


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on requests from callers, in bytes and seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: float = 3
    idle_timeout: float = 15
