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


def only_decision(decisions):
    assert len(decisions) == 1
    return decisions[0]


def dispatch_ids(scheduler, now):
    return [
        decision.request_id
        for decision in scheduler.dispatch(now)
        if isinstance(decision, Dispatch)
    ]


def test_finished_request_leaves_no_counts():
    scheduler = build_scheduler()
    assert isinstance(scheduler.submit(build_request('a'), 0), Queued)
    sent = only_decision(scheduler.dispatch(0))
    assert sent.endpoint == 'e0'
    scheduler.accepted('a', 'e0', 0.01)
    scheduler.first_token('a', 0.1)
    scheduler.finished('a', Outcome.COMPLETE, 1)
    snapshot = scheduler.snapshot(1)
    assert (snapshot.waiting, snapshot.running) == (0, 0)


def test_few_requests_are_sent_before_first_tokens():
    scheduler = build_scheduler()
    for number in range(20):
        scheduler.submit(build_request(f'a{number}', deadline=999), 0)
    first = dispatch_ids(scheduler, 0)
    assert 1 <= len(first) <= 5
    assert not dispatch_ids(scheduler, 0.1)
    for name in first:
        scheduler.first_token(name, 0.2)
    assert dispatch_ids(scheduler, 0.3)


def test_overloading_workspace_does_not_delay_another():
    """One workspace sends 100 requests at once, then another sends one.

    Without shares, the request of the second workspace waits behind all 100.
    """
    scheduler = build_scheduler()
    for number in range(100):
        request = build_request(f'hot{number}', target_seconds=0)
        scheduler.submit(request, 0)
    sent = dispatch_ids(scheduler, 0)
    scheduler.submit(build_request('guest', workspace='w1', arrival=0.1), 0.1)
    scheduler.first_token(sent[0], 0.1)
    scheduler.first_token(sent[1], 0.1)
    assert dispatch_ids(scheduler, 0.1)[0] == 'guest'


def test_refusal_gives_reason_and_retry_delay():
    """More requests arrive than the engine can answer within the target.

    The excess requests are refused at once, with the time after which the
    queue is short enough again.
    """
    scheduler = build_scheduler()
    answers = [
        scheduler.submit(build_request(f'a{number}'), 0)
        for number in range(100)
    ]
    refusals = [answer for answer in answers if isinstance(answer, Refusal)]
    assert 0 < len(refusals) < 100
    assert {refusal.reason for refusal in refusals} == {
        RefusalReason.OVERLOADED
    }
    assert all(refusal.retry_after > 0 for refusal in refusals)
    assert all('(share 1.000)' in refusal.detail for refusal in refusals)


def test_request_without_target_is_refused_only_for_its_time_limit():
    scheduler = build_scheduler()
    answers = [
        scheduler.submit(
            build_request(f'a{number}', target_seconds=0, deadline=10),
            0,
        )
        for number in range(400)
    ]
    reasons = {
        answer.reason for answer in answers if isinstance(answer, Refusal)
    }
    assert reasons == {RefusalReason.DEADLINE_UNREACHABLE}


def test_draining_endpoint_gets_no_requests():
    scheduler = build_scheduler()
    view = build_view(phase=EndpointPhase.DRAINING)
    scheduler.submit(build_request('a'), 0)
    scheduler.update_endpoint(view, 0)
    assert not dispatch_ids(scheduler, 0)
    answer = scheduler.submit(build_request('b'), 0)
    assert answer.reason == RefusalReason.NO_ENDPOINT


def test_declined_request_is_offered_again():
    scheduler = build_scheduler(endpoints=2)
    scheduler.submit(build_request('a'), 0)
    first = only_decision(scheduler.dispatch(0))
    answer = scheduler.declined(
        Refusal('a', RefusalReason.MEMORY_FULL, 0.1),
        0.01,
    )
    assert isinstance(answer, Requeued)
    second = only_decision(scheduler.dispatch(answer.not_before))
    assert second.endpoint != first.endpoint


