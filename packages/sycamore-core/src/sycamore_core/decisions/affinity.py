"""Index of the endpoints that probably cache a prompt prefix.

Load pattern: conversations in which each request repeats the previous prompt,
and one prompt that thousands of callers share. Cache events of engines arrive
late and with gaps, so the index relies mainly on what this entry has sent.

Without the index, the whole prompt of each request of a conversation is
computed again on an arbitrary endpoint. Without its size limit, the index
grows with every new prompt until the process runs out of memory.
"""

import bisect
import functools
import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from typing import Self

import msgspec

from ..hashes import stable_hash
from ..ids import BlockHash, EndpointId, ServiceId
from .pool import Candidate, CandidatePool

#: Maximum number of blocks in an index. A prompt of 10,000 tokens in blocks of
#: 256 tokens takes ten records. The benchmark `decision_cost` gives the memory
#: used.
MAX_INDEX_BLOCKS = 20_000
#: Maximum number of endpoints recorded for one block, the latest ones.
MAX_HOLDERS_PER_BLOCK = 32
#: Number of holders after which a lookup stops. The remaining blocks would only
#: give shorter matches.
SUFFICIENT_HOLDERS = 4
#: Age at which a record is ignored, in seconds. An engine that computes 10,000
#: tokens per second fills a memory of 2,000,000 tokens in 200 s.
RECORD_LIFETIME_SECONDS = 300.0
#: Minimum age at which a record is renewed, in seconds. Without this minimum,
#: an instruction that all callers share is recorded again with each request.
RECORD_REFRESH_SECONDS = 10.0
#: Every block before this position is recorded; beyond it, two blocks for each
#: doubling of the position. Values of 8 and 4 found no more matches and took a
#: quarter more time per placement.
_DENSE_BLOCKS = 4
_RECORDS_PER_DOUBLING = 2
#: Position of the block whose hash selects the home endpoint of a new prompt.
#: Earlier blocks are often an instruction that all callers of a service share.
HOME_KEY_POSITION = 7
_POINTS_PER_ENDPOINT = 16
#: Multiplier of Fibonacci hashing: an odd number close to 2**64 divided by the
#: golden ratio, which spreads keys that are close to each other.
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_HASH_BITS = 64
_CACHED_RESULTS = 4096


class _BlockRecord(msgspec.Struct):
    uses: int
    holders: dict[EndpointId, float]

    def needs_refresh(self, endpoint: EndpointId, now: float) -> bool:
        return (
            now - self.holders.get(endpoint, -math.inf) > RECORD_REFRESH_SECONDS
        )

    def add_recent_holders(
        self,
        found: dict[EndpointId, int],
        depth: int,
        oldest: float,
    ) -> None:
        for endpoint, recorded_at in self.holders.items():
            if recorded_at >= oldest and endpoint not in found:
                found[endpoint] = depth


class PrefixMatches(msgspec.Struct, frozen=True):
    """Result of looking up a prompt in a `PrefixIndex`.

    Attributes
    ----------
    blocks
        Number of leading blocks that each endpoint probably caches.
    uses
        Number of recorded prompts that share the longest known prefix; 0 if
        no prefix is known.
    """

    blocks: Mapping[EndpointId, int] = {}
    uses: int = 0

    @property
    def longest_match(self) -> int:
        """Largest number of blocks that any endpoint caches."""
        return max(self.blocks.values(), default=0)


