"""Whether a request is tried again, and when.

Load pattern: many attempts fail in the same moment, as when a third of the
endpoints die at once, while the rest are already busy.

Without it: every failed attempt comes back at once, the remaining endpoints
get the lost share plus the repeats, more attempts time out, and the load
stays above capacity after the cause is gone.
"""

import enum
import math
import types

import msgspec

from ..states import Execution, RefusalReason, RetryReason
from .requests import RequestView
from .scheduler import Draw

#: Retries that each first try pays for once it is answered. A fifth that is
#: paid in advance keeps an overload at 0.8 load alive after its cause is gone;
#: paid by answers, it dries up as soon as answers fail to come.
RETRY_SHARE = 0.2
#: What a failure that is not tried again takes back, so that a spent budget
#: fills only while answers outnumber failures.
FAILURE_COST = 0.2
#: Debt that failures can run up, in retries: 25 answers later it is paid.
LARGEST_DEBT = 5.0
#: Time over which unused retries are forgotten, in seconds. A fifth of ten
#: seconds of first tries covers a third of what is in progress if requests
#: last six seconds.
BALANCE_SECONDS = 10.0
#: Retries that an entry without traffic may make; as many again are paid for
#: in `BALANCE_SECONDS`. One failure must not be final on a quiet site.
QUIET_RETRIES = 3.0
#: Bound of the first random wait, in seconds; it doubles with each attempt.
#: Twice the time in which an entry learns that a connection is refused.
FIRST_BACKOFF = 0.1
#: Bound beyond which it does not double, in seconds: two load reports.
LONGEST_BACKOFF = 2.0
#: Attempts at most that may have cost an endpoint work, the first included.
MAX_ATTEMPTS = 4
#: Doublings after which `LONGEST_BACKOFF` is reached.
_DOUBLINGS = 5


class RetryVerdict(enum.StrEnum):
    """What follows an attempt that did not answer."""

    RETRY = 'retry'
    IN_DOUBT = 'in_doubt'
    DEADLINE = 'deadline'
    ATTEMPTS_SPENT = 'attempts_spent'
    BUDGET_SPENT = 'budget_spent'


class FailedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt that is over without an answer.

    Attributes
    ----------
    attempt
        Its number, from 1.
    execution
        Whether it may have run.
    retry_after
        When the endpoint would take it, in seconds; 0 if it did not say.
    needed_seconds
        Time that another attempt needs at least, in seconds.
    """

    request: RequestView
    reason: RetryReason
    attempt: int = 1
    execution: Execution = Execution.NOT_RUN
    retry_after: float = 0
    needed_seconds: float = 0


class RetryDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the request is tried again.

    Attributes
    ----------
    not_before
        When, on the monotonic clock, if it is tried again.
    refusal
        What the caller is told, if it is not.
    retry_after
        When the caller may come back, in seconds, if it is not.
    """

    verdict: RetryVerdict
    not_before: float = 0
    refusal: RefusalReason | None = None
    retry_after: float = 0


class RetryBudget:
    """Retries that an entry may still make, as a share of its first tries.

    Call `first_try` for each request that is admitted and `answered` when its
    first token comes.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> for _ in range(10):
    ...     budget.first_try(now=0)
    ...     budget.answered(now=0)
    >>> round(budget.left(now=0), 1)
    5.0
    """

    def __init__(self) -> None:
        self.balance = QUIET_RETRIES
        self.settled_at = -math.inf
        self.unpaid = 0

    def first_try(self, now: float) -> None:
        """Note a first attempt, which pays once something is answered."""
        self.unpaid += 1

    def answered(self, now: float) -> None:
        """Note an answer, which pays for a part of a retry."""
        if self.unpaid:
            self.unpaid -= 1
            self._settle(now)
            self.balance += RETRY_SHARE

    def left(self, now: float) -> float:
        """Return how many retries could be made now."""
        self._settle(now)
        return self.balance

    def decide(
        self,
        failure: FailedAttempt,
        now: float,
        draw: Draw,
    ) -> RetryDecision:
        """Decide whether and when the request is tried again."""
        wait = self._wait(failure, draw)
        verdict = self._verdict(failure, now, wait)
        if verdict == RetryVerdict.RETRY:
            return RetryDecision(verdict=verdict, not_before=now + wait)
        return RetryDecision(
            verdict=verdict,
            refusal=_REFUSALS[verdict],
            retry_after=max(failure.retry_after, _COME_BACK[verdict]),
        )

    def _verdict(
        self,
        failure: FailedAttempt,
        now: float,
        wait: float,
    ) -> RetryVerdict:
        request = failure.request
        if failure.execution != Execution.NOT_RUN and not request.idempotent:
            # It may have run. A second run would charge a deposit twice, so
            # the caller is told that the outcome is not known instead.
            return RetryVerdict.IN_DOUBT
        if now + wait + failure.needed_seconds >= request.deadline:
            return RetryVerdict.DEADLINE
        if failure.reason == RetryReason.DECLINED:
            return RetryVerdict.RETRY
        if failure.attempt >= MAX_ATTEMPTS:
            return RetryVerdict.ATTEMPTS_SPENT
        return self._pay(now)

    def _pay(self, now: float) -> RetryVerdict:
        # An offer that was declined cost the endpoint no work and is held
        # back by its wait alone; every other retry is paid for.
        if self.left(now) < 1:
            owed = max(-LARGEST_DEBT, self.balance - FAILURE_COST)
            self.balance = owed
            return RetryVerdict.BUDGET_SPENT
        self.balance -= 1
        return RetryVerdict.RETRY

    def _wait(self, failure: FailedAttempt, draw: Draw) -> float:
        doublings = min(failure.attempt - 1, _DOUBLINGS)
        backoff = min(LONGEST_BACKOFF, FIRST_BACKOFF * 2**doublings)
        return failure.retry_after + backoff * draw()

    def _settle(self, now: float) -> None:
        # The balance nears QUIET_RETRIES from either side.
        if now <= self.settled_at:
            return
        kept = math.exp((self.settled_at - now) / BALANCE_SECONDS)
        self.balance = self.balance * kept + QUIET_RETRIES * (1 - kept)
        self.settled_at = now


_REFUSALS = types.MappingProxyType(
    {
        RetryVerdict.IN_DOUBT: RefusalReason.OUTCOME_UNKNOWN,
        RetryVerdict.DEADLINE: RefusalReason.DEADLINE_UNREACHABLE,
        RetryVerdict.ATTEMPTS_SPENT: RefusalReason.BACKEND_FAILED,
        RetryVerdict.BUDGET_SPENT: RefusalReason.RETRY_BUDGET_SPENT,
    }
)
#: When a caller may come back, in seconds. After a spent budget the balance
#: needs about this long to pay for the next retries.
_COME_BACK = types.MappingProxyType(
    {
        RetryVerdict.IN_DOUBT: 0,
        RetryVerdict.DEADLINE: LONGEST_BACKOFF,
        RetryVerdict.ATTEMPTS_SPENT: LONGEST_BACKOFF,
        RetryVerdict.BUDGET_SPENT: BALANCE_SECONDS / 2,
    }
)
