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

from collections.abc import Sequence

import msgspec

from ...ids import EndpointId
from ...routing import EngineCosts, EngineLoad, Unread
from .pressure import Pressure

#: Engines that may help the one that writes: what engines accept at most.
MOST_HELPERS = 16
#: A prompt that is read within this is not split: every part costs a message
#: to one more engine, and a part of less than one pass gains nothing.
LEAST_SPLIT_MS = 90.0
#: Streams that are gathered on one engine before the next is taken into use.
#: With five, a pass takes a tenth longer than with one; from eight on an
#: engine's slots are full.
GATHERED_WRITERS = 5
#: Cost of each stream that an engine lacks to, or has beyond,
#: `GATHERED_WRITERS`: little against a hundredth of a broken promise, so that
#: it decides between engines that are otherwise alike.
_GATHERING_COST = 0.006
#: Cost of each engine that takes part, in broken promises: it breaks ties
#: towards fewer engines, which leaves more of them undisturbed.
_PART_COST = 0.015
#: Part of a promised time that may be used up without harm; estimates are
#: off by a pass or two.
_SAFE_PART = 0.5
#: Harm below which a short prompt is read alone, in broken promises. Above
#: it, parts are weighed as well: these are read ahead of long prompts that
#: would hold the turn up.
_GOOD_ENOUGH = 0.15
#: Backlog that counts as one broken promise, in ms: it only orders engines
#: that are otherwise alike.
_BUSY_MS = 20_000.0
#: Time that the network and the entry add to the first event, in ms.
OVERHEAD_MS = 15.0
#: Prompt tokens that weigh as much as one short turn. The operator's own
#: weights run from 1.3 for 5,000 tokens to 21 for 154,000.
_TOKENS_OF_A_TURN = 7500.0
#: Weight of the shortest prompt in such turns.
_LEAST_WEIGHT = 0.5
#: Extra of the ones that are late by much against those that just miss.
_LATE_SLOPE = 0.2
#: Part of the memory that plans leave free, as answers vary in length.
_MEMORY_RESERVE = 0.05
#: A part that takes longer makes the turns that come meanwhile late, in ms.
_LONG_PART_MS = 150.0
#: Part of an engine's slots that turns can use without being late for their
#: number alone.
_USABLE_SLOTS = 0.8
_MS = 1000.0
_NO_PRESSURE = Pressure()
#: Mean part of a pass that is still to run when a request comes.
_HALF = 0.5


class ReadRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to a model service, as far as its placement goes.

    Attributes
    ----------
    answer_tokens
        Most tokens that the answer may have.
    objective_ms
        Time to the first event that is left of what was promised.
    pause_ms
        Longest promised pause between events; 0 if nothing was promised.
    """

    prompt_tokens: int
    answer_tokens: int
    objective_ms: float
    pause_ms: float = 0

    @property
    def weight(self) -> float:
        """Return how many short turns its objective counts for."""
        return _LEAST_WEIGHT + self.prompt_tokens / _TOKENS_OF_A_TURN


class Candidate(msgspec.Struct, frozen=True):
    """An engine that may take part.

    Attributes
    ----------
    penalty
        Added to its cost: for an engine that failed lately, or to have two
        entries choose differently among engines that are alike.
    """

    endpoint: EndpointId
    load: EngineLoad
    penalty: float = 0


class ReadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Where a prompt is read.

    Attributes
    ----------
    home
        Engine that gets the request and writes the answer.
    helpers
        Engines that read parts of the prompt for it.
    part_ms
        Time that each of them needs for its part.
    expected_ms
        Time to the first event.
    stored
        Tokens of the prompt that helpers have to store, by endpoint, where
        the home engine's memory does not hold it.
    cost
        Expected harm, in broken promises of short turns.
    """

    home: EndpointId
    helpers: tuple[EndpointId, ...] = ()
    part_ms: float = 0
    expected_ms: float = 0
    stored: tuple[tuple[EndpointId, int], ...] = ()
    cost: float = 0

    @property
    def members(self) -> tuple[EndpointId, ...]:
        """Return all engines that take part, the home one first."""
        return (self.home, *self.helpers)


