"""Whether a request is tried again, and when.

Load pattern: many attempts fail in the same moment, as when a third of the
endpoints die at once, while the rest are already busy.

Without it: every failed attempt comes back at once, the remaining endpoints
get the lost share plus the repeats, more attempts fail, and the load stays
above capacity after the cause is gone.
"""

import enum
import math

import msgspec

from ..states import Execution, RefusalReason, RetryReason
from .requests import RequestView
from .scheduler import Draw

#: Retries per first try that are paid for. A fifth keeps the extra load at
#: 20 % even if every attempt fails.
RETRY_SHARE = 0.2
#: Time over which unused retries are forgotten, in seconds.
BALANCE_SECONDS = 10.0
#: Retries that a quiet entry may always make; it refills in `BALANCE_SECONDS`.
QUIET_RETRIES = 3.0
#: First back-off and the longest, in seconds.
FIRST_BACKOFF = 0.05
LONGEST_BACKOFF = 2.0
#: Attempts of one request at most, the first one counted.
MAX_ATTEMPTS = 4


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
    """

    request: RequestView
    reason: RetryReason
    attempt: int = 1
    execution: Execution = Execution.NOT_RUN
    retry_after: float = 0


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
    """Retries that an entry may still make."""

    def __init__(self) -> None:
        self.balance = QUIET_RETRIES
        self.updated_at = -math.inf

    def first_try(self, now: float) -> None:
        """Note a first attempt, which pays for a part of a retry."""
        self.balance += RETRY_SHARE

    def decide(
        self,
        failure: FailedAttempt,
        now: float,
        draw: Draw,
    ) -> RetryDecision:
        """Decide whether and when the request is tried again."""
        request = failure.request
        if failure.execution != Execution.NOT_RUN and not request.idempotent:
            return RetryDecision(
                verdict=RetryVerdict.IN_DOUBT,
                refusal=RefusalReason.OUTCOME_UNKNOWN,
            )
        backoff = min(LONGEST_BACKOFF, FIRST_BACKOFF * 2**failure.attempt)
        wait = max(failure.retry_after, backoff * draw())
        if now + wait >= request.deadline:
            return RetryDecision(
                verdict=RetryVerdict.DEADLINE,
                refusal=RefusalReason.DEADLINE_UNREACHABLE,
            )
        if self.balance < 1:
            return RetryDecision(
                verdict=RetryVerdict.BUDGET_SPENT,
                refusal=RefusalReason.RETRY_BUDGET_SPENT,
                retry_after=BALANCE_SECONDS,
            )
        self.balance -= 1
        return RetryDecision(
            verdict=RetryVerdict.RETRY,
            not_before=now + wait,
        )
