"""What an entry believes of an endpoint: a hint that may be old."""

import msgspec

from ..ids import EndpointId, Incarnation, ServiceId, ZoneId
from ..states import EndpointKind, EndpointPhase

#: Prefill rate until an endpoint has shown one, in tokens a second.
ASSUMED_RATE = 10_000.0
#: Prompt tokens that wait at an engine from which on its steps are full of
#: them, and its prefill rate tells how fast it is: one chunk.
FULL_STEP_TOKENS = 4096


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

    @property
    def telling_rate(self) -> float:
        """Prefill rate if it tells how fast the engine is, else 0.

        What goes wrong otherwise: a step with the few tokens of a chat turn
        takes its base time all the same, so ten tokens in 10 ms are reported
        as 1,000 a second where 400,000 are possible. A prompt of 45,000
        tokens was then refused as needing 225 s, and the endpoint was taken
        for full with 200 tokens on their way.
        """
        is_full = self.backlog_tokens >= FULL_STEP_TOKENS
        if is_full or self.service_rate >= ASSUMED_RATE:
            return self.service_rate
        return 0