def test_failing_request_is_retried_a_limited_number_of_times():
    """An endpoint fails each request at once.

    Without a limit, the same request would be retried forever.
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


def test_request_that_expires_in_the_queue_is_refused():
    scheduler = build_scheduler()
    for number in range(9):
        scheduler.submit(build_request(f'a{number}', target_seconds=0), 0)
    dispatch_ids(scheduler, 0)
    refusals = scheduler.dispatch(31)
    assert {refusal.reason for refusal in refusals} == {
        RefusalReason.DEADLINE_PASSED
    }
    assert not scheduler.snapshot(31).waiting


def test_prompt_larger_than_one_engine_goes_to_a_group():
    scheduler = build_scheduler(endpoints=6)
    request = build_huge('a', prompt_tokens=1_000_000)
    scheduler.submit(request, 0)
    sent = only_decision(scheduler.dispatch(0))
    assert len(sent.members) >= 2
    assert sent.endpoint not in sent.members


def test_short_request_is_not_blocked_by_huge_prompts():
    scheduler = build_scheduler(endpoints=1)
    for number in range(4):
        scheduler.submit(build_huge(f'long{number}', target_seconds=0), 0)
    assert len(dispatch_ids(scheduler, 0)) == 1
    scheduler.submit(build_request('turn', arrival=0.1), 0.1)
    assert dispatch_ids(scheduler, 0.1) == ['turn']


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
    sent = only_decision(scheduler.dispatch(0))
    assert sent.endpoint == 'p0'
    scheduler.finished('a', Outcome.COMPLETE, 0.1)
    assert not scheduler.snapshot(1).running


def test_long_work_uses_at_most_its_share_of_engines():
    """More huge prompts arrive than the share of long work allows.

    Without the limit, they occupy every engine, and each short request shares
    its forward passes with a huge prompt.
    """
    scheduler = build_scheduler(endpoints=8, short_emphasis=1)
    for number in range(20):
        scheduler.submit(build_huge(f'a{number}', target_seconds=0), 0)
    sent = [scheduler.dispatch(step / 10) for step in range(20)]
    engines = {
        decision.endpoint for decisions in sent for decision in decisions
    }
    assert len(engines) == 3


def test_higher_short_emphasis_reduces_long_work():
    sent_counts = []
    for emphasis in (0, 1):
        scheduler = build_scheduler(endpoints=8, short_emphasis=emphasis)
        for number in range(20):
            scheduler.submit(build_huge(f'a{number}', target_seconds=0), 0)
        sent = [scheduler.dispatch(step / 10) for step in range(20)]
        sent_counts.append(sum(len(decisions) for decisions in sent))
    assert sent_counts[0] > sent_counts[1]


def test_pinned_request_goes_only_to_its_endpoint():
    """A caller repeats a request whose id is bound to one endpoint.

    If the repeated request ran at another endpoint as well, it would have its
    effect twice.
    """
    scheduler = build_scheduler(endpoints=8)
    for number in range(16):
        request = build_request(f'a{number}', pinned_to='e3')
        assert isinstance(scheduler.submit(request, 0), Queued)
    sent = scheduler.dispatch(0)
    assert {decision.endpoint for decision in sent} == {'e3'}


def test_pinned_request_is_refused_when_its_endpoint_leaves():
    scheduler = build_scheduler(endpoints=2)
    scheduler.submit(build_request('a', pinned_to='e1'), 0)
    scheduler.update_endpoint(build_view('e1', phase=EndpointPhase.GONE), 0)
    refusal = only_decision(scheduler.dispatch(0))
    assert refusal.reason == RefusalReason.NO_ENDPOINT
    later = scheduler.submit(build_request('b', pinned_to='e1'), 0)
    assert later.reason == RefusalReason.NO_ENDPOINT


def test_pinned_request_waiting_for_memory_does_not_block_others():
    scheduler = build_scheduler(endpoints=2)
    scheduler.update_endpoint(build_view('e1', free_tokens=0), 0)
    scheduler.submit(build_request('a', pinned_to='e1'), 0)
    scheduler.submit(build_request('b', arrival=0.1), 0.1)
    assert 'b' in dispatch_ids(scheduler, 0.1) + dispatch_ids(scheduler, 0.2)
    scheduler.update_endpoint(build_view('e1'), 0.3)
    assert dispatch_ids(scheduler, 0.5) == ['a']


def test_readded_endpoint_is_not_charged_for_earlier_requests():
    """An endpoint is removed while a request runs there, and is added again.

    When the request ends, the counts of the new candidate must not become
    negative. Otherwise more requests would be sent there than fit.
    """
    scheduler = build_scheduler()
    scheduler.submit(build_request('a', prompt_tokens=500), 0)
    sent = only_decision(scheduler.dispatch(0))
    scheduler.remove_endpoint(sent.endpoint, 0)
    scheduler.update_endpoint(build_view(sent.endpoint), 0)
    scheduler.finished('a', Outcome.COMPLETE, 1)
    candidate = scheduler.endpoints.records[sent.endpoint].candidate
    assert candidate.sent_requests == 0
    assert candidate.own_tokens == 0
    assert sum(candidate.pending) == 0
