"""What the back ends and the entries of a fleet have counted."""

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from typing import Self

import msgspec

from ..client import get
from ..engine.hook_bodies import EngineMemory, EngineRun
from ..plain.journal import CallRecord
from .fleet import Fleet

#: Memory of a finished or abandoned request is free after this long; leases
#: of a prompt that several engines share are the last to go.
FREED_SECONDS = 15.0
_POLL_SECONDS = 0.1
_RETRIES = 'sycamore_retries_total{'
_REASON = 'reason="'


class FleetCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Counts over the whole fleet.

    Attributes
    ----------
    runs
        How often the engines ran each request id.
    credits
        How often each business id reached a plain service.
    held_tokens
        Memory that requests and spans hold at the engines.
    retries
        By reason, as the entries count them.
    """

    runs: Counter[str]
    credits: Counter[str]
    held_tokens: int
    retries: Counter[str]

    @classmethod
    async def read(cls, fleet: Fleet) -> Self:
        """Ask all back ends and entries."""
        return cls(
            runs=await read_runs(fleet),
            credits=await read_credits(fleet),
            held_tokens=await read_held_tokens(fleet),
            retries=await read_retries(fleet),
        )

    def doubled(self) -> list[str]:
        """Return the request ids and business ids that came twice."""
        counted = self.runs + self.credits
        return [name for name, times in counted.items() if times > 1]


async def read_runs(fleet: Fleet) -> Counter[str]:
    """Return how often the engines ran each request id."""
    hooks = [fleet.hooks(name) for name in fleet.roster.engines]
    lists: Sequence[Sequence[EngineRun]] = await asyncio.gather(
        *(one.runs() for one in hooks),
    )
    counts: Counter[str] = Counter()
    for runs in lists:
        counts.update({run.request_id: run.times for run in runs})
    return counts


async def read_credits(fleet: Fleet) -> Counter[str]:
    """Return how often each business id reached a plain service."""
    hooks = [fleet.hooks(name) for name in fleet.roster.plain_services]
    lists: Sequence[Sequence[CallRecord]] = await asyncio.gather(
        *(one.calls() for one in hooks),
    )
    return Counter(call.business_id for calls in lists for call in calls)


async def read_held_tokens(fleet: Fleet) -> int:
    """Return the memory that is held at the engines, in tokens."""
    hooks = [fleet.hooks(name) for name in fleet.roster.engines]
    held: Sequence[EngineMemory] = await asyncio.gather(
        *(one.memory() for one in hooks),
    )
    return sum(memory.held_tokens for memory in held)


async def wait_freed(fleet: Fleet) -> None:
    """Return once no memory is held, or after `FREED_SECONDS` in any case."""
    last = time.monotonic() + FREED_SECONDS
    while time.monotonic() < last and await read_held_tokens(fleet):
        await asyncio.sleep(_POLL_SECONDS)


async def read_retries(fleet: Fleet) -> Counter[str]:
    """Return the retries that the entries have counted, by reason."""
    urls = [fleet.roster.urls[name] for name in fleet.roster.entries]
    pages = await asyncio.gather(*(get(f'{url}/metrics') for url in urls))
    counts: Counter[str] = Counter()
    for page in pages:
        for line in page.body.decode().splitlines():
            counts.update(_retries_in(line))
    return counts


def _retries_in(line: str) -> Counter[str]:
    if not line.startswith(_RETRIES):
        return Counter()
    labels, _, count = line.rpartition(' ')
    _, _, after = labels.partition(_REASON)
    reason, _, _ = after.partition('"')
    return Counter({reason: int(float(count))})
