"""Settings of one forwarding entry."""

from collections.abc import Mapping
from types import MappingProxyType

import msgspec
from sycamore_core.decisions.direct import RetryBudgetLimit
from sycamore_core.ids import EntryId, RegionId, ZoneId

#: Default time within which a change takes effect, in seconds. Callers who
#: have lost a key or a route notice no difference with a shorter time.
CHANGE_SECONDS = 2.0


_NO_REGIONS: Mapping[ZoneId, RegionId] = MappingProxyType({})


class ColdRate(msgspec.Struct, frozen=True, kw_only=True):
    """Bound on the requests that a cold endpoint receives in a second.

    The bound is the rate that the endpoint tolerates times `over`, plus
    `slack`, for all entries together.
    """

    over: float
    slack: float


class ForwardingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses and bounds of one forwarding entry.

    Attributes
    ----------
    name, zone
        Name of the entry, and its availability zone.
    callers, ready
        Addresses that serve callers and the balancer's readiness checks, as
        ``HOST:PORT``.
    metrics
        Address of the metrics page, as ``HOST:PORT``; empty to serve none.
    peers
        Address for messages of peers, as ``HOST:PORT``; empty for an entry
        without peers.
    seeds
        Addresses of a few peers, through which the entries discover one
        another.
    retry_limit
        The operator's limit on retries.
    stop_seconds
        Time from the stop signal until the process is killed, in seconds.
    change_seconds
        Time within which a changed configuration, or the departure of an
        endpoint, takes effect, in seconds.
    evacuate_seconds
        Time within which the evacuation of a zone takes effect, in seconds;
        None if the operator sets no such bound.
    cold_rate
        Bound for cold endpoints; None if the operator sets none.
    regions
        Region of each zone.
    memory_bytes
        Memory that the process may use, in bytes; None if unlimited.
    measures_pace
        Whether the pace of engines is measured by the events of streams.
    """

    name: EntryId
    zone: ZoneId
    callers: str
    ready: str
    peers: str = ''
    metrics: str = ''
    seeds: tuple[str, ...] = ()
    retry_limit: RetryBudgetLimit = RetryBudgetLimit()
    stop_seconds: float = 8
    change_seconds: float = CHANGE_SECONDS
    evacuate_seconds: float | None = None
    cold_rate: ColdRate | None = None
    regions: Mapping[ZoneId, RegionId] = _NO_REGIONS
    memory_bytes: int | None = None
    measures_pace: bool = False
