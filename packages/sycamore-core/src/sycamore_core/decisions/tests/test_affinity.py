"""Tests of the prefix index and of the ring of home endpoints."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamore_core.decisions.affinity import (
    MAX_HOLDERS_PER_BLOCK,
    HomeRing,
    PrefixIndex,
    recorded_positions,
)
from sycamore_core.decisions.pool import Candidate, CandidatePool

from .builders_placement import build_pool, build_view

ENDPOINTS = st.sampled_from(tuple('abcdef'))
PROMPTS = st.lists(st.integers(0, 3), min_size=1, max_size=12)


def hashes(tokens):
    """Return hashes that each cover a block and all blocks before it."""
    return [hash(tuple(tokens[: end + 1])) for end in range(len(tokens))]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    sent=st.lists(st.tuples(PROMPTS, ENDPOINTS), max_size=20),
    prompt=PROMPTS,
)
def test_matches_are_prefixes_of_sent_prompts(sent, prompt):
    index = PrefixIndex()
    for now, (tokens, endpoint) in enumerate(sent):
        index.record(hashes(tokens), endpoint, now)
    found = index.matches(hashes(prompt), now=len(sent))
    for endpoint, blocks in found.blocks.items():
        beginnings = [
            record[0][:blocks] for record in sent if record[1] == endpoint
        ]
        assert prompt[:blocks] in beginnings


def test_index_respects_its_limits():
    index = PrefixIndex(limit=50)
    for number in range(500):
        index.record([number, number + 1000], f'e{number}', now=number)
        index.record([7], f'e{number}', now=number)
    assert len(index.block_records) <= 50
    assert len(index.block_records[7].holders) <= MAX_HOLDERS_PER_BLOCK


def test_long_prompt_takes_few_records():
    assert len(recorded_positions(1_000_000 // 16)) < 40


def test_removal_moves_only_prompts_of_removed_endpoint():
    """Guards against lost caches of other endpoints when an endpoint leaves."""
    pool, ring = build_pool(20), HomeRing()
    before = [ring.homes([key], pool)[0].view.endpoint for key in range(500)]
    pool.remove('007')
    after = [ring.homes([key], pool)[0].view.endpoint for key in range(500)]
    moved = [
        old for old, new in zip(before, after) if old != new and old != '007'
    ]
    assert not moved


def test_homes_are_distributed_evenly():
    pool, ring = build_pool(20), HomeRing()
    homes = [ring.homes([key], pool)[0].view.endpoint for key in range(4000)]
    counts = [homes.count(name) for name in set(homes)]
    assert len(counts) == 20
    assert max(counts) < 3 * 4000 / 20


def test_pool_positions_after_removals():
    pool = CandidatePool(
        Candidate(view=build_view(number)) for number in range(9)
    )
    for name in ('003', '008', '000', '003'):
        pool.remove(name)
    names = [candidate.view.endpoint for candidate in pool]
    assert sorted(names) == ['001', '002', '004', '005', '006', '007']
    assert [pool.find(name).view.endpoint for name in names] == names
