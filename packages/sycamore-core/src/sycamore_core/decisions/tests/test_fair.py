from ...states import (
    EndpointKind,
    EndpointPhase,
    Outcome,
    RefusalReason,
    RetryReason,
)
from ..scheduler import Dispatch, Queued, Refusal, Requeued
from .builders import (
    build_huge,
    build_plain_view,
    build_request,
    build_scheduler,
    build_view,
)


def single(decisions):
    assert len(decisions) == 1
    return decisions[0]


def sent_names(scheduler, now):
    return [
        one.request_id
        for one in scheduler.dispatch(now)
        if isinstance(one, Dispatch)
    ]


def test_request_goes_through_and_is_forgotten():
    scheduler = build_scheduler()
    assert isinstance(scheduler.submit(build_request('a'), 0), Queued)
    sent = single(scheduler.dispatch(0))
    assert sent.endpoint == 'e0'
    scheduler.accepted('a', 'e0', 0.01)
    scheduler.first_token('a', 0.1)
    scheduler.finished('a', Outcome.COMPLETE, 1)
    snapshot = scheduler.snapshot(1)
    assert (snapshot.waiting, snapshot.running) == (0, 0)


def test_engine_queue_is_kept_short():
    scheduler = build_scheduler()
    for number in range(20):
        scheduler.submit(build_request(f'a{number}', deadline=999), 0)
    first = sent_names(scheduler, 0)
    assert 1 <= len(first) <= 5
    assert not sent_names(scheduler, 0.1)
    for name in first:
        scheduler.first_token(name, 0.2)
    assert sent_names(scheduler, 0.3)


def test_hot_workspace_is_not_before_another():
    """One school sends a hundred requests at once, then another sends one.

    Without shares, the guest of the second waits behind all hundred.
    """
    scheduler = build_scheduler()
    for number in range(100):
        request = build_request(f'hot{number}', target_seconds=0)
        scheduler.submit(request, 0)
    sent = sent_names(scheduler, 0)
    scheduler.submit(build_request('guest', workspace='w1', arrival=0.1), 0.1)
    scheduler.first_token(sent[0], 0.1)
    scheduler.first_token(sent[1], 0.1)
    assert sent_names(scheduler, 0.1)[0] == 'guest'


def test_refusal_says_why_and_when_to_come_back():
    """More chat turns arrive than the engine can answer within the target.

    Those beyond are refused at once, with a time after which the queue is
    short enough again.
    """
    scheduler = build_scheduler()
    answers = [
        scheduler.submit(build_request(f'a{number}'), 0)
        for number in range(100)
    ]
    refused = [one for one in answers if isinstance(one, Refusal)]
    assert 0 < len(refused) < 100
    assert {one.reason for one in refused} == {RefusalReason.OVERLOADED}
    assert all(one.retry_after > 0 for one in refused)
    assert all('(share 1.000)' in one.detail for one in refused)


def test_request_without_target_is_refused_by_its_time_limit_only():
    scheduler = build_scheduler()
    answers = [
        scheduler.submit(
            build_request(f'a{number}', target_seconds=0, deadline=10),
            0,
        )
        for number in range(400)
    ]
    reasons = {one.reason for one in answers if isinstance(one, Refusal)}
    assert reasons == {RefusalReason.DEADLINE_UNREACHABLE}


def test_nothing_goes_to_an_endpoint_that_drains():
    scheduler = build_scheduler()
    view = build_view(phase=EndpointPhase.DRAINING)
    scheduler.submit(build_request('a'), 0)
    scheduler.update_endpoint(view, 0)
    assert not sent_names(scheduler, 0)
    answer = scheduler.submit(build_request('b'), 0)
    assert answer.reason == RefusalReason.NO_ENDPOINT


def test_declined_request_is_offered_again():
    scheduler = build_scheduler(endpoints=2)
    scheduler.submit(build_request('a'), 0)
    first = single(scheduler.dispatch(0))
    answer = scheduler.declined(
        Refusal('a', RefusalReason.MEMORY_FULL, 0.1),
        0.01,
    )
    assert isinstance(answer, Requeued)
    second = single(scheduler.dispatch(answer.not_before))
    assert second.endpoint != first.endpoint


def test_lost_request_is_offered_again_a_few_times_only():
    """An endpoint fails each request at once.

    Without a limit, the same requests would come back without an end.
    """
    scheduler = build_scheduler()
    scheduler.submit(build_request('a'), 0)
    now = 0
    for _ in range(10):
        scheduler.dispatch(now)
        answer = scheduler.lost('a', RetryReason.BACKEND_FAILED, now)
        if isinstance(answer, Refusal):
            break
        now = answer.not_before
    assert answer.reason == RefusalReason.BACKEND_FAILED
    assert not scheduler.snapshot(now).waiting


