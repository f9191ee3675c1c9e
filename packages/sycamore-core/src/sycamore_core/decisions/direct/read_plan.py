"""Which engines read a prompt, and which of them generates the answer.

Load pattern: short requests, each with a few tens of milliseconds of reading,
arrive many times as often as prompts whose reading takes seconds. Reading a
prompt means its prefill. An engine reads between the tokens that it generates
for other requests. A long read therefore lengthens the pauses in all answers
that the engine generates (streams), and a short request that arrives after the
long prompt waits until the prompt has been read. Parts of a split prompt are
read ahead of all other prompts of an engine. A new part therefore delays all
prompts that the engine has not finished reading.

If each request were placed on the engine with the fewest requests, one engine
would read a whole prompt of 154,000 tokens in 3 s. This time exceeds the
objective of the prompt (the time allowed until its first token), and each short
answer on the engine would pause for 3 s. Prompts that exceed the memory of an
engine would never be served.

A prompt is split into equal parts, one for each engine that reads it. The
number of engines is the one with the lowest cost, which is counted in short
requests that miss their objective. Parts of 100 ms delay no stream beyond its
objective; a part of 500 ms goes to engines without streams. Short requests are
packed onto some of the engines, up to `engine_harm.PACKED_STREAMS` on each, so
that the others stay free for long parts. Short requests that are expected to
arrive count as well, see `PredictedDemand`.
"""

import heapq
from collections.abc import Sequence

from ...ids import EndpointId
from ...routing import EngineCosts
from .engine_harm import (
    LONG_PART_MS,
    SAFE_FIRST_EVENT_FRACTION,
    Candidate,
    EngineInterference,
    lateness_cost,
)
from .plan import ReadPlan, ReadRequest
from .pressure import PredictedDemand

#: Maximum number of helpers of a prompt, as engines accept no more.
MAX_HELPERS = 16
#: Reading time up to which a prompt counts as short, in milliseconds. A short
#: prompt has one helper at most: each part costs a message to another engine,
#: and a part that is shorter than a forward pass of the engine saves no time.
MIN_SPLIT_MS = 90.0
#: Cost of each helper, in missed objectives. It breaks ties in favour of fewer
#: engines. With a higher cost, engines would be idle although they could read a
#: part of the prompt, so that it is read sooner.
_HELPER_COST = 0.004
#: Cost up to which one engine reads a short request alone, in missed
#: objectives. Above it, one helper is allowed: the halves are read ahead of
#: long prompts that would delay the short request.
_SHORT_SPLIT_COST = 0.15
#: Time that the network and the entry add until the caller receives the first
#: event of the answer, in milliseconds.
OVERHEAD_MS = 15.0
#: Cost of a first event that uses up its whole objective, as a fraction of the
#: cost of a missed objective. It favours early reading: a prompt that is read
#: sooner is delayed by fewer prompts that arrive later.
_LATENCY_COST = 0.03
#: Value of an answer whose first event is late, as a fraction of the value of
#: a timely one. Operators value late answers at a quarter to a third.
LATE_VALUE_FRACTION = 0.25
#: Fraction of the caller's time limit (`limit_ms`) that can pass before the
#: first event without cost. The rest of the answer has to fit into the time
#: limit as well.
_SAFE_LIMIT_FRACTION = 0.4
_MS = 1000.0
_NO_DEMAND = PredictedDemand()


def is_short_request(costs: EngineCosts, prompt_tokens: int) -> bool:
    """Return whether a prompt is short, so that it has one helper at most."""
    return costs.read_ms(prompt_tokens) <= MIN_SPLIT_MS


