"""Loads that are replayed: kinds of prompts and how their rates swing.

Short turns, long prompts and very long ones arrive by chance at rates that
change tenfold every ten seconds; sizes vary as in the users' traffic.
"""

import math
import random
from collections.abc import Mapping
from importlib import resources
from types import MappingProxyType

import msgspec
from sycamore_core.ids import RequestId, ZoneId
from sycamore_core.routing import EngineCosts

#: Largest factor on a rate; arrivals are drawn at it and thinned out.
_MOST = 3.0
_ID_BITS = 64
#: Worth of a request without its size, and the part that its size adds.
_FIXED_WORTH = 0.3
_SIZED_WORTH = 0.7
_MOST_WORTH = 4.0
_FEWEST_TOKENS = 200


class Spread(msgspec.Struct, frozen=True):
    """A lognormal number with its mean, the sigma of its log and a limit."""

    mean: float
    sigma: float
    most: float

    def draw(self, rng: random.Random) -> float:
        """Return a number."""
        location = math.log(self.mean) - self.sigma**2 / 2
        while True:
            drawn = rng.lognormvariate(location, self.sigma)
            if drawn <= self.most:
                return drawn


class PromptKind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of prompts and what was promised for it.

    Attributes
    ----------
    per_s
        Arrivals a second, on a mean day.
    passes
        Passes that write its answer.
    objective_ms, pause_ms
        Promised time to the first event and between two events.
    worth, late_worth
        What an answer of mean size is worth to its operator.
    importance
        Factor of the weight in plans, from the priority of the route.
    """

    name: str
    per_s: float
    prompt: Spread
    passes: Spread
    objective_ms: float
    pause_ms: float
    worth: float
    late_worth: float
    importance: float = 1


class ReplayRequest(msgspec.Struct, eq=False, kw_only=True):
    """One request of a load."""

    request_id: RequestId
    kind: PromptKind
    at: float
    prompt_tokens: int
    passes: int
    answer_tokens: int
    entry: int

    @property
    def size_factor(self) -> float:
        """Return its worth against one of mean size."""
        part = self.prompt_tokens / self.kind.prompt.mean
        return min(_MOST_WORTH, _FIXED_WORTH + _SIZED_WORTH * part)


class Swing(msgspec.Struct, frozen=True):
    """Factors on the rates of the kinds, from a second on."""

    since: float
    factors: tuple[float, float, float]


class SetPrompt(msgspec.Struct, frozen=True):
    """A prompt of the last kind that comes at a set time, on every seed."""

    at: float
    tokens: int


class ReplayLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A load pattern.

    Attributes
    ----------
    set_prompts
        Prompts that come beside those that are drawn.
    slow_engines, slowdown
        Number of engines that are slower than published, and the factor.
    scale
        Factor on all rates.
    engines, entries, zones
        Size of the fleet. Entries and engines are dealt out to the zones in
        turn; each zone is a cell.
    costs
        Cost figures of its engines; the common ones if there are none.
    kinds
        Its kinds of prompts; the common ones if there are none.
    """

    name: str
    scale: float
    swings: tuple[Swing, ...]
    engines: int = 18
    entries: int = 5
    zones: int = 1
    seconds: float = 34
    costs: EngineCosts | None = None
    kinds: tuple[PromptKind, ...] = ()
    set_prompts: tuple[SetPrompt, ...] = ()
    slow_engines: int = 0
    slowdown: float = 1

    @property
    def engine_costs(self) -> EngineCosts:
        """Return the cost figures of its engines."""
        return self.costs or COSTS

    @property
    def prompt_kinds(self) -> tuple[PromptKind, ...]:
        """Return its kinds of prompts."""
        return self.kinds or KINDS

    def zone(self, number: int) -> ZoneId:
        """Return the zone of an entry or engine."""
        zone = number % self.zones
        return ZoneId(f'zone-{zone}')

    def requests(self, seed: int) -> list[ReplayRequest]:
        """Return the requests of a run, by time."""
        rng = random.Random(f'{self.name} {seed}')
        found: list[ReplayRequest] = []
        for number, kind in enumerate(self.prompt_kinds):
            found.extend(self._of_kind(rng, number, kind))
        for one in self.set_prompts:
            drawn = self._request(rng, self.prompt_kinds[-1], one.at)
            found.append(
                msgspec.structs.replace(drawn, prompt_tokens=one.tokens),
            )
        return sorted(found, key=_arrival)

    def _of_kind(
        self,
        rng: random.Random,
        number: int,
        kind: PromptKind,
    ) -> list[ReplayRequest]:
        found: list[ReplayRequest] = []
        rate = kind.per_s * self.scale * _MOST
        at = rng.expovariate(rate)
        while at < self.seconds:
            factor = self._factors(at)[number]
            if rng.random() < factor / _MOST:
                found.append(self._request(rng, kind, at))
            at += rng.expovariate(rate)
        return found

    def _factors(self, at: float) -> tuple[float, float, float]:
        begun = [one.factors for one in self.swings if one.since <= at]
        return begun[-1]

    def _request(
        self,
        rng: random.Random,
        kind: PromptKind,
        at: float,
    ) -> ReplayRequest:
        tokens = max(_FEWEST_TOKENS, int(kind.prompt.draw(rng)))
        drawn = rng.getrandbits(_ID_BITS)
        passes = max(1, int(kind.passes.draw(rng)))
        return ReplayRequest(
            request_id=RequestId(format(drawn, '016x')),
            kind=kind,
            at=at,
            prompt_tokens=tokens,
            passes=passes,
            answer_tokens=passes * self.engine_costs.pass_steps,
            entry=rng.randrange(self.entries),
        )


class ReplaySetup(msgspec.Struct, frozen=True):
    """Contents of `loads.json`: engines, kinds of prompts and loads."""

    costs: EngineCosts
    kinds: tuple[PromptKind, ...]
    loads: tuple[ReplayLoad, ...]


def _arrival(request: ReplayRequest) -> float:
    return request.at


_SETUP = msgspec.json.decode(
    resources.files(__package__).joinpath('loads.json').read_bytes(),
    type=ReplaySetup,
)
COSTS = _SETUP.costs
KINDS = _SETUP.kinds
LOADS: Mapping[str, ReplayLoad] = MappingProxyType(
    {load.name: load for load in _SETUP.loads}
)