def test_time_limit_that_passes_in_the_queue_is_told():
    scheduler = build_scheduler()
    for number in range(9):
        scheduler.submit(build_request(f'a{number}', target_seconds=0), 0)
    sent_names(scheduler, 0)
    refusals = scheduler.dispatch(31)
    assert {one.reason for one in refusals} == {RefusalReason.DEADLINE_PASSED}
    assert not scheduler.snapshot(31).waiting


def test_prompt_beyond_one_engine_goes_to_a_group():
    scheduler = build_scheduler(endpoints=6)
    request = build_huge('a', prompt_tokens=1_000_000)
    scheduler.submit(request, 0)
    sent = single(scheduler.dispatch(0))
    assert len(sent.members) >= 2
    assert sent.endpoint not in sent.members


def test_short_request_is_not_held_back_by_the_longest_before_it():
    scheduler = build_scheduler(endpoints=1)
    for number in range(4):
        scheduler.submit(build_huge(f'long{number}', target_seconds=0), 0)
    assert len(sent_names(scheduler, 0)) == 1
    scheduler.submit(build_request('turn', arrival=0.1), 0.1)
    assert sent_names(scheduler, 0.1) == ['turn']


def test_plain_service_needs_no_memory():
    scheduler = build_scheduler()
    scheduler.update_endpoint(build_plain_view(), 0)
    request = build_request(
        'a',
        service='booking',
        kind=EndpointKind.PLAIN,
        prompt_tokens=0,
        max_output_tokens=0,
    )
    scheduler.submit(request, 0)
    sent = single(scheduler.dispatch(0))
    assert sent.endpoint == 'p0'
    scheduler.finished('a', Outcome.COMPLETE, 0.1)
    assert not scheduler.snapshot(1).running


def test_long_work_is_kept_to_its_part_of_the_engines():
    """More archives arrive than the part of long work holds.

    Without the cap they take every engine, and each chat turn shares its
    steps with one of them.
    """
    scheduler = build_scheduler(endpoints=8, short_emphasis=1)
    for number in range(20):
        scheduler.submit(build_huge(f'a{number}', target_seconds=0), 0)
    sent = [scheduler.dispatch(step / 10) for step in range(20)]
    engines = {one.endpoint for decisions in sent for one in decisions}
    assert len(engines) == 3


def test_higher_emphasis_leaves_more_engines_to_short_work():
    taken = []
    for emphasis in (0, 1):
        scheduler = build_scheduler(endpoints=8, short_emphasis=emphasis)
        for number in range(20):
            scheduler.submit(build_huge(f'a{number}', target_seconds=0), 0)
        sent = [scheduler.dispatch(step / 10) for step in range(20)]
        taken.append(sum(len(decisions) for decisions in sent))
    assert taken[0] > taken[1]


def test_pinned_request_goes_to_its_endpoint_only():
    """A caller sends a deposit again whose id is bound to one endpoint.

    Placed like any other, it would run at another and be recorded twice.
    """
    scheduler = build_scheduler(endpoints=8)
    for number in range(16):
        request = build_request(f'a{number}', pinned_to='e3')
        assert isinstance(scheduler.submit(request, 0), Queued)
    sent = scheduler.dispatch(0)
    assert {one.endpoint for one in sent} == {'e3'}


def test_pinned_request_is_refused_when_its_endpoint_leaves():
    scheduler = build_scheduler(endpoints=2)
    scheduler.submit(build_request('a', pinned_to='e1'), 0)
    scheduler.update_endpoint(build_view('e1', phase=EndpointPhase.GONE), 0)
    refusal = single(scheduler.dispatch(0))
    assert refusal.reason == RefusalReason.NO_ENDPOINT
    later = scheduler.submit(build_request('b', pinned_to='e1'), 0)
    assert later.reason == RefusalReason.NO_ENDPOINT


def test_pinned_request_waits_for_memory_without_holding_back_others():
    scheduler = build_scheduler(endpoints=2)
    scheduler.update_endpoint(build_view('e1', free_tokens=0), 0)
    scheduler.submit(build_request('a', pinned_to='e1'), 0)
    scheduler.submit(build_request('b', arrival=0.1), 0.1)
    assert 'b' in sent_names(scheduler, 0.1) + sent_names(scheduler, 0.2)
    scheduler.update_endpoint(build_view('e1'), 0.3)
    assert sent_names(scheduler, 0.5) == ['a']


def test_endpoint_that_came_back_owes_nothing_for_the_one_before():
    """An endpoint is silent while a request runs there, and comes back.

    When the request is over, the counts of the new one must not fall below
    zero, or more would be sent there than fits.
    """
    scheduler = build_scheduler()
    scheduler.submit(build_request('a', prompt_tokens=500), 0)
    sent = single(scheduler.dispatch(0))
    scheduler.remove_endpoint(sent.endpoint, 0)
    scheduler.update_endpoint(build_view(sent.endpoint), 0)
    scheduler.finished('a', Outcome.COMPLETE, 1)
    candidate = scheduler.endpoints.entries[sent.endpoint].candidate
    assert candidate.sent_requests == 0
    assert candidate.own_tokens == 0
    assert sum(candidate.pending) == 0
