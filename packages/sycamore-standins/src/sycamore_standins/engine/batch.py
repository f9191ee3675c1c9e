"""The continuous batch of an engine and what its next step computes."""

from collections.abc import Mapping

import msgspec

from .memory import EngineMemory
from .profile import EngineProfile
from .sequences import Work


class StepPlan(msgspec.Struct, frozen=True):
    """What one step computes.

    Attributes
    ----------
    chunks
        Each piece of work with the prompt tokens computed for it in the step;
        0 for a sequence that generates.
    seconds
        How long the step lasts.
    """

    chunks: tuple[tuple[Work, int], ...] = ()
    seconds: float = 0

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens computed in the step."""
        return sum(chunk for _, chunk in self.chunks)

    def completed(self, present: Mapping[str, Work]) -> list[Work]:
        """Apply the step and return the work whose prompt is computed."""
        ready: list[Work] = []
        for work, chunk in self.chunks:
            # A cancelled sequence may have left, or come back as another one,
            # while the step was running; it must not get a token of this one.
            if present.get(work.name) is not work:
                continue
            work.prefill_left -= chunk
            if not work.prefill_left:
                ready.append(work)
        return ready


class Batch:
    """Sequences and spans that share the steps of an engine."""

    def __init__(self) -> None:
        self.members: dict[str, Work] = {}

    def fill(self, memory: EngineMemory, limit: int, now: float) -> None:
        """Take in what waits, best priority first, up to `limit` members."""
        room = limit - len(self.members)
        if room <= 0 or len(memory.work) == len(self.members):
            return
        candidates = [
            work for work in memory.work.values() if self._may_join(work, now)
        ]
        candidates.sort(key=lambda work: work.rank)
        for work in candidates[:room]:
            memory.look_up(work, now)
            self.members[work.name] = work

    def plan(self, profile: EngineProfile) -> StepPlan:
        """Return the next step: one token for each, and a chunk of prompts."""
        members = self.members.values()
        decoding = [(work, 0) for work in members if not work.prefill_left]
        prefilling = self._prefill_chunks(profile.prefill_chunk_tokens)
        if not decoding and not prefilling:
            return StepPlan()
        prompt_tokens = sum(chunk for _, chunk in prefilling)
        seconds = profile.step_base_seconds
        seconds += profile.step_slope_seconds * len(decoding)
        seconds += prompt_tokens / profile.prefill_rate
        return StepPlan((*decoding, *prefilling), seconds)

    def _may_join(self, work: Work, now: float) -> bool:
        if work.name in self.members or work.is_held_span:
            return False
        return work.ready_at <= now

    def _prefill_chunks(self, room: int) -> list[tuple[Work, int]]:
        waiting = [work for work in self.members.values() if work.prefill_left]
        waiting.sort(key=lambda work: work.rank)
        chunks: list[tuple[Work, int]] = []
        for work in waiting:
            chunk = min(room, work.prefill_left)
            if not chunk:
                break
            chunks.append((work, chunk))
            room -= chunk
        return chunks
