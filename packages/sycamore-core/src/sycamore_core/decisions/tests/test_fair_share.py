from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ..fair_share import FairQueue
from ..flow import WaitingRequest
from ..lending import LendingRule
from .builders import build_request


def build_waiting(number, workspace, **fields):
    overrides = {'cost': 1, 'weight': 1, 'penalty': 1} | fields
    cost = overrides.pop('cost')
    request = build_request(f'r{number}', workspace=workspace, **overrides)
    return WaitingRequest(
        request=request, due=number, promised_at=number, cost=cost
    )


def build_queue(floor_share=0.5):
    return FairQueue(LendingRule(floor_share))


def serve(queue, count, now=0):
    served = Counter()
    for _ in range(count):
        head = queue.peek()
        waiting = queue.peek_borrower(now) or head
        queue.serve(waiting)
        served[waiting.request.workspace] += waiting.cost
    return served


def test_backlogged_workspaces_are_served_by_weight():
    queue = build_queue()
    for number in range(200):
        queue.push(build_waiting(number, 'a', weight=3))
        queue.push(build_waiting(number + 1000, 'b', weight=1))
    served = serve(queue, 100)
    assert served['a'] == pytest.approx(75, abs=2)


def test_first_request_of_a_workspace_is_served_next():
    """One workspace has queued 300 requests when another sends its first.

    Without shares, the request of the second workspace waits behind all of
    them.
    """
    queue = build_queue()
    for number in range(300):
        queue.push(build_waiting(number, 'hot'))
    serve(queue, 50)
    queue.push(build_waiting(999, 'guest'))
    assert serve(queue, 2)['guest'] == 1


def test_unused_share_is_not_compensated_later():
    queue = build_queue()
    for number in range(100):
        queue.push(build_waiting(number, 'busy'))
    serve(queue, 50)
    for number in range(100):
        queue.push(build_waiting(number + 500, 'late'))
    assert serve(queue, 40)['late'] == pytest.approx(20, abs=1)


def test_workspace_above_its_floor_lends_turns_to_higher_penalties():
    """Both workspaces are overloaded, and one has ten times the penalties.

    Without lending, as many requests with high penalties are refused as with
    low ones.
    """
    queue = build_queue(floor_share=0.5)
    for number in range(300):
        queue.push(build_waiting(number, 'cheap', penalty=1))
        queue.push(build_waiting(number + 1000, 'dear', penalty=10))
    for flow in queue.flows.values():
        flow.refused_at = 0
    served = serve(queue, 200)
    assert served['cheap'] == pytest.approx(50, abs=6)


def test_workspace_within_its_share_never_lends():
    queue = build_queue(floor_share=0)
    for number in range(300):
        queue.push(build_waiting(number, 'calm', penalty=1))
        queue.push(build_waiting(number + 1000, 'dear', penalty=10))
    queue.flows['dear'].refused_at = 0
    assert serve(queue, 100)['calm'] == 50


workloads = st.lists(
    st.tuples(
        st.sampled_from(['a', 'b', 'c', 'd']),
        st.floats(0.01, 20),
        st.sampled_from([0, 1, 10, 100]),
    ),
    min_size=20,
    max_size=120,
)


@settings(derandomize=True, max_examples=80, deadline=None)
@given(workloads, st.sampled_from([0.25, 0.5, 1]))
def test_no_backlogged_workspace_falls_below_its_floor(requests, floor):
    """Each workspace gets at least `floor` times its share, for any costs."""
    queue = build_queue(floor)
    for number, (workspace, cost, penalty) in enumerate(requests):
        queue.push(
            build_waiting(number, workspace, cost=cost, penalty=penalty),
        )
    for flow in queue.flows.values():
        flow.refused_at = 0
    backlogged = set(queue.flows)
    largest = max(request[1] for request in requests)
    served = Counter()
    while backlogged and all(queue.flows[name].costs for name in backlogged):
        served.update(serve(queue, 1))
        total = sum(served.values())
        for name in backlogged:
            floor_cost = total / len(backlogged) * floor
            # Requests are not divided, so a workspace may be behind by one
            # request of each workspace.
            assert served[name] >= floor_cost - largest * len(backlogged)
