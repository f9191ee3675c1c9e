"""Settings of one forwarding entry."""

import msgspec
from sycamore_core.decisions.direct import AllowanceBounds
from sycamore_core.ids import EntryId, ZoneId

#: Time within which a change is in force where the operator names none, in
#: seconds: callers who have lost a key or a route notice no less.
CHANGE_SECONDS = 2.0


class ForwardingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses and bounds of one forwarding entry.

    Attributes
    ----------
    name, zone
        Which entry it is, and where.
    callers, ready
        Where callers are served, and where the balancer asks whether to send
        any, as ``HOST:PORT``.
    metrics
        Where the page of metrics is served, as ``HOST:PORT``; empty for
        nowhere.
    peers
        Where other entries send, as ``HOST:PORT``; empty for an entry alone.
    seeds
        Such addresses of a few entries, by which all find one another.
    allowance
        The operator's bound on repeats.
    stop_seconds
        Time from the signal to stop until the process is killed.
    change_seconds
        Time within which a changed configuration, or an endpoint's leaving,
        is to be in force.
    """

    name: EntryId
    zone: ZoneId
    callers: str
    ready: str
    peers: str = ''
    metrics: str = ''
    seeds: tuple[str, ...] = ()
    allowance: AllowanceBounds = AllowanceBounds()
    stop_seconds: float = 8
    change_seconds: float = CHANGE_SECONDS
