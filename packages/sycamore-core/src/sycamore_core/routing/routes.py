"""Routes, services and workspaces as the operator's configuration has them."""

import enum

import msgspec

from ..ids import ServiceId, WorkspaceId
from .engines import EngineCosts


class RouteKind(enum.Enum):
    """What may be done again with a request of a route."""

    #: Idempotent: may run more than once.
    SAFE = enum.auto()
    #: Runs at most once.
    UNSAFE = enum.auto()
    #: A stream of events that runs at most once.
    STREAM = enum.auto()
    #: A stream that another endpoint may go on with after its last event.
    RESUMABLE_STREAM = enum.auto()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self in {RouteKind.SAFE, RouteKind.RESUMABLE_STREAM}

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in {RouteKind.STREAM, RouteKind.RESUMABLE_STREAM}


class ServiceShare(msgspec.Struct, frozen=True):
    """Part of a route's requests that one service gets."""

    service: ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests to one host below one path.

    Attributes
    ----------
    prefix
        Beginning of the paths; begins and ends with a slash.
    services
        Where the requests go, by weight.
    time_limit
        Longest time until a request is over, in seconds.
    objective
        Time to the answer, or its first event, that callers were promised,
        in seconds.
    pause_objective
        Longest pause between two events of a stream that callers were
        promised, in seconds; 0 if nothing was.
    priority
        Rank among routes; 0 is the most urgent.
    max_attempts
        Endpoints at most on which one request may run.
    is_public
        Whether requests carry no key of a workspace.
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


class ServiceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A service and, for a model service, what its engines cost."""

    service: ServiceId
    max_connections: int
    engine: EngineCosts | None = None


class WorkspaceRecord(msgspec.Struct, frozen=True):
    """A workspace that sends requests.

    Attributes
    ----------
    priority
        Rank among workspaces, which goes before that of the route; 0 is the
        most urgent.
    """

    workspace: WorkspaceId
    priority: int = 0


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of what callers may send, in bytes and seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: float = 3
    idle_timeout: float = 15
