import itertools
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ...states import EndpointPhase, Outcome, RefusalReason, RetryReason
from ..scheduler import Queued, Refusal
from .builders import (
    build_huge,
    build_request,
    build_scheduler,
    build_view,
)

ENDPOINTS = 4
LONGEST_LIMIT = 30


class FairSchedulerMachine(RuleBasedStateMachine):
    """Each request ends once and leaves no work counted, in any event order."""

    def __init__(self):
        super().__init__()
        self.scheduler = build_scheduler(ENDPOINTS, weights=(3, 1, 1))
        self.random = random.Random(1)
        self.numbers = itertools.count()
        self.now = 0
        self.waiting = {}
        self.sent = {}
        self.ended = {}
        self.requests = {}

    def end(self, name, reason):
        assert name not in self.ended
        self.ended[name] = reason
        self.waiting.pop(name, None)
        self.sent.pop(name, None)

    def apply_decision(self, decision):
        name = decision.request_id
        if isinstance(decision, Refusal):
            assert decision.retry_after >= 0
            self.end(name, decision.reason)
            return
        pinned = self.waiting[name].pinned_to
        assert pinned in {None, decision.endpoint}
        assert decision.endpoint not in decision.members
        self.sent[name] = decision
        self.waiting.pop(name)

    def pick_sent(self):
        if not self.sent:
            return None
        return self.random.choice(sorted(self.sent))

    @rule(
        workspace=st.sampled_from(['w0', 'w1', 'w2']),
        tokens=st.sampled_from([500, 3000, 20_000, 90_000, 200_000, 900_000]),
        promise=st.sampled_from([0, 1, 10]),
        penalty=st.sampled_from([0, 1, 10]),
        pinned=st.sampled_from([None, None, 'e0', 'e1']),
    )
    def submit(self, workspace, tokens, promise, penalty, pinned):
        name = f'r{next(self.numbers)}'
        build = build_huge if tokens > 100_000 else build_request
        request = build(
            name,
            workspace=workspace,
            prompt_tokens=tokens,
            arrival=self.now,
            deadline=self.now + LONGEST_LIMIT,
            target_seconds=promise,
            penalty=penalty,
            pinned_to=pinned,
        )
        answer = self.scheduler.submit(request, self.now)
        if isinstance(answer, Queued):
            self.waiting[name] = request
            self.requests[name] = request
        else:
            self.end(name, answer.reason)

    @rule(seconds=st.floats(0, 2))
    def dispatch(self, seconds):
        self.now += seconds
        for decision in self.scheduler.dispatch(self.now):
            self.apply_decision(decision)

    @rule()
    def answer(self):
        name = self.pick_sent()
        if name is not None:
            endpoint = self.sent[name].endpoint
            self.scheduler.accepted(name, endpoint, self.now)
            self.scheduler.first_token(name, self.now)
            self.scheduler.finished(name, Outcome.COMPLETE, self.now)
            self.end(name, Outcome.COMPLETE)

    @rule()
    def decline(self):
        name = self.pick_sent()
        if name is not None:
            reason = RefusalReason.MEMORY_FULL
            decline = Refusal(name, reason, 1)
            self.apply_retry(name, self.scheduler.declined(decline, self.now))

    @rule()
    def lose(self):
        name = self.pick_sent()
        if name is not None:
            reason = RetryReason.ENDPOINT_SILENT
            self.apply_retry(name, self.scheduler.lost(name, reason, self.now))

    def apply_retry(self, name, answer):
        if isinstance(answer, Refusal):
            self.end(name, answer.reason)
        else:
            self.waiting[name] = self.requests[name]
            self.sent.pop(name)

    @rule()
    def abandon(self):
        if self.waiting:
            name = min(self.waiting)
            self.scheduler.finished(name, Outcome.CANCELLED, self.now)
            self.end(name, Outcome.CANCELLED)

    @rule(
        place=st.integers(0, ENDPOINTS - 1),
        phase=st.sampled_from(EndpointPhase),
        free=st.integers(0, 400_000),
        waiting=st.integers(0, 3),
    )
    def report(self, place, phase, free, waiting):
        view = build_view(
            f'e{place}',
            phase=phase,
            free_tokens=free,
            waiting=waiting,
        )
        self.scheduler.update_endpoint(view, self.now)

    @rule(place=st.integers(0, ENDPOINTS - 1))
    def remove(self, place):
        self.scheduler.remove_endpoint(f'e{place}', self.now)

    @invariant()
    def requests_are_neither_lost_nor_duplicated(self):
        snapshot = self.scheduler.snapshot(self.now)
        assert snapshot.waiting == len(self.waiting)
        assert snapshot.running == len(self.sent)
        assert sum(
            workspace.waiting for workspace in snapshot.workspaces
        ) == len(self.waiting)

    @invariant()
    def counts_at_endpoints_are_never_negative(self):
        for record in self.scheduler.endpoints.records.values():
            assert record.candidate.sent_requests >= 0
            assert record.candidate.own_tokens >= 0
            assert min(record.candidate.pending) >= 0

    def teardown(self):
        """After the last time limit, nothing waits and no memory is charged."""
        for name in tuple(self.sent):
            self.scheduler.finished(name, Outcome.TIMEOUT, self.now)
            self.end(name, Outcome.TIMEOUT)
        for decision in self.scheduler.dispatch(self.now + LONGEST_LIMIT):
            self.apply_decision(decision)
        assert not self.waiting
        for name in tuple(self.sent):
            self.scheduler.finished(name, Outcome.TIMEOUT, self.now)
        for record in self.scheduler.endpoints.records.values():
            assert record.candidate.own_tokens == 0
            assert not any(record.candidate.pending)


FairSchedulerMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
)
TestFairScheduler = FairSchedulerMachine.TestCase
