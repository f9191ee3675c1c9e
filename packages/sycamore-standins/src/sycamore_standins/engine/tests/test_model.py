import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ..memory import DuplicateError, OutOfMemoryError
from ..model import EngineModel
from ..profile import EngineProfile
from ..sequences import SequenceRequest, SpanRequest

PROFILE = EngineProfile(
    memory_tokens=10_000,
    block_tokens=100,
    prefill_rate=1000,
    prefill_chunk_tokens=500,
    max_sequences=4,
    event_loss=0,
)


def sequence(name, prompt=500, output=5, priority=0, blocks=()):
    return SequenceRequest(
        request_id=name,
        prompt_tokens=prompt,
        max_output_tokens=output,
        priority=priority,
        blocks=tuple(blocks),
    )


def run_out(model):
    steps = []
    while model.next_event() < float('inf'):
        steps.extend(model.advance(model.next_event()))
    return steps


def test_first_token_comes_with_the_last_chunk_of_the_prompt():
    model = EngineModel(PROFILE)
    model.submit(sequence('a', prompt=1000), 0)
    steps = run_out(model)
    assert [step.first for step in steps[:2]] == [(), ('a',)]
    assert steps[1].at == pytest.approx(1.02)
    assert steps[-1].finished == ('a',)
    assert model.memory.leased_tokens == 0


def test_better_priority_overtakes_a_long_prompt():
    model = EngineModel(PROFILE)
    model.submit(sequence('long', prompt=5000, priority=5), 0)
    model.submit(sequence('short', prompt=100), 0.1)
    firsts = [name for step in run_out(model) for name in step.first]
    assert firsts == ['short', 'long']


def test_memory_that_is_leased_is_refused_and_comes_back():
    model = EngineModel(PROFILE)
    model.submit(sequence('a', prompt=9000), 0)
    with pytest.raises(OutOfMemoryError):
        model.submit(sequence('b', prompt=2000), 0)
    with pytest.raises(DuplicateError):
        model.submit(sequence('a', prompt=10), 0)
    assert model.cancel('a', 0.1)
    model.submit(sequence('b', prompt=2000), 0.2)


def test_cached_prefix_is_not_computed_again_and_is_evicted_for_leases():
    model = EngineModel(PROFILE)
    blocks = range(10)
    model.submit(sequence('a', prompt=1000, blocks=blocks), 0)
    run_out(model)
    model.submit(sequence('b', prompt=1000, blocks=blocks), 5)
    assert model.load(5).backlog_tokens == 1
    run_out(model)
    model.submit(sequence('c', prompt=9900, output=1), 9)
    kinds = [event.kind for event in model.events_after(0, 100)]
    assert kinds.count('stored') == 10
    assert kinds.count('evicted') == 10


def test_span_holds_memory_until_its_group_is_released():
    model = EngineModel(PROFILE)
    model.prepare_span(SpanRequest(group='g', span=0, tokens=4000), 0)
    steps = run_out(model)
    assert steps[-1].spans == ('g/0',)
    assert model.memory.leased_tokens == 4000
    assert model.release_group('g', 9) == 4000
    assert model.memory.leased_tokens == 0


def test_published_load_is_as_old_as_the_lag():
    model = EngineModel(PROFILE)
    model.lagged_load(0)
    model.submit(sequence('a', prompt=5000), 0.5)
    model.advance(1.2)
    assert model.lagged_load(1.2).used_tokens == 0
    assert model.load(1.2).used_tokens == 5005


@settings(derandomize=True, max_examples=50)
@given(
    st.lists(
        st.tuples(
            st.integers(1, 6000),
            st.integers(1, 20),
            st.integers(0, 3),
            st.booleans(),
        ),
        max_size=20,
    ),
)
def test_memory_is_whole_again_when_all_is_over(entries):
    model = EngineModel(PROFILE)
    for number, (prompt, output, priority, cancelled) in enumerate(entries):
        name = str(number)
        try:
            model.submit(sequence(name, prompt, output, priority), number)
        except OutOfMemoryError:
            continue
        model.advance(number + 0.5)
        if cancelled:
            model.cancel(name, number + 0.5)
        assert 0 <= model.memory.leased_tokens <= PROFILE.memory_tokens
    run_out(model)
    assert model.memory.leased_tokens == 0
    assert not model.memory.work
