"""Which engines read a prompt, and which of them writes the answer.

Load pattern: short turns, each a few tens of milliseconds of reading, come
many times as often as prompts whose reading takes seconds. An engine reads
between the tokens of other requests, so that a long read stretches the pauses
of all streams beside it; a turn that comes behind one waits for it. Parts of
a split prompt are read ahead of everything that an engine has, so that a new
one delays all prompts that were begun there.

Without it: by least requests alone, one engine reads a whole prompt of
154,000 tokens in 3 s, which is past its own objective, and each short answer
beside it pauses for 3 s. Prompts beyond an engine's memory are never served.

What it does: a prompt is read in even parts by as many engines as leave the
least harm, which is counted in streams that would break their promise. Parts
of 100 ms harm nobody; a part of 500 ms goes to engines that write nothing.
Short answers are gathered on some of the engines, up to `GATHERED_WRITERS`,
so that others stay free for long parts. Turns that are about to come count
as well, see `Pressure`.
"""

import heapq
from collections.abc import Sequence

from ...ids import EndpointId
from ...routing import EngineCosts
from .engine_harm import (
    LONG_PART_MS,
    SAFE_FIRST_EVENT,
    Candidate,
    EngineHarm,
    lateness,
)
from .plan import ReadPlan, ReadRequest
from .pressure import Pressure

#: Engines that may help the one that writes: what engines accept at most.
MOST_HELPERS = 16
#: A prompt that is read within this is not split: every part costs a message
#: to one more engine, and a part of less than one pass gains nothing.
LEAST_SPLIT_MS = 90.0
#: Cost of each engine that takes part, in broken promises: it breaks ties
#: towards fewer engines. If it were more, engines would idle beside a prompt
#: that they could have read sooner.
_PART_COST = 0.004
#: Harm up to which a short turn is read alone, in broken promises. Above it,
#: one engine may help: halves are read ahead of long prompts that would hold
#: the turn up.
_GOOD_ENOUGH = 0.15
#: Time that the network and the entry add to the first event, in ms.
OVERHEAD_MS = 15.0
#: Cost of a first event at the end of its objective against one at once, as a
#: part of what its lateness costs. What is read sooner is held up by fewer
#: others.
_HURRY = 0.03
#: Worth of an answer whose first event is late against one in time. Operators
#: give a quarter to a third of the worth for late answers.
LATE_PART = 0.25
#: Part of the caller's time that may pass before a late first event without
#: harm: the rest of the answer has to fit into it as well.
_SAFE_LIMIT = 0.4
_MS = 1000.0
_NO_PRESSURE = Pressure()


def is_turn(costs: EngineCosts, prompt_tokens: int) -> bool:
    """Return whether a prompt is a short turn, which is read alone."""
    return costs.read_ms(prompt_tokens) <= LEAST_SPLIT_MS


def plan_read(
    request: ReadRequest,
    candidates: Sequence[Candidate],
    costs: EngineCosts,
    pressure: Pressure = _NO_PRESSURE,
) -> ReadPlan | None:
    """Return the plan with the least harm; None if no engine has a slot.

    Parameters
    ----------
    pressure
        Turns that are to be expected while the prompt is read.
    """
    engines = [
        EngineHarm(candidate, costs, request.prompt_tokens)
        for candidate in candidates
    ]
    is_short = is_turn(costs, request.prompt_tokens)
    planner = _Planner(request, engines, pressure, is_turn=is_short)
    if not planner.homes:
        return None
    read_ms = costs.read_ms(request.prompt_tokens)
    alone = planner.alone(read_ms)
    if is_short:
        return planner.turn(read_ms, alone)
    return planner.best(read_ms, alone)


