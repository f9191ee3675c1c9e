"""How much of the fleet prompts of the longest band may hold.

Load pattern: one prompt in fifty has over a hundred thousand tokens and
carries most of all tokens.

Without it: long prompts take every engine within seconds, and a chat turn
finds none on which it need not share each step with a long prefill.
"""

import math
from collections.abc import Sequence
from typing import Self

import msgspec

from ..states import EndpointPhase
from .pool import Candidate
from .requests import RequestView

#: Part of an engine's memory that a long prompt leaves free. A quarter of
#: 400,000 tokens are 25 of the largest short turns at once.
SHORT_ROOM_SHARE = 0.25
#: Part that is left free for a prompt that a small fleet could not hold
#: otherwise: four short turns of 5,000 tokens at a time on 400,000.
LEAST_ROOM_SHARE = 0.05


class LongLimits(msgspec.Struct, frozen=True):
    """What long work may take now.

    Attributes
    ----------
    tokens
        Memory that long work may still take, in tokens.
    engines
        Engines that may still be added to those that hold long work.
    largest_engine
        Memory of the largest engine, in tokens.
    seen_at
        When the engines were summed up, in seconds.
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
        """Return what a `share` of the candidates leaves to long work.

        While none is held all engines are allowed, or a small site could
        never serve a prompt that needs more of them than the share. What an
        engine held that is gone does not count: it will never be released,
        and long work would wait for it for ever.
        """
        live = [
            one for one in candidates if one.view.phase == EndpointPhase.LIVE
        ]
        sizes = [one.view.capacity_tokens for one in live]
        largest = max(sizes, default=0)
        held = sum(one.view.long_tokens for one in live)
        if not held:
            return cls(sum(sizes), len(sizes), largest, now)
        holding = sum(1 for one in live if one.view.long_tokens)
        allowed = max(1, math.floor(share * len(sizes)))
        return cls(
            max(0, math.floor(sum(sizes) * share) - held),
            max(0, allowed - holding),
            largest,
            now,
        )

    @property
    def largest_span(self) -> int:
        """Tokens that long work may take of the largest engine if empty."""
        return math.floor(self.largest_engine * (1 - SHORT_ROOM_SHARE))

    def allow(self, candidate: Candidate, request: RequestView) -> bool:
        """Tell whether an engine may take a long request whole."""
        tokens = request.lease_tokens
        if tokens > min(self.tokens, room_for_long(candidate)):
            return False
        return self.engines > 0 or candidate.view.long_tokens > 0


def room_for_long(
    candidate: Candidate,
    short_room_share: float = SHORT_ROOM_SHARE,
) -> int:
    """Return the tokens that long work may take of an engine now."""
    view = candidate.view
    if candidate.weight <= 0 or view.phase != EndpointPhase.LIVE:
        return 0
    short_room = math.ceil(view.capacity_tokens * short_room_share)
    return max(0, view.free_tokens - candidate.sent_tokens - short_room)
