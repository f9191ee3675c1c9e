"""Settings of one forwarding entry."""

import msgspec
from sycamore_core.decisions.direct import RetryBudgetLimit
from sycamore_core.ids import EntryId, ZoneId

#: Default time within which a change takes effect, in seconds. Callers who
#: have lost a key or a route notice no difference with a shorter time.
CHANGE_SECONDS = 2.0


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
    allowance
        The operator's limit on retries.
    stop_seconds
        Time from the stop signal until the process is killed, in seconds.
    change_seconds
        Time within which a changed configuration, or the departure of an
        endpoint, takes effect, in seconds.
    """

    name: EntryId
    zone: ZoneId
    callers: str
    ready: str
    peers: str = ''
    metrics: str = ''
    seeds: tuple[str, ...] = ()
    allowance: RetryBudgetLimit = RetryBudgetLimit()
    stop_seconds: float = 8
    change_seconds: float = CHANGE_SECONDS