class _Planner:
    """Weighs plans for one request."""

    def __init__(
        self,
        request: ReadRequest,
        engines: Sequence[EngineHarm],
        pressure: Pressure,
        *,
        is_turn: bool,
    ) -> None:
        self.request = request
        self.is_turn = is_turn
        self.engines = engines
        self.pressure = pressure
        self.homes = [one for one in engines if one.has_slot]
        self.needed_tokens = request.prompt_tokens + request.answer_tokens
        serving = [one for one in engines if one.serves_turns]
        self.free_slots = sum(one.free_slots for one in serving)
        self.busy_slots = sum(one.load.requests for one in serving)

    def alone(self, read_ms: float) -> ReadPlan | None:
        """Return the plan with the best engine to read and write alone."""
        needed = self.needed_tokens
        roomy = [one for one in self.homes if one.free_tokens >= needed]
        if not roomy:
            return None
        costs = [self._cost_alone(home, read_ms) for home in roomy]
        ties = [home.turn_tie if self.is_turn else 0 for home in roomy]
        ranks = list(map(sum, zip(costs, ties, strict=True)))
        chosen = ranks.index(min(ranks))
        home = roomy[chosen]
        cost = costs[chosen]
        expected = _expected((home,), read_ms)
        return ReadPlan(
            home=home.endpoint,
            part_ms=read_ms,
            expected_ms=expected,
            cost=cost,
            harm=cost - self._lateness(expected),
        )

    def best(self, read_ms: float, alone: ReadPlan | None) -> ReadPlan | None:
        """Return the best plan of all numbers of parts.

        Parameters
        ----------
        alone
            The plan of one part, if there is one.
        """
        most = min(MOST_HELPERS + 1, len(self.engines))
        plans = [
            self._split(read_ms / parts, parts) for parts in range(2, most + 1)
        ]
        plans.append(alone)
        found = [plan for plan in plans if plan is not None]
        return min(found, key=_cost_of, default=None)

    def turn(self, read_ms: float, alone: ReadPlan | None) -> ReadPlan | None:
        """Return the plan for a short turn, with one helper at most."""
        if alone is None or alone.cost < _GOOD_ENOUGH:
            return alone
        halves = self._split(read_ms / 2, 2)
        if halves is None:
            return alone
        return min(alone, halves, key=_cost_of)

    def _cost_alone(self, home: EngineHarm, read_ms: float) -> float:
        """Return the harm of a prompt that waits behind what there is."""
        cost = self._lateness(_expected((home,), read_ms))
        cost += home.as_home(self.request.pause_ms) + home.of_last(read_ms)
        return cost + self._crowding((home,), read_ms)

    def _split(self, part_ms: float, parts: int) -> ReadPlan | None:
        """Return the plan for a number of parts, which go ahead of others."""
        # One more than needed, in case that the home is none of them.
        ranked = heapq.nsmallest(
            parts + 1,
            self.engines,
            key=lambda one: one.of_part(part_ms),
        )
        able = [one for one in ranked[:parts] if one.has_slot]
        home = max(able or self.homes, key=_free_tokens)
        helpers = [one for one in ranked if one is not home][: parts - 1]
        stored = self._stored(home, helpers)
        if stored is None:
            return None
        members = (home, *helpers)
        expected = _expected(members, part_ms)
        harm = self._harm_of_split(members, part_ms)
        return ReadPlan(
            home=home.endpoint,
            helpers=tuple(one.endpoint for one in helpers),
            part_ms=part_ms,
            expected_ms=expected,
            stored=stored,
            cost=self._lateness(expected) + harm,
            harm=harm,
        )

    def _harm_of_split(
        self,
        members: Sequence[EngineHarm],
        part_ms: float,
    ) -> float:
        cost = members[0].as_home(self.request.pause_ms)
        cost += sum(one.of_pauses(part_ms) for one in members)
        cost += _delay(members, part_ms) + self._crowding(members, part_ms)
        return cost + _PART_COST * (len(members) - 1)

    def _lateness(self, expected_ms: float) -> float:
        objective = max(1, self.request.objective_ms)
        part = expected_ms / objective
        late = lateness(part, SAFE_FIRST_EVENT) + _HURRY * min(1, part)
        # What goes wrong otherwise: a prompt is read anew once its objective
        # has passed. It seems that nothing can be lost any more, three engines
        # read it in nine seconds, and its caller leaves meanwhile.
        lost = lateness(expected_ms / self.request.limit_ms, _SAFE_LIMIT)
        return self.request.weight * (late + LATE_PART * lost)

    def _crowding(
        self,
        members: Sequence[EngineHarm],
        part_ms: float,
    ) -> float:
        """Return the harm to turns that come while a part is read.

        They are left the engines that do not take part and do not read for
        long already.
        """
        if part_ms < LONG_PART_MS:
            return 0
        taken = [one for one in members if one.serves_turns]
        free = self.free_slots - sum(one.free_slots for one in taken)
        busy = self.busy_slots - sum(one.load.requests for one in taken)
        return self.pressure.overflow(part_ms / _MS, free, busy)

    def _stored(
        self,
        home: EngineHarm,
        helpers: Sequence[EngineHarm],
    ) -> tuple[tuple[EndpointId, int], ...] | None:
        """Return what the helpers store; None if it does not fit at all."""
        missing = self.needed_tokens - home.free_tokens
        stored: list[tuple[EndpointId, int]] = []
        for helper in sorted(helpers, key=_free_tokens, reverse=True):
            tokens = min(missing, helper.free_tokens)
            if tokens > 0:
                stored.append((helper.endpoint, tokens))
                missing -= tokens
        return None if missing > 0 else tuple(stored)


def _expected(members: Sequence[EngineHarm], part_ms: float) -> float:
    """Return the time to the first event, in milliseconds."""
    is_ahead = len(members) > 1
    done = max(one.done_ms(part_ms, is_ahead=is_ahead) for one in members)
    return done + OVERHEAD_MS


def _delay(members: Sequence[EngineHarm], part_ms: float) -> float:
    """Return the harm to prompts that are read later.

    A prompt that is read at several of the engines is delayed once.
    """
    worst: dict[str, float] = {}
    for one in members:
        for key, harm in one.delays(part_ms).items():
            worst[key] = max(harm, worst.get(key, 0))
    return sum(worst.values())


def _free_tokens(engine: EngineHarm) -> int:
    return engine.free_tokens


def _cost_of(plan: ReadPlan) -> float:
    return plan.cost
