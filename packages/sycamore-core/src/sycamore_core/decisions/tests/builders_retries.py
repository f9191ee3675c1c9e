"""Model of endpoints of which some fail, for the tests of retries.

Each request takes one second at an endpoint. The entry cancels an attempt that
does not start within three seconds, but the endpoint still processes it. Failed
endpoints refuse immediately. The entry continues to choose them until it has
missed their heartbeats for three seconds.
"""

import abc
import heapq
import random

import msgspec

from sycamore_core.decisions.retries import (
    FailedAttempt,
    RetryBudget,
    RetryVerdict,
)
from sycamore_core.states import Execution, RetryReason

from .builders_placement import build_request

SERVICE_SECONDS = 1
ATTEMPT_SECONDS = 3
TIME_LIMIT = 10
DETECTION_SECONDS = 3
REFUSAL_SECONDS = 0.05


def build_failure(**changes):
    fields = {
        'request': build_request(deadline=100),
        'reason': RetryReason.OFFER_LOST,
    }
    return FailedAttempt(**(fields | changes))


class RetryPolicy(abc.ABC):
    @abc.abstractmethod
    def first_attempt(self, now):
        """Record a first attempt."""

    @abc.abstractmethod
    def answered(self, now):
        """Record an answer."""

    @abc.abstractmethod
    def retry_at(self, deadline, attempt, now):
        """Return the time of the retry, or None."""


class ImmediateRetries(RetryPolicy):
    """Immediate retries until the time limit; the naive baseline."""

    def first_attempt(self, now):
        """Do nothing."""

    def answered(self, now):
        """Do nothing."""

    def retry_at(self, deadline, attempt, now):
        return now if now < deadline else None


class NoRetries(ImmediateRetries):
    def retry_at(self, deadline, attempt, now):
        """Return None: never retry."""


class BudgetedRetries(RetryPolicy):
    def __init__(self, draw):
        self.budget = RetryBudget()
        self.draw = draw

    def first_attempt(self, now):
        self.budget.record_first_attempt(now)

    def answered(self, now):
        self.budget.record_answer(now)

    def retry_at(self, deadline, attempt, now):
        failure = build_failure(
            request=build_request(deadline=deadline),
            attempt=attempt,
            execution=Execution.UNKNOWN,
            needed_seconds=SERVICE_SECONDS,
        )
        decided = self.budget.decide(failure, now, self.draw)
        retry = decided.verdict == RetryVerdict.RETRY
        return decided.not_before if retry else None


class Outage(msgspec.Struct, frozen=True):
    begin: float
    end: float
    failing: frozenset


class RetryModel:
    """Run of arrivals against endpoints of which some fail temporarily."""

    def __init__(self, size, policy, outage, seed):
        self.busy_until = [0 for _ in range(size)]
        self.policy = policy
        self.outage = outage
        self.draw = random.Random(seed)
        self.attempts = 0
        self.answered = {}
        self.events = []

    def run(self, rate, seconds):
        """Return the time to answer of each answered request, by arrival."""
        at = 0
        while at < seconds:
            at += self.draw.expovariate(rate)
            heapq.heappush(self.events, (at, at, 0))
        self.arrivals = [event[1] for event in self.events]
        while self.events:
            now, arrived, attempt = heapq.heappop(self.events)
            if attempt is None:
                self.policy.answered(now)
            else:
                self._attempt(now, arrived, attempt)
        return self.answered

    def answered_share(self, begin, end):
        arrived = [at for at in self.arrivals if begin <= at < end]
        return sum(1 for at in arrived if at in self.answered) / len(arrived)

    def _attempt(self, now, arrived, attempt):
        deadline = arrived + TIME_LIMIT
        if attempt == 0:
            self.policy.first_attempt(now)
        self.attempts += 1
        done, is_answered = self._offer(self._choose(now), now)
        if is_answered and done <= deadline:
            self.answered[arrived] = done - arrived
            heapq.heappush(self.events, (done, -1, None))
            return
        failed = min(done, deadline)
        retry = self.policy.retry_at(deadline, attempt + 1, failed)
        if retry is not None and failed < deadline:
            heapq.heappush(self.events, (retry, arrived, attempt + 1))

    def _offer(self, endpoint, now):
        """Return the end of the attempt, and whether it was answered."""
        outage = self.outage
        fails = endpoint in outage.failing
        if fails and outage.begin <= now < outage.end:
            return now + REFUSAL_SECONDS, False
        if fails and now >= outage.end:
            self.busy_until[endpoint] = max(
                outage.end,
                self.busy_until[endpoint],
            )
        start = max(now, self.busy_until[endpoint])
        self.busy_until[endpoint] = start + SERVICE_SECONDS
        if fails and now < outage.begin < start + SERVICE_SECONDS:
            self.busy_until[endpoint] = outage.end
            return outage.begin, False
        if start - now > ATTEMPT_SECONDS:
            return now + ATTEMPT_SECONDS, False
        return start + SERVICE_SECONDS, True

    def _choose(self, now):
        outage = self.outage
        is_detected = outage.begin + DETECTION_SECONDS <= now < outage.end
        names = [
            number
            for number in range(len(self.busy_until))
            if not (is_detected and number in outage.failing)
        ]
        first, second = self.draw.choices(names, k=2)
        return min(
            first, second, key=lambda endpoint: self.busy_until[endpoint]
        )
