"""The prefix cache of an engine: limited memory, least recently used first."""

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence

import msgspec
from sycamore_core.ids import BlockHash

#: Events that an engine remembers for those who ask late; older ones are a gap.
EVENT_LIMIT = 4096

#: Returns a number from 0 to 1.
Draw = Callable[[], float]


class CacheEvent(msgspec.Struct, frozen=True):
    """A block came into the cache (``stored``) or left it (``evicted``).

    Attributes
    ----------
    number
        Position in the engine's own count, from 1; a missing one is a gap.
    at
        When it happened, in seconds.
    """

    number: int
    kind: str
    block: BlockHash
    at: float


class PrefixCache:
    """Blocks of prompts that need not be computed again.

    A block that a running sequence uses is pinned and counted with the memory
    of that sequence. Other blocks live in what memory is left and are evicted
    when it shrinks.

    Parameters
    ----------
    block_tokens
        Size of a block, in tokens.
    event_loss
        Part of the events that are never published, from 0 to 1.
    draw
        Randomness for the loss of events.
    """

    def __init__(
        self,
        block_tokens: int,
        event_loss: float,
        draw: Draw,
    ) -> None:
        self.block_tokens = block_tokens
        self.event_loss = event_loss
        self.draw = draw
        self.pinned: dict[BlockHash, int] = {}
        self.unpinned: OrderedDict[BlockHash, None] = OrderedDict()
        self.events: deque[CacheEvent] = deque(maxlen=EVENT_LIMIT)
        self.last_number = 0

    def matched_tokens(self, blocks: Sequence[BlockHash]) -> int:
        """Return how many tokens of a prompt are cached from its start."""
        matched = 0
        for block in blocks:
            if block not in self.pinned and block not in self.unpinned:
                break
            matched += self.block_tokens
        return matched

    def pin(self, blocks: Sequence[BlockHash], now: float) -> None:
        """Note that a sequence uses these blocks."""
        for block in blocks:
            users = self.pinned.get(block, 0)
            self.pinned[block] = users + 1
            if users:
                continue
            if block in self.unpinned:
                self.unpinned.pop(block)
            else:
                self._publish('stored', block, now)

    def unpin(self, blocks: Sequence[BlockHash]) -> None:
        """Note that a sequence no longer uses these blocks."""
        for block in reversed(blocks):
            self.pinned[block] -= 1
            if not self.pinned[block]:
                self.pinned.pop(block)
                self.unpinned[block] = None

    def shrink(self, free_tokens: int, now: float) -> None:
        """Evict until the blocks that nobody uses fit into `free_tokens`."""
        limit = max(free_tokens, 0) // self.block_tokens
        while len(self.unpinned) > limit:
            block, _ = self.unpinned.popitem(last=False)
            self._publish('evicted', block, now)

    def events_after(self, number: int, until: float) -> list[CacheEvent]:
        """Return published events above `number`, not newer than `until`."""
        return [
            event
            for event in self.events
            if event.number > number and event.at <= until
        ]

    def _publish(self, kind: str, block: BlockHash, now: float) -> None:
        self.last_number += 1
        if self.draw() < self.event_loss:
            return
        self.events.append(CacheEvent(self.last_number, kind, block, now))
