"""Retry budget with exponential backoff.

Load pattern: many attempts fail at the same time, for example when a third of
the endpoints fail together, while the other endpoints are already busy.

Without the budget, each failed attempt is retried immediately. The remaining
endpoints receive the lost share and the retries, more attempts time out, and
the load stays above capacity after the cause has ended (a retry storm).
"""

import enum
import math
import types

import msgspec

from ..states import Execution, RefusalReason, RetryReason
from .requests import RequestView
from .scheduler import Draw

#: Retries that each first attempt adds to the budget once it is answered. If
#: 0.2 were added before the answer, an overload at a load of 0.8 would outlast
#: its cause. Because 0.2 is added with the answer, the budget stops growing as
#: soon as answers stop.
RETRY_CREDIT = 0.2
#: Retries that a failure without a retry removes from the budget, so that a
#: spent budget recovers only while answers outnumber failures.
FAILURE_COST = 0.2
#: Largest debt that failures can cause, in retries; 25 answers repay it.
MAX_DEBT = 5.0
#: Time constant with which unused retries decay, in seconds. A fifth of the
#: first attempts of ten seconds covers a third of the requests in progress if
#: requests last six seconds.
BALANCE_DECAY_SECONDS = 10.0
#: Budget of an entry without traffic, in retries; it is restored over
#: `BALANCE_DECAY_SECONDS`. On an idle site, a single failure must not be final.
IDLE_RETRIES = 3.0
#: Upper bound of the first random backoff, in seconds; it doubles with each
#: attempt. It is twice the time in which an entry detects a refused connection.
FIRST_BACKOFF_SECONDS = 0.1
#: Largest upper bound of the backoff, in seconds: two load reports.
MAX_BACKOFF_SECONDS = 2.0
#: Maximum number of attempts that may cause work at an endpoint, including the
#: first attempt.
MAX_ATTEMPTS = 4
#: Doublings after which `MAX_BACKOFF_SECONDS` is reached.
_MAX_DOUBLINGS = 5


class RetryVerdict(enum.StrEnum):
    """Whether a failed attempt is retried, and the reason if not."""

    RETRY = 'retry'
    IN_DOUBT = 'in_doubt'
    DEADLINE = 'deadline'
    ATTEMPTS_SPENT = 'attempts_spent'
    BUDGET_SPENT = 'budget_spent'


class FailedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt that ended without an answer.

    Attributes
    ----------
    attempt
        Number of the attempt, from 1.
    execution
        Whether the request may have run.
    retry_after
        Delay that the endpoint has requested, in seconds; 0 if none.
    needed_seconds
        Minimum duration of another attempt, in seconds.
    """

    request: RequestView
    reason: RetryReason
    attempt: int = 1
    execution: Execution = Execution.NOT_RUN
    retry_after: float = 0
    needed_seconds: float = 0


class RetryDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the request is retried.

    Attributes
    ----------
    not_before
        Earliest time of the retry, on the monotonic clock, in seconds.
    refusal
        Reason sent to the caller if the request is not retried.
    retry_after
        Delay after which the caller may send the request again if the entry
        does not retry it, in seconds.
    """

    verdict: RetryVerdict
    not_before: float = 0
    refusal: RefusalReason | None = None
    retry_after: float = 0


class RetryBudget:
    """Number of retries that an entry may make, relative to its requests.

    Call `record_first_attempt` for each admitted request and `record_answer`
    when its first token arrives.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> for _ in range(10):
    ...     budget.record_first_attempt(now=0)
    ...     budget.record_answer(now=0)
    >>> round(budget.available(now=0), 1)
    5.0
    """

    def __init__(self) -> None:
        self.balance = IDLE_RETRIES
        self.decayed_at = -math.inf
        self.unanswered = 0

    def record_first_attempt(self, now: float) -> None:
        """Record a first attempt; its answer adds to the budget."""
        self.unanswered += 1

    def record_answer(self, now: float) -> None:
        """Record an answer, which adds a part of a retry to the budget."""
        if self.unanswered:
            self.unanswered -= 1
            self._decay_balance(now)
            self.balance += RETRY_CREDIT

    def available(self, now: float) -> float:
        """Return the number of retries that the budget allows now."""
        self._decay_balance(now)
        return self.balance

    def decide(
        self,
        failure: FailedAttempt,
        now: float,
        draw: Draw,
    ) -> RetryDecision:
        """Decide whether and when the request is retried."""
        wait = self._wait_seconds(failure, draw)
        verdict = self._verdict(failure, now, wait)
        if verdict == RetryVerdict.RETRY:
            return RetryDecision(verdict=verdict, not_before=now + wait)
        return RetryDecision(
            verdict=verdict,
            refusal=_REFUSALS[verdict],
            retry_after=max(failure.retry_after, _RETRY_AFTER_SECONDS[verdict]),
        )

    def _verdict(
        self,
        failure: FailedAttempt,
        now: float,
        wait: float,
    ) -> RetryVerdict:
        request = failure.request
        if failure.execution != Execution.NOT_RUN and not request.idempotent:
            # The request may have run. A second run could charge a deposit
            # twice, so the caller is told that the outcome is unknown.
            return RetryVerdict.IN_DOUBT
        if now + wait + failure.needed_seconds >= request.deadline:
            return RetryVerdict.DEADLINE
        if failure.reason == RetryReason.DECLINED:
            # A declined offer caused no work at the endpoint, so its retry is
            # limited only by the backoff. Every other retry uses the budget.
            return RetryVerdict.RETRY
        if failure.attempt >= MAX_ATTEMPTS:
            return RetryVerdict.ATTEMPTS_SPENT
        return self._spend(now)

    def _spend(self, now: float) -> RetryVerdict:
        if self.available(now) < 1:
            balance = max(-MAX_DEBT, self.balance - FAILURE_COST)
            self.balance = balance
            return RetryVerdict.BUDGET_SPENT
        self.balance -= 1
        return RetryVerdict.RETRY

    def _wait_seconds(self, failure: FailedAttempt, draw: Draw) -> float:
        doublings = min(failure.attempt - 1, _MAX_DOUBLINGS)
        backoff = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**doublings)
        return failure.retry_after + backoff * draw()

    def _decay_balance(self, now: float) -> None:
        # The balance decays exponentially towards IDLE_RETRIES.
        if now <= self.decayed_at:
            return
        remaining_share = math.exp(
            (self.decayed_at - now) / BALANCE_DECAY_SECONDS
        )
        self.balance = self.balance * remaining_share + IDLE_RETRIES * (
            1 - remaining_share
        )
        self.decayed_at = now


_REFUSALS = types.MappingProxyType(
    {
        RetryVerdict.IN_DOUBT: RefusalReason.OUTCOME_UNKNOWN,
        RetryVerdict.DEADLINE: RefusalReason.DEADLINE_UNREACHABLE,
        RetryVerdict.ATTEMPTS_SPENT: RefusalReason.BACKEND_FAILED,
        RetryVerdict.BUDGET_SPENT: RefusalReason.RETRY_BUDGET_SPENT,
    }
)
#: `retry_after` of each verdict, in seconds. A spent budget allows the next
#: retries after about half of `BALANCE_DECAY_SECONDS`.
_RETRY_AFTER_SECONDS = types.MappingProxyType(
    {
        RetryVerdict.IN_DOUBT: 0,
        RetryVerdict.DEADLINE: MAX_BACKOFF_SECONDS,
        RetryVerdict.ATTEMPTS_SPENT: MAX_BACKOFF_SECONDS,
        RetryVerdict.BUDGET_SPENT: BALANCE_DECAY_SECONDS / 2,
    }
)
