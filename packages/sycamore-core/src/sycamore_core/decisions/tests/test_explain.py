"""Tests of the replay of decisions from JSON documents."""

import json

import msgspec
import pytest

from sycamore_core.decisions.explain import explain
from sycamore_core.errors import DecisionError

from .builders_placement import build_pool, build_prompt, build_request


def replay(**case):
    document = msgspec.to_builtins(case, str_keys=True)
    return explain(json.dumps(document).encode())


def figures(explanation):
    return {figure.name: figure.shown for figure in explanation.figures}


def replay_placement(**changes):
    case = {
        'decision': 'placement',
        'request': build_prompt('1', range(20)),
        'candidates': list(build_pool(4)),
        'zone': 'z1',
        'earlier': [{'blocks': list(range(20)), 'endpoint': '002'}],
    }
    return replay(**(case | changes))


def test_placement_shows_holder_and_estimates():
    shown = replay_placement()
    assert (shown.decision, shown.reason) == ('sent to 002', 'prefix')
    named = figures(shown)
    assert float(named['first token at 002']) < float(
        named['first token at 000'],
    )


def test_placement_waits_if_memory_is_full():
    full = list(build_pool(4, free_tokens=1))
    shown = replay_placement(candidates=full)
    assert (shown.decision, shown.reason) == ('waits', 'memory_full')


def test_admission_refuses_unreachable_deadline():
    shown = replay(
        decision='admission',
        request=build_request(deadline=10),
        estimate={
            'ahead': 30,
            'rate': 1,
            'first_token_seconds': 0.2,
            'answer_seconds': 1,
            'share': 0.5,
        },
    )
    assert (shown.decision, shown.reason) == ('refused', 'deadline_unreachable')
    assert '30.00 engine seconds' in figures(shown)['detail']


@pytest.mark.parametrize(
    ('idempotent', 'execution', 'decision', 'reason'),
    [
        (True, 'unknown', 'tried again', 'retry'),
        (False, 'unknown', 'refused', 'in_doubt'),
        (False, 'not_run', 'tried again', 'retry'),
    ],
)
def test_retry(idempotent, execution, decision, reason):
    shown = replay(
        decision='retry',
        failure={
            'request': build_request(idempotent=idempotent),
            'reason': 'offer_lost',
            'execution': execution,
        },
        answered=10,
    )
    assert (shown.decision, shown.reason) == (decision, reason)
    assert figures(shown)['retries left before'] == '5.0'


def test_health_of_failing_endpoint():
    failed = {'kind': 'failed'}
    seen = [
        {'endpoint': 'a', 'at': at, 'observation': failed} for at in (1, 2, 3)
    ]
    shown = replay(
        decision='health',
        endpoint='a',
        endpoints=['a', 'b', 'c'],
        seen=seen,
        now=4,
    )
    assert (shown.decision, shown.reason) == ('ejected, 0', 'failures')


def replay_schedule(**changes):
    tree = {
        'version': 1,
        'name': 'test',
        'services': {'s': {}},
        'workspaces': {'w': {'services': {'s': {}}}},
    }
    case = {
        'decision': 'schedule',
        'tree': tree,
        'endpoints': [candidate.view for candidate in build_pool(3)],
        'requests': [build_request()],
    }
    return replay(**(case | changes))


def test_schedule_explains_last_request():
    assert replay_schedule().decision.startswith('sent to')
    refused = replay_schedule(endpoints=[])
    assert (refused.decision, refused.reason) == ('refused', 'no_endpoint')


@pytest.mark.parametrize(
    'case',
    [
        b'',
        b'{}',
        b'{"decision": "weather"}',
        b'{"decision": "pace", "endpoint": "a", "updates": 3}',
        b'{"decision": "pace", "endpoint": "a", "updates": [], "more": 1}',
        b'{"decision": "health", "endpoint": "a", "endpoints": ["b"]}',
        b'{"decision": "schedule", "tree": 1, "endpoints": [], "requests": []}',
    ],
)
def test_invalid_document_is_rejected(case):
    with pytest.raises(DecisionError):
        explain(case)
