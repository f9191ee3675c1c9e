"""Tests of placement by caches, memory, zones and weights.

The differential tests run the same arrivals through `PrefixPlacement` and a
naive placement, with several seeds, in the model of `builders_placement`.
"""

import random

import pytest

from sycamore_core.decisions.placement import (
    PrefixPlacement,
    RoundRobinPlacement,
)
from sycamore_core.decisions.placement_base import PlacementReason
from sycamore_core.decisions.pool import CandidatePool
from sycamore_core.states import EndpointPhase, PromptBand

from .builders_placement import (
    InFlightSpill,
    LeastLoadedPlacement,
    PlacementModel,
    build_conversations,
    build_engines,
    build_pool,
    build_prompt,
    build_request,
    build_settings,
    build_shared_prompts,
    build_unequal_prompts,
    percentile,
)

SEEDS = (1, 2, 3)


def build_placement():
    return PrefixPlacement.from_settings(build_settings(), 'z1')


def run(make, arrivals, seed, entries=4, lag=0.5, engines=20):
    placements = [make() for _ in range(entries)]
    model = PlacementModel(build_engines(engines), placements, lag=lag)
    waits = model.run(arrivals, random.Random(seed).random)
    return waits, model.computed_tokens()


def place(placement, request, pool, now=0, seed=1):
    return placement.place(request, pool, now, random.Random(seed).random)


def test_next_request_goes_to_cached_prefix():
    placement, pool = build_placement(), build_pool(50)
    first = place(placement, build_prompt('1', range(20)), pool)
    second = place(placement, build_prompt('2', range(24)), pool, seed=7)
    assert second.endpoint == first.endpoint
    assert second.reason == PlacementReason.PREFIX
    assert second.new_tokens < build_prompt('2', range(24)).prompt_tokens / 2


def test_two_entries_choose_the_same_home():
    pool = build_pool(50)
    prompt = build_prompt('1', range(20))
    chosen = {
        place(build_placement(), prompt, pool, seed=seed).endpoint
        for seed in SEEDS
    }
    assert len(chosen) == 1


def test_busy_holder_is_avoided():
    placement, pool = build_placement(), build_pool(50)
    prompt = build_prompt('1', range(20))
    holder = place(placement, prompt, pool).endpoint
    pool.find(holder).view.backlog_tokens = 1_000_000
    moved = place(placement, prompt, pool)
    assert moved.endpoint != holder
    assert moved.reason == PlacementReason.SPILL


def test_expired_records_are_ignored():
    placement, pool = build_placement(), build_pool(50)
    prompt = build_prompt('1', range(20))
    place(placement, prompt, pool)
    assert place(placement, prompt, pool, now=299).matched_blocks == 16
    again = place(placement, prompt, pool, now=700)
    assert again.reason == PlacementReason.HOME


def test_reported_cache_is_used():
    placement, pool = build_placement(), build_pool(50)
    view = pool[17].view
    view.cached_blocks = frozenset(range(16))
    placement.record_cached_blocks(view, now=0)
    chosen = place(placement, build_prompt('1', range(20)), pool)
    assert chosen.endpoint == view.endpoint
    assert chosen.matched_blocks == 16


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ({'free_tokens': 100}, PlacementReason.MEMORY_FULL),
        ({'phase': EndpointPhase.DRAINING}, PlacementReason.NO_ENDPOINT),
        ({'phase': EndpointPhase.STARTING}, PlacementReason.NO_ENDPOINT),
    ],
)
def test_request_waits_if_no_endpoint_fits(changes, reason):
    decision = place(
        build_placement(), build_request(), build_pool(9, **changes)
    )
    assert decision.endpoint is None
    assert decision.reason == reason
    assert decision.retry_after > 0


def test_empty_pool():
    decision = place(build_placement(), build_request(), CandidatePool())
    assert decision.reason == PlacementReason.NO_ENDPOINT


def test_own_requests_count_against_memory():
    pool = build_pool(1, free_tokens=2000)
    request = build_request()
    placement = build_placement()
    first = place(placement, request, pool)
    pool.record_send(first.endpoint, request, first.new_tokens)
    assert place(placement, request, pool).endpoint is None


def test_own_zone_is_preferred_at_equal_load():
    pool = build_pool(10)
    zones = [
        pool.find(
            place(build_placement(), build_request(), pool, seed=seed).endpoint,
        ).view.zone
        for seed in range(100)
    ]
    # Two of ten endpoints are drawn, five in each zone. Both are in the other
    # zone in 2 of 9 cases.
    assert zones.count('z1') > 65


