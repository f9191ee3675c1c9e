"""State of an endpoint as known to an entry; it may be out of date."""

import msgspec

from ..ids import EndpointId, Incarnation, ServiceId, ZoneId
from ..states import EndpointKind, EndpointPhase

#: Prefill rate before an endpoint has reported one, in tokens per second.
ASSUMED_PREFILL_RATE = 10_000.0
#: Number of waiting prompt tokens from which the steps of an engine are full
#: and its prefill rate shows its speed: one chunk.
FULL_STEP_TOKENS = 4096


class EndpointView(msgspec.Struct, kw_only=True):
    """The last report of an endpoint.

    Attributes
    ----------
    reported_at
        Monotonic time at which the last report arrived, in seconds.
    free_tokens, capacity_tokens, running, waiting, backlog_tokens, long_tokens
        As in the report, see `sycamore_core.messages.LoadReport`.
    service_rate
        Prefill rate, in tokens per second; 0 if not known.
    step_seconds
        Time between two tokens of a stream, in seconds; 0 if not known.
    cached_blocks
        Blocks that the endpoint has reported as cached.
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

    @property
    def saturated_rate(self) -> float:
        """Prefill rate if it shows the speed of the engine, else 0.

        A step with the few tokens of a short request still takes its base
        time: ten tokens in 10 ms are reported as 1,000 tokens per second where
        400,000 are possible. Without this check, a prompt of 45,000 tokens is
        refused as needing 225 s, and the endpoint counts as full with 200
        tokens in flight.
        """
        is_full = self.backlog_tokens >= FULL_STEP_TOKENS
        if is_full or self.service_rate >= ASSUMED_PREFILL_RATE:
            return self.service_rate
        return 0
