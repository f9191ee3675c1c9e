"""Builders of candidates and requests, and a small queueing model.

In the model, engines compute one prompt at a time and keep the most recently
used blocks, and entries receive outdated reports of each engine. The model has
no batches and no decoding; its purpose is to compare placements.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence

import msgspec

from sycamore_core.decisions.costs import new_tokens
from sycamore_core.decisions.placement import PrefixPlacement
from sycamore_core.decisions.placement_base import (
    Placement,
    PlacementDecision,
    PlacementReason,
)
from sycamore_core.decisions.pool import Candidate, CandidatePool
from sycamore_core.decisions.requests import RequestView
from sycamore_core.decisions.views import EndpointView
from sycamore_core.ids import EndpointId
from sycamore_core.settings import FleetSettings
from sycamore_core.states import PromptBand

BLOCK_TOKENS = 256
RATE = 10_000.0


def build_settings(**changes: object) -> FleetSettings:
    fields = {'version': 1, 'name': 'test', 'zones': {'z1': 'r', 'z2': 'r'}}
    return FleetSettings(**(fields | changes))


def build_request(**changes: object) -> RequestView:
    fields = {
        'request_id': 'r1',
        'workspace': 'w',
        'service': 's',
        'band': PromptBand.SHORT,
        'prompt_tokens': 1000,
        'max_output_tokens': 100,
        'arrival': 0,
        'deadline': 1000,
    }
    return RequestView(**(fields | changes))


def build_view(number: int = 0, **changes: object) -> EndpointView:
    fields = {
        'endpoint': EndpointId(str(number).zfill(3)),
        'service': 's',
        'zone': ('z1', 'z2')[number % 2],
        'capacity_tokens': 400_000,
        'free_tokens': 400_000,
        'service_rate': RATE,
    }
    return EndpointView(**(fields | changes))


def build_pool(size: int, **changes: object) -> CandidatePool:
    views = (build_view(number, **changes) for number in range(size))
    return CandidatePool(Candidate(view=view) for view in views)


def build_prompt(request_id: str, blocks: Sequence[int]) -> RequestView:
    """Return a request whose prompt consists of `blocks`."""
    return build_request(
        request_id=request_id,
        prompt_tokens=len(blocks) * BLOCK_TOKENS,
        prefix_blocks=tuple(blocks),
    )


class Arrival(msgspec.Struct):
    at: float
    request: RequestView


class EngineModel:
    """Engine that computes prompts in order of arrival, at a fixed rate."""

    def __init__(self, view: EndpointView, cache_blocks: int) -> None:
        self.view = view
        self.rate = view.service_rate
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.cache_blocks = cache_blocks
        self.busy_until = float(0)
        self.computed_tokens = 0
        self.history: list[tuple[float, float]] = [(0, 0)]
        self.runs: list[tuple[float, float]] = []

    def run(self, request: RequestView, now: float) -> float:
        """Return the time of the first token."""
        cached = 0
        for block in request.prefix_blocks:
            if block not in self.cache:
                break
            cached += 1
        for block in request.prefix_blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.cache_blocks:
            self.cache.popitem(last=False)
        tokens = max(1, request.prompt_tokens - cached * BLOCK_TOKENS)
        self.computed_tokens += tokens
        self.busy_until = max(now, self.busy_until) + tokens / self.rate
        self.history.append((now, self.busy_until))
        self.runs.append((now, self.busy_until))
        return self.busy_until

    def report(self, now: float, lag: float) -> EndpointView:
        """Return a report of the load as it was `lag` seconds ago."""
        seen = now - lag
        while len(self.history) > 1 and self.history[1][0] <= seen:
            self.history.pop(0)
        backlog = max(0, self.history[0][1] - seen) * self.rate
        running = [
            period for period in self.runs if period[0] <= seen < period[1]
        ]
        self.runs = [period for period in self.runs if seen < period[1]]
        return msgspec.structs.replace(
            self.view,
            backlog_tokens=int(backlog),
            running=len(running),
            reported_at=now,
        )


class PlacementModel:
    """Engines behind several entries that do not know each other's requests.

    Each entry receives the reports of all engines every `interval` seconds.
    The reports are `lag` seconds old.
    """

    def __init__(
        self,
        engines: Sequence[EngineModel],
        placements: Sequence[Placement],
        interval: float = 1,
        lag: float = 0,
    ) -> None:
        self.engines = {engine.view.endpoint: engine for engine in engines}
        self.entries = [
            (placement, CandidatePool()) for placement in placements
        ]
        self.interval = interval
        self.lag = lag
        self.next_report = float(0)

    def run(
        self,
        arrivals: Iterable[Arrival],
        draw: Callable[[], float],
    ) -> list[float]:
        """Return the time to first token of each arrival, in seconds."""
        return [self._run_one(arrival, draw) for arrival in arrivals]

    def computed_tokens(self) -> int:
        return sum(engine.computed_tokens for engine in self.engines.values())

    def _run_one(
        self,
        arrival: Arrival,
        draw: Callable[[], float],
    ) -> float:
        while self.next_report <= arrival.at:
            self._report_all(self.next_report)
            self.next_report += self.interval
        placement, pool = self.entries[int(draw() * len(self.entries))]
        decision = placement.place(arrival.request, pool, arrival.at, draw)
        pool.record_send(
            decision.endpoint, arrival.request, decision.new_tokens
        )
        done = self.engines[decision.endpoint].run(arrival.request, arrival.at)
        return done - arrival.at

    def _report_all(self, now: float) -> None:
        for engine in self.engines.values():
            view = engine.report(now, self.lag)
            for _, pool in self.entries:
                pool.apply_report(view)


def build_engines(size: int, cache_blocks: int = 4000) -> list[EngineModel]:
    return [
        EngineModel(build_view(number), cache_blocks) for number in range(size)
    ]


def build_conversations(
    seed: int,
    load: float,
    engines: int,
    seconds: float = 120,
) -> list[Arrival]:
    """Return conversations in which each prompt extends the previous one.

    The load counts the tokens that are new in each prompt, as a share of the
    capacity of the engines.
    """
    source = random.Random(seed)
    fresh_tokens = 12 * BLOCK_TOKENS
    rate = load * engines * RATE / fresh_tokens
    arrivals = []
    at = float(0)
    open_conversations: list[list[int]] = []
    while at < seconds:
        at += source.expovariate(rate)
        if not open_conversations or source.choices((True, False), (1, 4))[0]:
            open_conversations.append([])
        blocks = source.choice(open_conversations)
        blocks.extend(source.getrandbits(60) for _ in range(12))
        arrivals.append(
            Arrival(at, build_prompt(str(len(arrivals)), blocks)),
        )
        if len(blocks) > 200 or source.randrange(10) == 0:
            open_conversations.remove(blocks)
    return arrivals


def build_shared_prompts(
    seed: int,
    load: float,
    engines: int,
    hot_share: float,
    seconds: float = 60,
) -> list[Arrival]:
    """Return prompts of 40 blocks, a `hot_share` of them with 36 in common.

    The load counts the blocks that differ.
    """
    source = random.Random(seed)
    shared = [source.getrandbits(60) for _ in range(36)]
    blocks_each = 40 - 36 * hot_share
    rate = load * engines * RATE / (blocks_each * BLOCK_TOKENS)
    arrivals = []
    at = float(0)
    while at < seconds:
        at += source.expovariate(rate)
        blocks = [source.getrandbits(60) for _ in range(40)]
        if hot_share > source.random():
            blocks = shared + blocks[36:]
        arrivals.append(
            Arrival(at, build_prompt(str(len(arrivals)), blocks)),
        )
    return arrivals


def build_unequal_prompts(
    seed: int,
    load: float,
    engines: int,
    seconds: float = 60,
) -> list[Arrival]:
    """Return prompts without common blocks; one in ten is 20 times longer."""
    source = random.Random(seed)
    rate = load * engines * RATE / (2900)
    arrivals = []
    at = float(0)
    while at < seconds:
        at += source.expovariate(rate)
        tokens = 20_000 if source.randrange(10) == 0 else 1000
        request = build_request(
            request_id=str(len(arrivals)),
            prompt_tokens=tokens,
        )
        arrivals.append(Arrival(at, request))
    return arrivals


class LeastLoadedPlacement(Placement):
    """Placement on the endpoint with the least reported backlog."""

    def place(self, request, candidates, now, draw):
        chosen = min(
            candidates, key=lambda candidate: candidate.view.backlog_tokens
        )
        return PlacementDecision(
            endpoint=chosen.view.endpoint,
            reason=PlacementReason.LEAST_LOADED,
            new_tokens=request.prompt_tokens,
        )


class InFlightSpill(PrefixPlacement):
    """Placement on the longest match, limited by the requests in flight.

    The rule has been published. The endpoint with the longest match is chosen
    unless it has at least 8 more requests in flight than the endpoint with the
    fewest. Otherwise the endpoint with the fewest is chosen.
    """

    def place(self, request, candidates, now, draw):
        pool = CandidatePool.from_candidates(candidates)
        least = min(pool, key=_in_flight)
        chosen, blocks = least, 0
        matches = self.index.matches(request.prefix_blocks, now)
        for name, deepest in list(matches.blocks.items())[:1]:
            holder = pool.find(name)
            if _in_flight(holder) < _in_flight(least) + 8:
                chosen, blocks = holder, deepest
        endpoint = chosen.view.endpoint
        self.index.record(request.prefix_blocks, endpoint, now)
        return PlacementDecision(
            endpoint=endpoint,
            reason=PlacementReason.PREFIX,
            new_tokens=new_tokens(request, blocks),
        )


def _in_flight(candidate: Candidate) -> int:
    return candidate.view.running + candidate.sent_requests


def percentile(figures: Sequence[float], share: float) -> float:
    ranked = sorted(figures)
    return ranked[min(len(ranked) - 1, int(len(ranked) * share))]