def test_low_weight_reduces_share_of_requests():
    pool = build_pool(10)
    pool[0].weight = 0.2
    source = random.Random(5)
    placement = build_placement()
    chosen = [
        placement.place(build_request(), pool, 0, source.random).endpoint
        for _ in range(3000)
    ]
    assert 10 < chosen.count('000') < 120


def test_long_prompts_leave_memory_and_engines():
    """Guards against long prompts that block all short requests.

    Long prompts arrive until none is accepted. Then half of the engines must
    be free of long work, and the others must have memory for short requests.
    """
    placement, pool = build_placement(), build_pool(8)
    placed = 0
    for number in range(40):
        request = build_request(
            request_id=str(number),
            band=PromptBand.HUGE,
            prompt_tokens=120_000,
        )
        decision = place(placement, request, pool, now=number * 2, seed=number)
        if decision.endpoint is None:
            break
        view = pool.find(decision.endpoint).view
        view.free_tokens -= request.lease_tokens
        view.long_tokens += request.lease_tokens
        placed += 1
    assert placed > 1
    assert sum(1 for candidate in pool if candidate.view.long_tokens) <= 4
    assert min(candidate.view.free_tokens for candidate in pool) >= 100_000
    assert decision.reason == PlacementReason.LONG_WORK_FULL


def test_prompt_too_long_for_one_engine_gets_a_group():
    request = build_request(band=PromptBand.HUGE, prompt_tokens=1_000_000)
    decision = place(build_placement(), request, build_pool(12))
    assert decision.reason == PlacementReason.GROUP
    assert len(decision.members) >= 3
    assert decision.endpoint > max(decision.members)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('entries', [1, 4, 8])
def test_conversations_against_round_robin(seed, entries):
    arrivals = build_conversations(seed, load=0.3, engines=20)
    waits, computed = run(build_placement, arrivals, seed, entries)
    naive, naive_computed = run(RoundRobinPlacement, arrivals, seed, entries)
    assert percentile(waits, 0.5) < percentile(naive, 0.5) / 4
    assert percentile(waits, 0.95) < percentile(naive, 0.95) / 4
    assert computed < naive_computed / 2


@pytest.mark.parametrize('seed', SEEDS)
def test_conversations_against_spill_by_requests_in_flight(seed):
    """Guards against spills that compute a prompt once per entry.

    Entries do not see each other's requests, so each entry counts few requests
    in flight at every endpoint.
    """
    arrivals = build_conversations(seed, load=0.4, engines=20)
    waits, computed = run(build_placement, arrivals, seed)
    published, published_computed = run(
        lambda: InFlightSpill.from_settings(build_settings(), 'z1'),
        arrivals,
        seed,
    )
    assert percentile(waits, 0.95) < percentile(published, 0.95) / 2
    assert computed < published_computed * 0.7


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('entries', [1, 4])
def test_hot_prefix_against_round_robin(seed, entries):
    """Guards against a hot prefix that stays on a single endpoint.

    Nine prompts in ten share one long prefix, which must spread to other
    endpoints once waiting takes longer than computing it.
    """
    arrivals = build_shared_prompts(seed, 0.8, 20, hot_share=0.9)
    waits, _ = run(build_placement, arrivals, seed, entries)
    naive, _ = run(RoundRobinPlacement, arrivals, seed, entries)
    assert percentile(waits, 0.5) < percentile(naive, 0.5)
    assert percentile(waits, 0.95) < percentile(naive, 0.95)


@pytest.mark.parametrize('seed', SEEDS)
def test_herding_after_a_report(seed):
    """Guards against herding of entries that receive the same report.

    If eight entries choose the same least loaded endpoint, all requests until
    the next report queue there.
    """
    arrivals = build_unequal_prompts(seed, load=0.7, engines=20)
    waits, _ = run(build_placement, arrivals, seed, entries=8, lag=1)
    naive, _ = run(LeastLoadedPlacement, arrivals, seed, entries=8, lag=1)
    assert percentile(waits, 0.95) < percentile(naive, 0.95) * 0.7


@pytest.mark.parametrize('seed', SEEDS)
def test_unequal_prompts_against_round_robin(seed):
    arrivals = build_unequal_prompts(seed, load=0.7, engines=20)
    waits, _ = run(build_placement, arrivals, seed)
    naive, _ = run(RoundRobinPlacement, arrivals, seed)
    assert percentile(waits, 0.95) < percentile(naive, 0.95)
