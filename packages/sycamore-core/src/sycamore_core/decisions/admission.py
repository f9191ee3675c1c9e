"""Who is let into the queue, who is refused, and when to come back.

Load pattern: more work than the fleet can do, for seconds or for hours.

Without it: the queue grows until every request is served after its caller has
gone; engines are full and nothing arrives in time, and after the burst the
fleet works off answers that nobody reads.

Above capacity, a share cannot hold all that its workspace sends. The fuller its
queue, the higher a request must rank by the penalty it owes for its cost among
what the workspace sent lately; so the penalties of what is refused are low.

A request is refused at once if the work before it in its own workspace, at the
rate to which its share entitles it, makes it miss its time limit or, with work
that could still be in time behind it, its target. What others send does not
count, so a hot workspace is refused alone. A final answer is never held back:
the caller is told at once and when to come back.
"""

import math

import msgspec

from ..states import RefusalReason
from .requests import RequestView
from .scheduler import Draw

#: Part of the target that may be planned for; the rest is for the errors of
#: the estimates, which are old by a report.
TARGET_PART = 0.8
#: Tightness from which only the better of what comes is let in, and at which
#: nothing is. At one the next request let in breaks a promise. In the runs of
#: benchmarks/decisions_under_load.py a quarter and one owed least at 2 and 5
#: times the capacity, of (1/2, 1), (1/4, 1), (1/4, 3/4) and (1/10, 1/2).
PICKY_FROM = 0.25
PICKY_TO = 1.0
#: Shortest and longest time after which a caller is asked back, in seconds.
SHORTEST_RETRY = 0.5
LONGEST_RETRY = 60.0
#: Callers refused together come back spread over this part of their wait.
RETRY_SPREAD = 0.5


class WaitEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """What a request would meet.

    Attributes
    ----------
    ahead
        Work of its workspace before it, in engine seconds.
    rate
        Engine seconds a second that its workspace is entitled to.
    first_token_seconds
        Time from leaving the queue to the first token.
    answer_seconds
        Time from the first token to the last.
    share
        Part of the capacity that its workspace has now, from 0 to 1.
    tightness
        Part of the time to the tightest promise of its workspace that is
        spoken for; above 1 some promise is broken.
    rank
        Part of what its workspace sent lately that owes less for its cost.
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
        """Time in the queue."""
        return self.ahead / self.rate

    @property
    def until_first_token(self) -> float:
        """Time until the first token."""
        return self.queue_seconds + self.first_token_seconds


class Verdict(msgspec.Struct, frozen=True):
    """Whether a request is let in.

    Attributes
    ----------
    reason
        Why not; None if it is let in.
    """

    reason: RefusalReason | None = None
    retry_after: float = 0
    detail: str = ''


def judge(
    request: RequestView,
    estimate: WaitEstimate,
    now: float,
    draw: Draw,
) -> Verdict:
    """Decide whether a request is let into the queue."""
    if request.deadline <= now:
        return Verdict(RefusalReason.DEADLINE_PASSED, 0, 'time limit is past')
    left = request.deadline - now
    if estimate.first_token_seconds > left:
        return Verdict(
            RefusalReason.DEADLINE_UNREACHABLE,
            0,
            f'{left:.2f} s left, the prompt alone takes '
            f'{estimate.first_token_seconds:.2f} s',
        )
    if not estimate.ahead:
        return Verdict()
    excess = estimate.until_first_token + estimate.answer_seconds - left
    if excess > 0:
        return Verdict(
            RefusalReason.DEADLINE_UNREACHABLE,
            retry_seconds(excess, draw),
            _words(estimate, left),
        )
    return _judge_target(request, estimate, now, draw)


def _judge_target(
    request: RequestView,
    estimate: WaitEstimate,
    now: float,
    draw: Draw,
) -> Verdict:
    if not request.target_seconds:
        return Verdict()
    wanted = (estimate.tightness - PICKY_FROM) / (PICKY_TO - PICKY_FROM)
    if estimate.rank < wanted:
        return Verdict(
            RefusalReason.OVERLOADED,
            retry_seconds(estimate.queue_seconds, draw),
            _rank_words(estimate),
        )
    allowed = request.arrival + request.target_seconds * TARGET_PART - now
    if estimate.until_first_token <= allowed:
        return Verdict()
    if estimate.first_token_seconds > allowed:
        # It misses its target on an idle fleet too. The queue is not the
        # reason, and its caller still wants the answer.
        return Verdict()
    spare = allowed - estimate.first_token_seconds
    return Verdict(
        RefusalReason.OVERLOADED,
        retry_seconds(estimate.queue_seconds - spare, draw),
        _words(estimate, allowed),
    )


def retry_seconds(excess: float, draw: Draw) -> float:
    """Return when to come back if the queue is too long by `excess` seconds.

    The queue drains a second of work a second, so coming back after the excess
    finds it short enough, unless others come meanwhile.
    """
    wait = min(max(excess, SHORTEST_RETRY), LONGEST_RETRY)
    return round(wait * (1 + RETRY_SPREAD * draw()), 3)


def _rank_words(estimate: WaitEstimate) -> str:
    better = 1 - estimate.rank
    spoken_for = estimate.tightness
    return (
        f'{spoken_for:.2f} of the time to the promises of this workspace is '
        f'spoken for (share {estimate.share:.3f}), and {better:.2f} of what '
        'it sent lately owes more for its cost'
    )


def _words(estimate: WaitEstimate, allowed: float) -> str:
    rate = math.floor(estimate.rate * 1000) / 1000
    return (
        f'{estimate.ahead:.2f} engine seconds of this workspace wait before it '
        f'at {rate} a second (share {estimate.share:.3f}): first token in '
        f'{estimate.until_first_token:.2f} s, {allowed:.2f} s allowed'
    )
