"""An engine that works in passes.

While it writes, a pass makes many steps, each of which writes a token for
every answer and may read a chunk of a prompt. It takes in work between two
passes only, and tokens leave it with the end of a pass. An engine that only
reads ends a pass after each chunk. Parts of split prompts are read ahead of
all others, the latest first.

The model was held against the log of a day with 680 prompts on 18 engines:
the median error of the time to the first token is 4 ms for prompts above
80,000 tokens, 3 ms for those above 12,000 and 16 ms for shorter ones; the
means are 18, 11 and 25 ms.
"""

import msgspec
from sycamore_core.ids import RequestId
from sycamore_core.routing import EngineCosts

#: Prompt tokens that a step reads at most, as engines are configured.
CHUNK_TOKENS = 2048
_THOUSAND = 1000
_MILLION = 1_000_000


class Part(msgspec.Struct, eq=False, kw_only=True):
    """A prompt, or a part of one, to be read.

    Attributes
    ----------
    left
        Tokens that are not read yet.
    mean_context
        Mean number of earlier tokens that each of them attends to.
    is_ahead
        Whether it is a part of a split prompt.
    order
        Grows with the order of arrival.
    is_home
        Whether the answer is written here; it then holds a slot.
    """

    request: RequestId
    left: float
    mean_context: float
    is_ahead: bool
    order: int
    is_home: bool = True

    @property
    def rank(self) -> tuple[bool, int]:
        """Return the place in the order of reading."""
        return not self.is_ahead, -self.order if self.is_ahead else self.order


class PassResult(msgspec.Struct, frozen=True):
    """What comes out of a pass.

    Attributes
    ----------
    ms
        How long it lasts.
    writers
        Requests whose answers went on.
    read
        Parts of which nothing is left.
    """

    ms: float
    writers: tuple[RequestId, ...]
    read: tuple[Part, ...]


class PassEngine:
    """One engine.

    Attributes
    ----------
    waiting
        Parts that came during the pass that runs, or that find no slot.
    reading
        Parts that it has taken in.
    contexts
        Context tokens of the requests that it writes for.
    is_busy
        Whether a pass runs.
    """

    def __init__(self, costs: EngineCosts) -> None:
        self.costs = costs
        self.waiting: list[Part] = []
        self.reading: list[Part] = []
        self.contexts: dict[RequestId, int] = {}
        self.is_busy = False

    def next_pass(self) -> PassResult | None:
        """Take in what waits and compute a pass; None if there is nothing."""
        self._take_in()
        self.reading.sort(key=_rank)
        self.is_busy = bool(self.reading or self.contexts)
        if not self.is_busy:
            return None
        steps = self.costs.pass_steps if self.contexts else 1
        read_ms = sum(self._read_chunk() for _ in range(steps))
        done = tuple(part for part in self.reading if not part.left)
        self.reading = [part for part in self.reading if part.left]
        ms = self._steps_ms() + read_ms
        return PassResult(ms, tuple(self.contexts), done)

    def _take_in(self) -> None:
        """Begin what waits; answers beyond the slots wait for an end."""
        room = self.costs.slots - len(self.contexts)
        room -= sum(part.is_home for part in self.reading)
        left: list[Part] = []
        for part in self.waiting:
            if part.is_home and room <= 0:
                left.append(part)
                continue
            room -= int(part.is_home)
            self.reading.append(part)
        self.waiting = left

    def _steps_ms(self) -> float:
        """Return the time of a pass, what is read in it left aside."""
        if not self.contexts:
            return self.costs.step_ms
        context = sum(self.contexts.values())
        return self.costs.pass_ms(len(self.contexts), context)

    def _read_chunk(self) -> float:
        """Read what fits into a step; return the time for it, in ms."""
        room: float = CHUNK_TOKENS
        spent: float = 0
        for part in self.reading:
            tokens = min(room, part.left)
            part.left -= tokens
            room -= tokens
            pairs = tokens * part.mean_context / _MILLION
            spent += tokens / self.costs.read_tokens_per_ms
            spent += pairs * self.costs.pair_ms
        return spent


def _rank(part: Part) -> tuple[bool, int]:
    return part.rank
