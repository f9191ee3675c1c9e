"""What an entry believes of an endpoint: a hint that may be old."""

import msgspec

from ..ids import EndpointId, Incarnation, ServiceId, ZoneId
from ..states import EndpointKind, EndpointPhase


class EndpointView(msgspec.Struct, kw_only=True):
    """The last report of an endpoint and what was sent to it since.

    Attributes
    ----------
    reported_at
        Monotonic time at which the last report came, in seconds.
    free_tokens, capacity_tokens, running, waiting, backlog_tokens, long_tokens
        As in the report, see `sycamore_core.messages.LoadReport`.
    service_rate
        Prefill rate, in tokens a second; 0 if not known.
    step_seconds
        Time between two tokens of a stream, in seconds; 0 if not known.
    cached_blocks
        Blocks that the endpoint said it caches.
    """

    endpoint: EndpointId
    service: ServiceId
    zone: ZoneId
    kind: EndpointKind = EndpointKind.MODEL
    incarnation: Incarnation = Incarnation(0)
    phase: EndpointPhase = EndpointPhase.LIVE
    reported_at: float = 0
    free_tokens: int = 0
    capacity_tokens: int = 0
    running: int = 0
    waiting: int = 0
    backlog_tokens: int = 0
    long_tokens: int = 0
    service_rate: float = 0
    step_seconds: float = 0
    cached_blocks: frozenset[int] = frozenset()