def plan_read(
    request: ReadRequest,
    candidates: Sequence[Candidate],
    costs: EngineCosts,
    demand: PredictedDemand = _NO_DEMAND,
) -> ReadPlan | None:
    """Return the plan with the lowest cost.

    None if no engine has a free slot, or if the memory does not suffice.

    Parameters
    ----------
    demand
        Short requests that are expected to arrive while the prompt is read.
    """
    engines = [
        EngineInterference(candidate, costs, request.prompt_tokens)
        for candidate in candidates
    ]
    is_short = is_short_request(costs, request.prompt_tokens)
    planner = _Planner(request, engines, demand, is_short=is_short)
    if not planner.primaries:
        return None
    read_ms = costs.read_ms(request.prompt_tokens)
    alone = planner.plan_alone(read_ms)
    if is_short:
        return planner.plan_short(read_ms, alone)
    return planner.plan_long(read_ms, alone)


class _Planner:
    """Compares the plans for one request.

    Attributes
    ----------
    primaries
        Engines with a free slot, which can generate the answer.
    needed_tokens
        Memory that the prompt and its answer need, in tokens.
    free_slots, busy_slots
        Slots of the engines that serve short requests at present.
    """

    def __init__(
        self,
        request: ReadRequest,
        engines: Sequence[EngineInterference],
        demand: PredictedDemand,
        *,
        is_short: bool,
    ) -> None:
        self.request = request
        self.is_short = is_short
        self.engines = engines
        self.demand = demand
        self.primaries = [engine for engine in engines if engine.has_slot]
        self.needed_tokens = request.prompt_tokens + request.answer_tokens
        serving = [engine for engine in engines if engine.serves_short_requests]
        self.free_slots = sum(engine.free_slots for engine in serving)
        self.busy_slots = sum(engine.load.requests for engine in serving)

    def plan_alone(self, read_ms: float) -> ReadPlan | None:
        """Return the plan in which the best engine reads the whole prompt."""
        needed = self.needed_tokens
        fitting = [
            engine for engine in self.primaries if engine.free_tokens >= needed
        ]
        if not fitting:
            return None
        costs = [self._alone_cost(primary, read_ms) for primary in fitting]
        tie_breaks = [
            primary.short_tie_break if self.is_short else 0
            for primary in fitting
        ]
        totals = list(map(sum, zip(costs, tie_breaks, strict=True)))
        chosen = totals.index(min(totals))
        primary = fitting[chosen]
        cost = costs[chosen]
        expected = _expected_ms((primary,), read_ms)
        return ReadPlan(
            primary=primary.endpoint,
            part_ms=read_ms,
            expected_ms=expected,
            cost=cost,
            interference=cost - self._lateness_cost(expected),
        )

    def plan_long(
        self, read_ms: float, alone: ReadPlan | None
    ) -> ReadPlan | None:
        """Return the best plan over all numbers of parts.

        Parameters
        ----------
        alone
            The plan with one part, if there is one.
        """
        most = min(MAX_HELPERS + 1, len(self.engines))
        plans = [
            self._plan_split(read_ms / parts, parts)
            for parts in range(2, most + 1)
        ]
        plans.append(alone)
        found = [plan for plan in plans if plan is not None]
        return min(found, key=_cost_of, default=None)

    def plan_short(
        self, read_ms: float, alone: ReadPlan | None
    ) -> ReadPlan | None:
        """Return the plan for a short request, with one helper at most."""
        if alone is None or alone.cost < _SHORT_SPLIT_COST:
            return alone
        halves = self._plan_split(read_ms / 2, 2)
        if halves is None:
            return alone
        return min(alone, halves, key=_cost_of)

    def _alone_cost(self, primary: EngineInterference, read_ms: float) -> float:
        """Return the cost of a prompt that one engine reads after its queue."""
        cost = self._lateness_cost(_expected_ms((primary,), read_ms))
        cost += primary.primary_cost(
            self.request.pause_ms
        ) + primary.cost_behind(read_ms)
        return cost + self._overflow_cost((primary,), read_ms)

    def _plan_split(self, part_ms: float, parts: int) -> ReadPlan | None:
        """Return the plan with a number of parts, read ahead of the queues."""
        # The first `parts` engines suffice: the last one is never a helper.
        ranked = heapq.nsmallest(
            parts + 1,
            self.engines,
            key=lambda engine: engine.cost_ahead(part_ms),
        )
        able = [engine for engine in ranked[:parts] if engine.has_slot]
        primary = max(able or self.primaries, key=_free_tokens)
        helpers = [engine for engine in ranked if engine is not primary][
            : parts - 1
        ]
        helper_tokens = self._helper_tokens(primary, helpers)
        if helper_tokens is None:
            return None
        members = (primary, *helpers)
        expected = _expected_ms(members, part_ms)
        interference = self._split_interference(members, part_ms)
        return ReadPlan(
            primary=primary.endpoint,
            helpers=tuple(helper.endpoint for helper in helpers),
            part_ms=part_ms,
            expected_ms=expected,
            helper_tokens=helper_tokens,
            cost=self._lateness_cost(expected) + interference,
            interference=interference,
        )

    def _split_interference(
        self,
        members: Sequence[EngineInterference],
        part_ms: float,
    ) -> float:
        cost = members[0].primary_cost(self.request.pause_ms)
        cost += sum(member.pause_cost(part_ms) for member in members)
        cost += _delay_cost(members, part_ms) + self._overflow_cost(
            members, part_ms
        )
        return cost + _HELPER_COST * (len(members) - 1)

    def _lateness_cost(self, expected_ms: float) -> float:
        objective = max(1, self.request.objective_ms)
        used = expected_ms / objective
        late = lateness_cost(
            used, SAFE_FIRST_EVENT_FRACTION
        ) + _LATENCY_COST * min(1, used)
        # Accounts for callers that disconnect. Without this term, a prompt that
        # is read again after its objective has passed would cost the same
        # however late it is. Three engines would read it in nine seconds, and
        # its caller would disconnect meanwhile.
        lost = lateness_cost(
            expected_ms / self.request.limit_ms, _SAFE_LIMIT_FRACTION
        )
        return self.request.weight * (late + LATE_VALUE_FRACTION * lost)

    def _overflow_cost(
        self,
        members: Sequence[EngineInterference],
        part_ms: float,
    ) -> float:
        """Return the cost for short requests that arrive during a part.

        Engines that take part, or that already have a long read, are not
        available to these requests.
        """
        if part_ms < LONG_PART_MS:
            return 0
        occupied = [
            member for member in members if member.serves_short_requests
        ]
        free = self.free_slots - sum(member.free_slots for member in occupied)
        busy = self.busy_slots - sum(
            member.load.requests for member in occupied
        )
        return self.demand.overflow(part_ms / _MS, free, busy)

    def _helper_tokens(
        self,
        primary: EngineInterference,
        helpers: Sequence[EngineInterference],
    ) -> tuple[tuple[EndpointId, int], ...] | None:
        """Return the tokens that each helper keeps; None if they do not fit."""
        missing = self.needed_tokens - primary.free_tokens
        helper_tokens: list[tuple[EndpointId, int]] = []
        for helper in sorted(helpers, key=_free_tokens, reverse=True):
            tokens = min(missing, helper.free_tokens)
            if tokens > 0:
                helper_tokens.append((helper.endpoint, tokens))
                missing -= tokens
        return None if missing > 0 else tuple(helper_tokens)


def _expected_ms(
    members: Sequence[EngineInterference], part_ms: float
) -> float:
    """Return the expected time to the first event, in milliseconds."""
    is_ahead = len(members) > 1
    done = max(member.done_ms(part_ms, is_ahead=is_ahead) for member in members)
    return done + OVERHEAD_MS


def _delay_cost(members: Sequence[EngineInterference], part_ms: float) -> float:
    """Return the cost for queued prompts that are delayed.

    A prompt that several of the engines read counts once, with its highest
    cost.
    """
    worst: dict[str, float] = {}
    for member in members:
        for key, cost in member.delay_costs(part_ms).items():
            worst[key] = max(cost, worst.get(key, 0))
    return sum(worst.values())


def _free_tokens(engine: EngineInterference) -> int:
    return engine.free_tokens


def _cost_of(plan: ReadPlan) -> float:
    return plan.cost
