"""Admission control: admits a request to the queue or refuses it.

Load pattern: more work than the fleet can do, for seconds or for hours.

Without admission control, the queue grows until every request is served after
its caller has disconnected. The engines are full and no answer arrives in
time. After the burst, the fleet still computes answers that nobody reads.

Above capacity, the share of a workspace is too small for all its requests. The
fuller its queue, the higher a request must rank by penalty density among the
recent requests of the workspace. The penalty density is the penalty for missing
the target, divided by the engine seconds of the request. The refused requests
are therefore the ones with a low penalty density.

A request is refused at once if it would miss its time limit, or if the queue
would make it miss its target. The estimate counts the work of the same
workspace that is served before the request, at the rate of the share. Requests
of other workspaces do not count, so that only the overloading workspace is
refused. The refusal is sent at once and says when to retry.
"""

import math

import msgspec

from ..states import RefusalReason
from .requests import RequestView
from .scheduler import Draw

#: Fraction of the target that a wait may use up. The rest is a margin for
#: errors of the estimates, which are one report old.
TARGET_FRACTION = 0.8
#: Tightness from which requests of the lowest rank are refused, and tightness
#: at which all except those of the highest rank are refused. At 1 the next
#: admitted request makes another request miss its target. Of (1/2, 1),
#: (1/4, 1), (1/4, 3/4) and (1/10, 1/2), the pair (1/4, 1) has the lowest total
#: penalty at 2 and 5 times the capacity in benchmarks/decisions_under_load.py.
SHEDDING_START_TIGHTNESS = 0.25
SHEDDING_FULL_TIGHTNESS = 1.0
#: Bounds of the retry delay given to a refused caller, in seconds.
MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 60.0
#: Random part added to the retry delay, as a fraction of it, so that callers
#: refused together do not all retry at once.
RETRY_JITTER = 0.5


class WaitEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """Estimated waiting and service times of a request.

    Attributes
    ----------
    ahead
        Work of the same workspace that is served before the request, in engine
        seconds.
    rate
        Engine seconds per second that the workspace is entitled to.
    first_token_seconds
        Time from leaving the queue to the first token, in seconds.
    answer_seconds
        Time from the first token to the last, in seconds.
    share
        Fraction of the capacity that the workspace has now, from 0 to 1.
    tightness
        Time that the queued work of the workspace takes at `rate`, divided by
        the time left until it is due; the highest ratio of all due times.
        Above 1, some target is missed.
    rank
        Fraction of the recent requests of the workspace with a lower penalty
        density, from 0 to 1.
    """

    ahead: float
    rate: float
    first_token_seconds: float
    answer_seconds: float
    share: float
    tightness: float = 0
    rank: float = 1

    @property
    def queue_seconds(self) -> float:
        """Time in the queue, in seconds."""
        return self.ahead / self.rate

    @property
    def until_first_token(self) -> float:
        """Time from now to the first token, in seconds."""
        return self.queue_seconds + self.first_token_seconds


class AdmissionDecision(msgspec.Struct, frozen=True):
    """Whether a request is admitted to the queue.

    Attributes
    ----------
    reason
        Reason of the refusal; None if the request is admitted.
    retry_after
        Time after which the caller may retry, in seconds.
    detail
        Figures that the decision is based on, as a text for an operator.
    """

    reason: RefusalReason | None = None
    retry_after: float = 0
    detail: str = ''


def decide_admission(
    request: RequestView,
    estimate: WaitEstimate,
    now: float,
    draw: Draw,
) -> AdmissionDecision:
    """Decide whether a request is admitted to the queue."""
    if request.deadline <= now:
        return AdmissionDecision(
            RefusalReason.DEADLINE_PASSED,
            0,
            'time limit is past',
        )
    remaining = request.deadline - now
    if estimate.first_token_seconds > remaining:
        return AdmissionDecision(
            RefusalReason.DEADLINE_UNREACHABLE,
            0,
            f'{remaining:.2f} s left, the prompt alone takes '
            f'{estimate.first_token_seconds:.2f} s',
        )
    if not estimate.ahead:
        return AdmissionDecision()
    excess = estimate.until_first_token + estimate.answer_seconds - remaining
    if excess > 0:
        return AdmissionDecision(
            RefusalReason.DEADLINE_UNREACHABLE,
            retry_seconds(excess, draw),
            _wait_message(estimate, remaining),
        )
    return _check_target(request, estimate, now, draw)


def _check_target(
    request: RequestView,
    estimate: WaitEstimate,
    now: float,
    draw: Draw,
) -> AdmissionDecision:
    if not request.target_seconds:
        return AdmissionDecision()
    required_rank = (estimate.tightness - SHEDDING_START_TIGHTNESS) / (
        SHEDDING_FULL_TIGHTNESS - SHEDDING_START_TIGHTNESS
    )
    if estimate.rank < required_rank:
        return AdmissionDecision(
            RefusalReason.OVERLOADED,
            retry_seconds(estimate.queue_seconds, draw),
            _rank_message(estimate),
        )
    allowed = request.arrival + request.target_seconds * TARGET_FRACTION - now
    if estimate.until_first_token <= allowed:
        return AdmissionDecision()
    if estimate.first_token_seconds > allowed:
        # The request misses its target on an idle fleet too. The queue is not
        # the cause, and the caller still wants the answer.
        return AdmissionDecision()
    spare = allowed - estimate.first_token_seconds
    return AdmissionDecision(
        RefusalReason.OVERLOADED,
        retry_seconds(estimate.queue_seconds - spare, draw),
        _wait_message(estimate, allowed),
    )


def retry_seconds(excess: float, draw: Draw) -> float:
    """Return the retry delay if the queue is too long by `excess` seconds.

    The waiting time falls by one second per second. After `excess` seconds the
    queue is short enough, unless other requests arrive in the meantime.
    """
    wait = min(max(excess, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
    return round(wait * (1 + RETRY_JITTER * draw()), 3)


def _rank_message(estimate: WaitEstimate) -> str:
    fraction_above = 1 - estimate.rank
    tightness = estimate.tightness
    return (
        f'{tightness:.2f} of the time to the promises of this workspace is '
        f'spoken for (share {estimate.share:.3f}), and {fraction_above:.2f} of '
        'what it sent lately owes more for its cost'
    )


def _wait_message(estimate: WaitEstimate, allowed: float) -> str:
    rate = math.floor(estimate.rate * 1000) / 1000
    return (
        f'{estimate.ahead:.2f} engine seconds of this workspace wait before it '
        f'at {rate} a second (share {estimate.share:.3f}): first token in '
        f'{estimate.until_first_token:.2f} s, {allowed:.2f} s allowed'
    )
