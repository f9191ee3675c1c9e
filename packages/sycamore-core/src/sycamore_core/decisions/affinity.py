"""Which endpoints are believed to cache the beginning of a prompt.

Load pattern: conversations whose next turn repeats all turns before it, and
one prompt that thousands of callers share. Cache events of engines come late
and with gaps, so the index is fed mostly by what this entry itself has sent.

Without it: every turn of a conversation is computed from its first token on
whichever endpoint is next. Without its bound, the index grows with every
prompt ever seen until the process is killed for its memory.
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

#: Blocks that an index remembers: ten of each prompt of 10,000 tokens in blocks
#: of 256. The benchmark gives the memory that they take.
INDEX_BLOCKS = 20_000
#: Endpoints that one block is remembered for, those used last.
HOLDERS = 32
#: Holders after which shallower blocks are not looked at.
ENOUGH_HOLDERS = 4
#: Age at which a record is no longer believed, in seconds. An engine that
#: computes 10,000 tokens a second fills a memory of 2,000,000 in 200 s.
BELIEVED_SECONDS = 300.0
#: Age from which a record is renewed, in seconds. Instructions that all callers
#: share would otherwise be recorded again with each request.
REFRESH_SECONDS = 10.0
#: Up to this position every block is recorded, beyond it two a doubling. Eight
#: and four found no more, and cost a quarter more time a placement.
_DENSE_BLOCKS = 4
_PER_DOUBLING = 2
#: Position of the block whose hash chooses the home of a new prompt. Blocks
#: before it are often an instruction that all callers of a service share.
HOME_POSITION = 7
_POINTS_PER_ENDPOINT = 16
#: Odd number close to the golden part of 2**64, which spreads close keys.
_SPREAD = 0x9E3779B97F4A7C15
_HASH_BITS = 64
_REMEMBERED_RESULTS = 4096


class _Block(msgspec.Struct):
    uses: int
    holders: dict[EndpointId, float]

    def is_older(self, endpoint: EndpointId, now: float) -> bool:
        return now - self.holders.get(endpoint, -math.inf) > REFRESH_SECONDS

    def add_believed(
        self,
        found: dict[EndpointId, int],
        depth: int,
        oldest: float,
    ) -> None:
        for endpoint, recorded_at in self.holders.items():
            if recorded_at >= oldest and endpoint not in found:
                found[endpoint] = depth


class Matches(msgspec.Struct, frozen=True):
    """What an index knows of the beginning of a prompt.

    Attributes
    ----------
    blocks
        Number of blocks that each endpoint is believed to cache.
    uses
        Number of prompts that began like this one as far as it is known; 0
        if nothing of it is known.
    """

    blocks: Mapping[EndpointId, int] = {}
    uses: int = 0

    @property
    def deepest(self) -> int:
        """The largest number of blocks that an endpoint caches."""
        return max(self.blocks.values(), default=0)


class PrefixIndex:
    """Blocks that were sent to endpoints lately, the oldest dropped first.

    A block hash stands for a block and all before it, so the deepest block
    that is found gives the whole match.

    Examples
    --------
    >>> index = PrefixIndex()
    >>> index.record((11, 12, 13), 'e1', now=0)
    >>> index.matches((11, 12, 99), now=1)
    Matches(blocks={'e1': 2}, uses=1)
    """

    def __init__(self, limit: int = INDEX_BLOCKS) -> None:
        self.limit = limit
        self.known: OrderedDict[BlockHash, _Block] = OrderedDict()

    def record(
        self,
        blocks: Sequence[BlockHash],
        endpoint: EndpointId,
        now: float,
    ) -> None:
        """Note that an endpoint computes or caches a prompt."""
        for position in recorded_positions(len(blocks)):
            block = blocks[position]
            known = self.known.get(block)
            if known is None or known.is_older(endpoint, now):
                known = self.record_block(block, endpoint, now)
            known.uses += 1

    def record_block(
        self,
        block: BlockHash,
        endpoint: EndpointId,
        now: float,
    ) -> _Block:
        """Note that an endpoint caches the prompt up to a block."""
        known = self.known.get(block)
        if known is None:
            return self._add(block, endpoint, now)
        self.known.move_to_end(block)
        known.holders.pop(endpoint, None)
        known.holders[endpoint] = now
        if len(known.holders) > HOLDERS:
            known.holders.pop(next(iter(known.holders)))
        return known

    def matches(self, blocks: Sequence[BlockHash], now: float) -> Matches:
        """Return the endpoints that cache most of a prompt."""
        found: dict[EndpointId, int] = {}
        uses = 0
        oldest = now - BELIEVED_SECONDS
        for position in reversed(recorded_positions(len(blocks))):
            known = self.known.get(blocks[position])
            if known is None:
                continue
            uses = uses or known.uses
            known.add_believed(found, position + 1, oldest)
            if len(found) >= ENOUGH_HOLDERS:
                break
        return Matches(found, uses)

    def _add(
        self,
        block: BlockHash,
        endpoint: EndpointId,
        now: float,
    ) -> _Block:
        known = _Block(0, {endpoint: now})
        self.known[block] = known
        if len(self.known) > self.limit:
            self.known.popitem(last=False)
        return known


class HomeRing:
    """The endpoint that a new prompt goes to, the same at every entry.

    Entries do not tell each other what they send. A hash of the prompt makes
    them choose the same endpoint without a message, so the next turn of a
    conversation that comes through another entry finds its cache.
    """

    def __init__(self) -> None:
        self.rings: dict[ServiceId, _Ring] = {}

    def homes(
        self,
        blocks: Sequence[BlockHash],
        pool: CandidatePool,
    ) -> Iterable[Candidate]:
        """Return the candidate that the hash of a prompt chooses, if any."""
        if not len(pool):
            return ()
        service = pool[0].view.service
        ring = self.rings.get(service)
        if ring is None or ring.generation != pool.generation:
            ring = _Ring.from_pool(pool)
            self.rings[service] = ring
        key = blocks[min(len(blocks) - 1, HOME_POSITION)]
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
            for point in _points(candidate.view.endpoint)
        )
        return cls(pool.generation, points)

    def home(self, key: BlockHash) -> EndpointId:
        point = key * _SPREAD % (1 << _HASH_BITS)
        place = bisect.bisect(self.points, (point, ''))
        return self.points[place % len(self.points)][1]


@functools.lru_cache(maxsize=_REMEMBERED_RESULTS)
def recorded_positions(blocks: int) -> tuple[int, ...]:
    """Return the positions at which a prompt of so many blocks is recorded.

    They are dense at first and then half a doubling apart, so a prompt of a
    million tokens takes few records and a match is underestimated by a third
    at most.

    Examples
    --------
    >>> recorded_positions(18)
    (0, 1, 2, 3, 5, 7, 11, 15)
    """
    positions = list(range(min(blocks, _DENSE_BLOCKS)))
    step = _DENSE_BLOCKS // _PER_DOUBLING
    depth = _DENSE_BLOCKS
    while depth < blocks:
        depths = range(depth + step, depth * 2 + 1, step)
        positions.extend(reach - 1 for reach in depths if reach <= blocks)
        depth *= 2
        step *= 2
    return tuple(positions)


@functools.lru_cache(maxsize=_REMEMBERED_RESULTS)
def _points(endpoint: EndpointId) -> tuple[tuple[int, EndpointId], ...]:
    return tuple(
        (stable_hash(f'{endpoint}#{number}'), endpoint)
        for number in range(_POINTS_PER_ENDPOINT)
    )