class PrefixIndex:
    """LRU index of the blocks that were recently sent to each endpoint.

    A block hash covers the block and all blocks before it, so the deepest
    block that is found gives the length of the match.

    Examples
    --------
    >>> index = PrefixIndex()
    >>> index.record((11, 12, 13), 'e1', now=0)
    >>> index.matches((11, 12, 99), now=1)
    PrefixMatches(blocks={'e1': 2}, uses=1)
    """

    def __init__(self, limit: int = MAX_INDEX_BLOCKS) -> None:
        self.limit = limit
        self.block_records: OrderedDict[BlockHash, _BlockRecord] = OrderedDict()

    def record(
        self,
        blocks: Sequence[BlockHash],
        endpoint: EndpointId,
        now: float,
    ) -> None:
        """Record that an endpoint computes or caches a prompt."""
        for position in recorded_positions(len(blocks)):
            block = blocks[position]
            record = self.block_records.get(block)
            if record is None or record.needs_refresh(endpoint, now):
                record = self.record_block(block, endpoint, now)
            record.uses += 1

    def record_block(
        self,
        block: BlockHash,
        endpoint: EndpointId,
        now: float,
    ) -> _BlockRecord:
        """Record that an endpoint caches the prompt up to a block."""
        record = self.block_records.get(block)
        if record is None:
            return self._add_record(block, endpoint, now)
        self.block_records.move_to_end(block)
        record.holders.pop(endpoint, None)
        record.holders[endpoint] = now
        if len(record.holders) > MAX_HOLDERS_PER_BLOCK:
            record.holders.pop(next(iter(record.holders)))
        return record

    def matches(self, blocks: Sequence[BlockHash], now: float) -> PrefixMatches:
        """Return the endpoints that cache the longest prefixes of a prompt."""
        found: dict[EndpointId, int] = {}
        uses = 0
        oldest = now - RECORD_LIFETIME_SECONDS
        for position in reversed(recorded_positions(len(blocks))):
            record = self.block_records.get(blocks[position])
            if record is None:
                continue
            uses = uses or record.uses
            record.add_recent_holders(found, position + 1, oldest)
            if len(found) >= SUFFICIENT_HOLDERS:
                break
        return PrefixMatches(found, uses)

    def _add_record(
        self,
        block: BlockHash,
        endpoint: EndpointId,
        now: float,
    ) -> _BlockRecord:
        record = _BlockRecord(0, {endpoint: now})
        self.block_records[block] = record
        if len(self.block_records) > self.limit:
            self.block_records.popitem(last=False)
        return record


class HomeRing:
    """Consistent hash ring that gives each new prompt a home endpoint.

    Entries do not exchange the prompts they send. All entries compute the
    same home from the hash of a prompt, so the next request of a conversation
    finds its cache even if it arrives at another entry.
    """

    def __init__(self) -> None:
        self.rings: dict[ServiceId, _Ring] = {}

    def homes(
        self,
        blocks: Sequence[BlockHash],
        pool: CandidatePool,
    ) -> Iterable[Candidate]:
        """Return the home of a prompt among the candidates, if any."""
        if not len(pool):
            return ()
        service = pool[0].view.service
        ring = self.rings.get(service)
        if ring is None or ring.generation != pool.generation:
            ring = _Ring.from_pool(pool)
            self.rings[service] = ring
        key = blocks[min(len(blocks) - 1, HOME_KEY_POSITION)]
        home = pool.find(ring.home(key))
        return () if home is None else (home,)


class _Ring(msgspec.Struct, frozen=True):
    generation: int
    points: list[tuple[int, EndpointId]]

    @classmethod
    def from_pool(cls, pool: CandidatePool) -> Self:
        points = sorted(
            point
            for candidate in pool
            for point in _ring_points(candidate.view.endpoint)
        )
        return cls(pool.generation, points)

    def home(self, key: BlockHash) -> EndpointId:
        point = key * _HASH_MULTIPLIER % (1 << _HASH_BITS)
        index = bisect.bisect(self.points, (point, ''))
        return self.points[index % len(self.points)][1]


@functools.lru_cache(maxsize=_CACHED_RESULTS)
def recorded_positions(blocks: int) -> tuple[int, ...]:
    """Return the positions at which a prompt of `blocks` blocks is recorded.

    The first positions are consecutive. Then two positions follow for each
    doubling of the position. A prompt of a million tokens thus takes few
    records, and the length of a match is underestimated by at most a third.

    Examples
    --------
    >>> recorded_positions(18)
    (0, 1, 2, 3, 5, 7, 11, 15)
    """
    positions = list(range(min(blocks, _DENSE_BLOCKS)))
    step = _DENSE_BLOCKS // _RECORDS_PER_DOUBLING
    depth = _DENSE_BLOCKS
    while depth < blocks:
        block_counts = range(depth + step, depth * 2 + 1, step)
        positions.extend(
            block_count - 1
            for block_count in block_counts
            if block_count <= blocks
        )
        depth *= 2
        step *= 2
    return tuple(positions)


@functools.lru_cache(maxsize=_CACHED_RESULTS)
def _ring_points(endpoint: EndpointId) -> tuple[tuple[int, EndpointId], ...]:
    return tuple(
        (stable_hash(f'{endpoint}#{number}'), endpoint)
        for number in range(_POINTS_PER_ENDPOINT)
    )
