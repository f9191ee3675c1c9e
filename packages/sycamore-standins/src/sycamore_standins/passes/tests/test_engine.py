"""Passes of an engine."""

import pytest
from sycamore_core.ids import RequestId

from ..engine import CHUNK_TOKENS, Part, PassEngine, PassResult
from ..loads import COSTS

PROMPT = 154_000


def part(name: str, tokens: float, order: int = 1, **more: object) -> Part:
    return Part(
        request=RequestId(name),
        left=tokens,
        mean_context=tokens / 2,
        is_ahead=bool(more.get('is_ahead')),
        order=order,
    )


def passes(engine: PassEngine) -> list[PassResult]:
    """Return the passes until nothing is left to read."""
    found: list[PassResult] = []
    while engine.waiting or engine.reading:
        result = engine.next_pass()
        assert result is not None
        found.append(result)
    return found


def test_idle_engine_reads_as_published() -> None:
    engine = PassEngine(COSTS)
    engine.waiting.append(part('long', PROMPT))
    spent = sum(result.ms for result in passes(engine))
    steps = PROMPT / CHUNK_TOKENS + 1
    assert spent == pytest.approx(
        COSTS.read_ms(PROMPT), abs=COSTS.step_ms * steps
    )


def test_engine_that_writes_reads_within_long_passes() -> None:
    """A long prompt is read beside a short answer.

    The caller of the short answer receives nothing until it is read.
    """
    engine = PassEngine(COSTS)
    engine.contexts[RequestId('turn')] = 5000
    engine.waiting.append(part('long', PROMPT / 2))
    found = passes(engine)
    only = found[0]
    assert len(found) == 1
    assert only.writers == ('turn',)
    assert only.ms > COSTS.read_ms(PROMPT // 2)


def test_work_that_comes_during_a_pass_waits_for_the_next() -> None:
    engine = PassEngine(COSTS)
    engine.contexts[RequestId('turn')] = 5000
    engine.waiting.append(part('first', 1000))
    first = engine.next_pass()
    engine.waiting.append(part('second', 1000))
    second = engine.next_pass()
    assert first is not None
    assert second is not None
    assert [one.request for one in first.read] == ['first']
    assert [one.request for one in second.read] == ['second']


def test_latest_part_of_a_split_prompt_is_read_first() -> None:
    engine = PassEngine(COSTS)
    engine.waiting.append(part('whole', 10_000, order=1))
    engine.waiting.append(part('early', 10_000, order=2, is_ahead=True))
    engine.waiting.append(part('late', 10_000, order=3, is_ahead=True))
    read = [one.request for result in passes(engine) for one in result.read]
    assert read == ['late', 'early', 'whole']


def test_nothing_to_do() -> None:
    assert PassEngine(COSTS).next_pass() is None