def lateness(part: float) -> float:
    """Return the expected loss when `part` of a promised time is used up.

    Examples
    --------
    >>> lateness(0.4), lateness(0.75)
    (0, 0.25)
    """
    if part <= _SAFE_PART:
        return 0
    if part >= 1:
        return 1 + min(1, part - 1) * _LATE_SLOPE
    over = (part - _SAFE_PART) / (1 - _SAFE_PART)
    return over * over


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
    planner = _Planner(request, candidates, costs, pressure)
    homes = [one for one in candidates if one.load.requests < costs.slots]
    if not homes:
        return None
    read_ms = costs.read_ms(request.prompt_tokens)
    if is_turn(costs, request.prompt_tokens):
        plan = planner.alone(homes, read_ms)
        if plan is not None and plan.cost < _GOOD_ENOUGH:
            return plan
    return planner.best_split(homes, candidates, read_ms)


class _Planner:
    """Weighs plans for one request."""

    def __init__(
        self,
        request: ReadRequest,
        candidates: Sequence[Candidate],
        costs: EngineCosts,
        pressure: Pressure,
    ) -> None:
        self.request = request
        self.candidates = candidates
        self.costs = costs
        self.pressure = pressure
        needed = request.prompt_tokens + request.answer_tokens
        self.needed_tokens = needed
        # Whole tokens: a fraction of one that fits nowhere would make every
        # plan for a prompt beyond one engine impossible.
        self.room = int(costs.memory_tokens * (1 - _MEMORY_RESERVE))

    def alone(
        self,
        homes: Sequence[Candidate],
        read_ms: float,
    ) -> ReadPlan | None:
        """Return the best engine to read and write alone."""
        roomy = [one for one in homes if self._free(one) >= self.needed_tokens]
        plans = [self._plan_alone(home, read_ms) for home in roomy]
        return min(plans, key=_cost_of, default=None)

    def best_split(
        self,
        homes: Sequence[Candidate],
        candidates: Sequence[Candidate],
        read_ms: float,
    ) -> ReadPlan | None:
        """Return the best of all numbers of parts."""
        most = min(MOST_HELPERS + 1, len(candidates))
        plans = [
            self._split(homes, candidates, read_ms / parts, parts)
            for parts in range(2, most + 1)
        ]
        plans.append(self.alone(homes, read_ms))
        found = [plan for plan in plans if plan is not None]
        return min(found, key=_cost_of, default=None)

    def _split(
        self,
        homes: Sequence[Candidate],
        candidates: Sequence[Candidate],
        part_ms: float,
        parts: int,
    ) -> ReadPlan | None:
        ranked = sorted(
            candidates,
            key=lambda one: self._part_cost(one, part_ms),
        )
        able = [one for one in ranked[:parts] if one in homes]
        home = max(able or homes, key=self._free)
        helpers = [one for one in ranked if one is not home][: parts - 1]
        stored = self._stored(home, helpers)
        if stored is None:
            return None
        plan = self._plan_split(home, helpers, part_ms)
        return msgspec.structs.replace(plan, stored=stored)

    def _plan_alone(self, home: Candidate, read_ms: float) -> ReadPlan:
        """Return the plan to read a prompt behind what an engine has."""
        waited = home.load.backlog_ms + self._rest_of_pass_ms(home)
        expected = waited + read_ms + self._pass_ms(home) + OVERHEAD_MS
        cost = self._lateness(expected) + self._home_cost(home)
        cost += self._pause_cost(home, read_ms) + home.penalty
        cost += self._crowding_cost((home,), read_ms)
        return ReadPlan(
            home=home.endpoint,
            part_ms=read_ms,
            expected_ms=expected,
            cost=cost + home.load.backlog_ms / _BUSY_MS,
        )

    def _plan_split(
        self,
        home: Candidate,
        helpers: Sequence[Candidate],
        part_ms: float,
    ) -> ReadPlan:
        """Return the plan to read a prompt in parts, ahead of others."""
        members = (home, *helpers)
        waited = max(self._rest_of_pass_ms(one) for one in members)
        expected = waited + part_ms + self._pass_ms(home) + OVERHEAD_MS
        cost = self._lateness(expected) + self._home_cost(home)
        cost += sum(self._own_cost(one, part_ms) for one in members)
        cost += _PART_COST * len(helpers) + self._delay_cost(members, part_ms)
        cost += self._crowding_cost(members, part_ms)
        return ReadPlan(
            home=home.endpoint,
            helpers=tuple(one.endpoint for one in helpers),
            part_ms=part_ms,
            expected_ms=expected,
            cost=cost,
        )

    def _lateness(self, expected_ms: float) -> float:
        objective = max(1, self.request.objective_ms)
        return self.request.weight * lateness(expected_ms / objective)

    def _part_cost(self, one: Candidate, part_ms: float) -> float:
        """Return the harm of a part at one engine, to choose engines by."""
        delayed = self._delay_cost((one,), part_ms)
        return self._own_cost(one, part_ms) + delayed

    def _own_cost(self, one: Candidate, part_ms: float) -> float:
        busy = one.load.backlog_ms / _BUSY_MS
        return one.penalty + self._pause_cost(one, part_ms) + busy

    def _pause_cost(self, one: Candidate, part_ms: float) -> float:
        """Return the harm to streams that pause while a part is read."""
        load = one.load
        if not load.writers:
            return 0
        pause = self._pass_ms(one) + load.backlog_ms + part_ms
        return load.writers * lateness(pause / load.pause_ms)

    def _delay_cost(
        self,
        members: Sequence[Candidate],
        part_ms: float,
    ) -> float:
        """Return the harm to prompts that are read later.

        A prompt that is read at several of the engines is delayed once.
        """
        worst: dict[str, float] = {}
        for one in members:
            for unread in one.load.unread:
                harm = _harm_of_delay(unread, part_ms)
                worst[unread.key] = max(harm, worst.get(unread.key, 0))
        return sum(worst.values())

    def _crowding_cost(
        self,
        members: Sequence[Candidate],
        part_ms: float,
    ) -> float:
        """Return the harm to turns that come while a part is read.

        They are left the engines that do not take part and do not read for
        long already.
        """
        if part_ms < _LONG_PART_MS:
            return 0
        taken = {one.endpoint for one in members}
        slots = self.costs.slots
        free: float = 0
        busy: float = 0
        for one in self.candidates:
            load = one.load
            if one.endpoint in taken or load.backlog_ms > _LONG_PART_MS:
                continue
            busy += load.requests
            free += max(0, slots * _USABLE_SLOTS - load.requests)
        seconds = part_ms / _MS
        return self.pressure.overflow(seconds, free, busy)

    def _home_cost(self, home: Candidate) -> float:
        off = abs(GATHERED_WRITERS - home.load.requests)
        cost = off * _GATHERING_COST
        if self.request.pause_ms:
            pause = (self._pass_ms(home) + home.load.backlog_ms) * _HALF
            cost += lateness(pause / self.request.pause_ms)
        return cost

    def _rest_of_pass_ms(self, one: Candidate) -> float:
        return self._pass_ms(one) * _HALF if one.load.requests else 0

    def _pass_ms(self, one: Candidate) -> float:
        context = one.load.context_tokens + self.request.prompt_tokens
        return self.costs.pass_ms(one.load.writers + 1, context)

    def _free(self, one: Candidate) -> int:
        return self.room - one.load.memory_tokens

    def _stored(
        self,
        home: Candidate,
        helpers: Sequence[Candidate],
    ) -> tuple[tuple[EndpointId, int], ...] | None:
        """Return what the helpers store; None if it does not fit at all."""
        missing = self.needed_tokens - self._free(home)
        stored: list[tuple[EndpointId, int]] = []
        for helper in sorted(helpers, key=self._free, reverse=True):
            if missing <= 0:
                break
            tokens = min(missing, self._free(helper))
            if tokens > 0:
                stored.append((helper.endpoint, tokens))
                missing -= tokens
        return None if missing > 0 else tuple(stored)


def _harm_of_delay(unread: Unread, part_ms: float) -> float:
    slack = max(1, unread.slack_ms)
    before = lateness(unread.done_ms / slack)
    after = lateness((unread.done_ms + part_ms) / slack)
    return unread.weight * (after - before)


def _cost_of(plan: ReadPlan) -> float:
    return plan.cost
