"""Placement: memory, zones and weights, and what callers receive.

The differential tests run the same arrivals through `PrefixPlacement` and a
naive one, over several seeds, in the queueing model of `builders_placement`.
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
    Model,
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
    model = Model(build_engines(engines), placements, lag=lag)
    waits = model.run(arrivals, random.Random(seed).random)
    return waits, model.computed_tokens()


def place(placement, request, pool, now=0, seed=1):
    return placement.place(request, pool, now, random.Random(seed).random)


def test_next_turn_goes_where_the_cache_is():
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


def test_busy_holder_is_left():
    placement, pool = build_placement(), build_pool(50)
    prompt = build_prompt('1', range(20))
    holder = place(placement, prompt, pool).endpoint
    pool.find(holder).view.backlog_tokens = 1_000_000
    moved = place(placement, prompt, pool)
    assert moved.endpoint != holder
    assert moved.reason == PlacementReason.SPILL


def test_old_records_are_not_believed():
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
    placement.learn(view, now=0)
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
def test_nothing_fits(changes, reason):
    decided = place(
        build_placement(), build_request(), build_pool(9, **changes)
    )
    assert decided.endpoint is None
    assert decided.reason == reason
    assert decided.retry_after > 0


def test_empty_pool():
    decided = place(build_placement(), build_request(), CandidatePool())
    assert decided.reason == PlacementReason.NO_ENDPOINT


def test_own_sends_count_against_memory():
    pool = build_pool(1, free_tokens=2000)
    request = build_request()
    placement = build_placement()
    first = place(placement, request, pool)
    pool.note_send(first.endpoint, request, first.new_tokens)
    assert place(placement, request, pool).endpoint is None


def test_own_zone_is_preferred_between_equals():
    pool = build_pool(10)
    zones = [
        pool.find(
            place(build_placement(), build_request(), pool, seed=seed).endpoint,
        ).view.zone
        for seed in range(100)
    ]
    # Two of five and five are drawn: both lie in the other zone in 2 of 9.
    assert zones.count('z1') > 65


def test_weight_is_the_share_of_an_endpoint():
    pool = build_pool(10)
    pool[0].weight = 0.2
    source = random.Random(5)
    placement = build_placement()
    chosen = [
        placement.place(build_request(), pool, 0, source.random).endpoint
        for _ in range(3000)
    ]
    assert 10 < chosen.count('000') < 120


def test_long_prompts_leave_room_and_engines():
    """Long prompts come one after the other until no more are taken.

    A caller with a short turn must still find an engine without long work,
    and room on every engine that has some.
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
    assert sum(1 for one in pool if one.view.long_tokens) <= 4
    assert min(one.view.free_tokens for one in pool) >= 100_000
    assert decision.reason == PlacementReason.LONG_WORK_FULL


def test_prompt_beyond_one_engine_gets_a_group():
    request = build_request(band=PromptBand.HUGE, prompt_tokens=1_000_000)
    decided = place(build_placement(), request, build_pool(12))
    assert decided.reason == PlacementReason.GROUP
    assert len(decided.members) >= 3
    assert decided.endpoint > max(decided.members)


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
    """Entries do not see each other's sends, so a count of requests in flight
    is low everywhere and a prompt is computed once for each entry.
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
def test_hot_key_against_round_robin(seed, entries):
    """Nine callers in ten share one long instruction.

    If it stays on the endpoint that saw it first, its callers wait in one
    queue; it has to spread until none waits longer than for computing it.
    """
    arrivals = build_shared_prompts(seed, 0.8, 20, hot_share=0.9)
    waits, _ = run(build_placement, arrivals, seed, entries)
    naive, _ = run(RoundRobinPlacement, arrivals, seed, entries)
    assert percentile(waits, 0.5) < percentile(naive, 0.5)
    assert percentile(waits, 0.95) < percentile(naive, 0.95)


@pytest.mark.parametrize('seed', SEEDS)
def test_herding_after_a_report(seed):
    """Eight entries take the same report at the same moment.

    If each sends to the endpoint that it shows as least loaded, all of a
    second's requests meet there and their callers wait behind each other.
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
