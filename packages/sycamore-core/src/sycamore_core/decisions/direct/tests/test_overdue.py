"""Tests of `is_overdue`: the known load may explain an unread prompt."""

import pytest

from ....ids import EndpointId, PeerId, RequestId
from ....routing import EngineLoad, EngineShare, UnreadPrompt
from ..engine_work import Assignment
from ..load_registry import LoadRegistry
from ..overdue import is_overdue
from .builders import COSTS

REQUEST = RequestId('report-0')
ENGINES = (EndpointId('e1'), EndpointId('e2'))
READ_MS = 300


def registry_after_sending(*, is_ahead: bool = True) -> LoadRegistry:
    """Return the registry of an entry that sent a prompt at second 10."""
    registry = LoadRegistry()
    parts = {
        engine: Assignment(read_ms=READ_MS, is_ahead=is_ahead)
        for engine in ENGINES
    }
    registry.begin(REQUEST, parts, now=10)
    return registry


@pytest.mark.parametrize('is_ahead', [True, False])
@pytest.mark.parametrize(('now', 'expected'), [(10.1, False), (10.8, True)])
def test_prompt_at_a_silent_engine_becomes_overdue(
    now: float,
    *,
    expected: bool,
    is_ahead: bool,
) -> None:
    """The engines have no other work, and no answer arrives."""
    registry = registry_after_sending(is_ahead=is_ahead)
    assert is_overdue(REQUEST, ENGINES, registry, COSTS, now) is expected


@pytest.mark.parametrize('engine', ENGINES)
def test_part_that_a_peer_sent_later_explains_the_delay(
    engine: EndpointId,
) -> None:
    """Another entry then sends one of the engines two seconds of reading.

    If the engine were considered faulty, the prompt would be read twice.
    """
    registry = registry_after_sending()
    part = UnreadPrompt('archive-', 40, 2000, 0, 4000, is_ahead=True)
    share = EngineShare(engine, EngineLoad(unread=(part,)))
    registry.apply_update(PeerId('p'), (share,), 10.1, is_full=False)
    assert not is_overdue(REQUEST, ENGINES, registry, COSTS, 10.8)
    assert is_overdue(REQUEST, ENGINES, registry, COSTS, 13)
