"""Tests of groups for long prompts and of the limits of long work."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sycamore_core.decisions.long_limits import (
    MIN_RESERVED_SHARE,
    SHORT_RESERVED_SHARE,
    LongLimits,
    long_capacity,
)
from sycamore_core.decisions.long_prompts import (
    GroupReason,
    plan_group,
    short_capacity_share,
)
from sycamore_core.decisions.pool import Candidate, CandidatePool
from sycamore_core.states import PromptBand

from .builders_placement import build_pool, build_request, build_view


def build_long(tokens):
    return build_request(band=PromptBand.HUGE, prompt_tokens=tokens)


def plan(tokens, pool, share=0.5):
    limits = LongLimits.from_candidates(pool, share)
    return plan_group(build_long(tokens), pool, limits)


def test_long_prompt_uses_fewest_engines_of_one_zone():
    pool = build_pool(20)
    planned = plan(1_000_000, pool)
    zones = {pool.find(span.endpoint).view.zone for span in planned.spans}
    assert planned.reason == GroupReason.FORMED
    assert len(planned.spans) == 4
    assert len(zones) == 1


def test_engines_with_long_work_are_preferred():
    pool = build_pool(20)
    for name in ('006', '010'):
        pool.find(name).view.long_tokens = 100_000
        pool.find(name).view.free_tokens = 300_000
    chosen = {span.endpoint for span in plan(900_000, pool).spans}
    assert {'006', '010'} <= chosen


def test_groups_respect_the_share_of_long_work():
    pool = build_pool(8)
    for name in ('000', '002', '004', '006'):
        pool.find(name).view.long_tokens = 300_000
        pool.find(name).view.free_tokens = 100_000
    assert plan(800_000, pool).reason == GroupReason.LONG_WORK_FULL


def test_full_engines_and_too_small_fleet_give_different_reasons():
    full = build_pool(8, free_tokens=110_000)
    assert plan(1_000_000, full).reason == GroupReason.MEMORY_FULL
    small = build_pool(2)
    assert plan(1_000_000, small).reason == GroupReason.PROMPT_TOO_LONG


def test_small_site_reserves_less_memory_for_short_requests():
    """Guards against a refusal of a prompt that the fleet can store.

    Three engines can store the prompt only if less memory than usual is kept
    for short requests.
    """
    pool = build_pool(3)
    assert (
        short_capacity_share(build_long(800_000), pool) == SHORT_RESERVED_SHARE
    )
    assert (
        short_capacity_share(build_long(1_000_000), pool) == MIN_RESERVED_SHARE
    )
    assert plan(1_000_000, pool).reason == GroupReason.FORMED


def test_small_site_serves_one_long_prompt_at_a_time():
    pool = build_pool(4)
    assert plan(1_000_000, pool).reason == GroupReason.FORMED
    pool[0].view.long_tokens = 300_000
    pool[0].view.free_tokens = 100_000
    assert plan(600_000, pool).reason == GroupReason.LONG_WORK_FULL


@pytest.mark.parametrize('share', [0, 0.3, 1])
def test_limits_of_an_empty_pool(share):
    assert LongLimits.from_candidates(CandidatePool(), share).tokens == 0


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    free=st.lists(st.integers(0, 400_000), min_size=1, max_size=12),
    tokens=st.integers(1, 2_000_000),
    share=st.floats(0, 1),
    with_long_work=st.sets(st.integers(0, 11)),
)
def test_spans_cover_the_prompt_and_fit(free, tokens, share, with_long_work):
    pool = CandidatePool(
        Candidate(
            view=build_view(
                number,
                free_tokens=free_tokens,
                long_tokens=50_000 if number in with_long_work else 0,
            ),
        )
        for number, free_tokens in enumerate(free)
    )
    planned = plan(tokens, pool, share)
    if planned.reason != GroupReason.FORMED:
        assert not planned.spans
        return
    spans = planned.spans
    request = build_long(tokens)
    ends = [span.first_token + span.tokens for span in spans]
    assert [0, *ends[:-1]] == [span.first_token for span in spans]
    assert ends[-1] == request.lease_tokens
    assert spans[-1].tokens > request.max_output_tokens or len(spans) == 1
    names = [span.endpoint for span in spans]
    assert names == sorted(set(names))
    limits = LongLimits.from_candidates(pool, share)
    without_long_work = [
        name for name in names if not pool.find(name).view.long_tokens
    ]
    assert len(without_long_work) <= limits.engines
    assert request.lease_tokens <= limits.tokens
    share = short_capacity_share(request, pool)
    for span in spans:
        candidate = pool.find(span.endpoint)
        assert 0 < span.tokens <= long_capacity(candidate, share)
        reserved_tokens = candidate.view.capacity_tokens * share
        assert candidate.view.free_tokens - span.tokens >= reserved_tokens
