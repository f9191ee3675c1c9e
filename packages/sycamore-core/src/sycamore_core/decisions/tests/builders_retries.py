"""A model of endpoints of which some die, for the tests of retries.

Each request takes one second at an endpoint. An attempt that is not begun
within three seconds is given up by the entry, but the endpoint still works on
it. Endpoints that are dead refuse at once; the entry goes on choosing them
until it has missed their heartbeats for three seconds.
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
NOTICE_SECONDS = 3
REFUSED_SECONDS = 0.05


def build_failure(**changes):
    fields = {
        'request': build_request(deadline=100),
        'reason': RetryReason.OFFER_LOST,
    }
    return FailedAttempt(**(fields | changes))


class RetryPolicy(abc.ABC):
    @abc.abstractmethod
    def first_try(self, now):
        """Note a first attempt."""

    @abc.abstractmethod
    def answered(self, now):
        """Note an answer."""

    @abc.abstractmethod
    def again_at(self, deadline, attempt, now):
        """Return when to try again, or None."""


class AtOnce(RetryPolicy):
    """Tries again at once until the time limit; the naive baseline."""

    def first_try(self, now):
        """Nothing to note."""

    def answered(self, now):
        """Nothing to note."""

    def again_at(self, deadline, attempt, now):
        return now if now < deadline else None


class Never(AtOnce):
    def again_at(self, deadline, attempt, now):
        """Give up."""


class Budgeted(RetryPolicy):
    def __init__(self, draw):
        self.budget = RetryBudget()
        self.draw = draw

    def first_try(self, now):
        self.budget.first_try(now)

    def answered(self, now):
        self.budget.answered(now)

    def again_at(self, deadline, attempt, now):
        failure = build_failure(
            request=build_request(deadline=deadline),
            attempt=attempt,
            execution=Execution.UNKNOWN,
            needed_seconds=SERVICE_SECONDS,
        )
        decided = self.budget.decide(failure, now, self.draw)
        again = decided.verdict == RetryVerdict.RETRY
        return decided.not_before if again else None


class Outage(msgspec.Struct, frozen=True):
    begins: float
    ends: float
    dead: frozenset


class RetryModel:
    """Runs arrivals against endpoints some of which die for a while."""

    def __init__(self, size, policy, outage, seed):
        self.busy_until = [0 for _ in range(size)]
        self.policy = policy
        self.outage = outage
        self.draw = random.Random(seed)
        self.attempts = 0
        self.answered = {}
        self.events = []

    def run(self, rate, seconds):
        """Return each answered arrival's time to answer, by arrival time."""
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
            self.policy.first_try(now)
        self.attempts += 1
        done, works = self._offer(self._choose(now), now)
        if works and done <= deadline:
            self.answered[arrived] = done - arrived
            heapq.heappush(self.events, (done, -1, None))
            return
        failed = min(done, deadline)
        again = self.policy.again_at(deadline, attempt + 1, failed)
        if again is not None and failed < deadline:
            heapq.heappush(self.events, (again, arrived, attempt + 1))

    def _offer(self, endpoint, now):
        """Return when the attempt ends, and whether by an answer."""
        outage = self.outage
        mortal = endpoint in outage.dead
        if mortal and outage.begins <= now < outage.ends:
            return now + REFUSED_SECONDS, False
        if mortal and now >= outage.ends:
            self.busy_until[endpoint] = max(
                outage.ends,
                self.busy_until[endpoint],
            )
        start = max(now, self.busy_until[endpoint])
        self.busy_until[endpoint] = start + SERVICE_SECONDS
        if mortal and now < outage.begins < start + SERVICE_SECONDS:
            self.busy_until[endpoint] = outage.ends
            return outage.begins, False
        if start - now > ATTEMPT_SECONDS:
            return now + ATTEMPT_SECONDS, False
        return start + SERVICE_SECONDS, True

    def _choose(self, now):
        outage = self.outage
        known = outage.begins + NOTICE_SECONDS <= now < outage.ends
        names = [
            number
            for number in range(len(self.busy_until))
            if not (known and number in outage.dead)
        ]
        first, second = self.draw.choices(names, k=2)
        return min(first, second, key=lambda one: self.busy_until[one])
