"""Limits of the part of the fleet that the longest prompts may use.

Load pattern: one prompt in fifty has over 100,000 tokens, and these prompts
contain most of all tokens.

Without these limits, long prompts occupy every engine within seconds, and each
short request shares its steps with a long prefill.
"""

import math
from collections.abc import Sequence
from typing import Self

import msgspec

from ..states import EndpointPhase
from .pool import Candidate
from .requests import RequestView

#: Fraction of the memory of an engine that a long prompt leaves free. A quarter
#: of 400,000 tokens holds 25 of the largest short requests at once.
SHORT_RESERVED_SHARE = 0.25
#: Fraction left free by a prompt that a small fleet could not hold otherwise;
#: of 400,000 tokens, it holds four short requests of 5,000 tokens at once.
MIN_RESERVED_SHARE = 0.05


class LongLimits(msgspec.Struct, frozen=True):
    """Capacity that remains for long work.

    Attributes
    ----------
    tokens
        Memory that long work may still use, in tokens.
    engines
        Number of engines without long work that may still get some.
    largest_engine
        Memory of the largest engine, in tokens.
    seen_at
        Time at which the limits were computed, in seconds.
    """

    tokens: int
    engines: int
    largest_engine: int = 0
    seen_at: float = 0

    @classmethod
    def from_candidates(
        cls,
        candidates: Sequence[Candidate],
        share: float,
        now: float = 0,
    ) -> Self:
        """Return the limits for a `share` of the candidates.

        While there is no long work, all engines are allowed. Without this, a
        small site could never serve a prompt that needs more engines than the
        share. Long work on engines that are not live does not count: its
        memory is never released, and long work would wait for it forever.
        """
        live = [
            candidate
            for candidate in candidates
            if candidate.view.phase == EndpointPhase.LIVE
        ]
        sizes = [candidate.view.capacity_tokens for candidate in live]
        largest = max(sizes, default=0)
        used = sum(candidate.view.long_tokens for candidate in live)
        if not used:
            return cls(sum(sizes), len(sizes), largest, now)
        engines_used = sum(
            1 for candidate in live if candidate.view.long_tokens
        )
        allowed = max(1, math.floor(share * len(sizes)))
        return cls(
            max(0, math.floor(sum(sizes) * share) - used),
            max(0, allowed - engines_used),
            largest,
            now,
        )

    @property
    def largest_span(self) -> int:
        """Memory for long work on the largest engine if empty, in tokens."""
        return math.floor(self.largest_engine * (1 - SHORT_RESERVED_SHARE))

    def allows(self, candidate: Candidate, request: RequestView) -> bool:
        """Return whether an engine may run a long request without a split."""
        tokens = request.lease_tokens
        if tokens > min(self.tokens, long_capacity(candidate)):
            return False
        return self.engines > 0 or candidate.view.long_tokens > 0


def long_capacity(
    candidate: Candidate,
    reserved_share: float = SHORT_RESERVED_SHARE,
) -> int:
    """Return the memory of an engine free for long work, in tokens."""
    view = candidate.view
    if candidate.weight <= 0 or view.phase != EndpointPhase.LIVE:
        return 0
    reserved_tokens = math.ceil(view.capacity_tokens * reserved_share)
    return max(0, view.free_tokens - candidate.sent_tokens - reserved_tokens)
