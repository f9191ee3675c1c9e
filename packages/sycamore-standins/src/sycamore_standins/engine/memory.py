"""Who holds the memory of an engine: sequences, spans and the prefix cache."""

from collections.abc import Callable

from sycamore_core.errors import BackendError

from .prefix_cache import PrefixCache
from .profile import EngineProfile
from .sequences import Work


class EngineError(BackendError):
    """The engine model refuses what it was asked."""


class OutOfMemoryError(EngineError):
    """The engine has no memory left for a sequence or a span."""


class DuplicateError(EngineError):
    """A request with the same id is in the engine."""


class EngineMemory:
    """The leases of an engine and the prefix cache in what they leave free."""

    def __init__(
        self,
        profile: EngineProfile,
        draw: Callable[[], float],
    ) -> None:
        self.capacity_tokens = profile.memory_tokens
        self.leased_tokens = 0
        self.work: dict[str, Work] = {}
        self.cache = PrefixCache(
            profile.block_tokens,
            profile.event_loss,
            draw,
        )

    @property
    def free_tokens(self) -> int:
        """Memory that is not leased, in tokens."""
        return self.capacity_tokens - self.leased_tokens

    def lease(self, work: Work, now: float) -> None:
        """Lease the memory of a piece of work.

        Raises
        ------
        OutOfMemoryError
            If it does not fit into the free memory.
        DuplicateError
            If work of this name holds a lease.
        """
        if work.name in self.work:
            raise DuplicateError(work.name)
        if work.lease > self.free_tokens:
            raise OutOfMemoryError(
                f'{work.lease} tokens wanted, {self.free_tokens} free',
            )
        self.work[work.name] = work
        self.leased_tokens += work.lease
        self.cache.shrink(self.free_tokens, now)

    def release(self, work: Work, now: float) -> None:
        """Return the memory of a piece of work; its blocks stay cached."""
        self.work.pop(work.name)
        self.leased_tokens -= work.lease
        if work.request is not None and work.pinned:
            self.cache.unpin(work.request.blocks[: work.pinned])
        self.cache.shrink(self.free_tokens, now)

    def look_up(self, work: Work, now: float) -> None:
        """Take from the work what the prefix cache has of its prompt."""
        if work.request is None or work.looked_up:
            return
        work.looked_up = True
        matched = self.cache.matched_tokens(work.request.blocks)
        work.prefill_left = max(work.prefill_left - matched, 1)
        work.pinned = matched // self.cache.block_tokens
        self.cache.pin(work.request.blocks[: work.pinned], now)

    def keep_blocks(self, work: Work, now: float) -> None:
        """Put the computed prompt of the work into the prefix cache."""
        if work.request is None:
            return
        self.cache.pin(work.request.blocks[work.pinned :], now)
        work.pinned = len(work.request.blocks)
