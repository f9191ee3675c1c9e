"""Which waiting requests go before another, and which one is displaced.

Load pattern: the queue of an entry is full of long prompts when a burst of
short, urgent requests arrives.

Without displacement, the urgent requests are refused while less urgent requests
that arrived earlier occupy the queue.
"""

from collections.abc import Iterable

import msgspec

from ...ids import RequestId
from ...routing import Rank, WaitingReport

#: Largest number of waiting requests that an entry can have of a service. A
#: report with a higher number is invalid, and must not stop all admissions.
_MAX_WAITING = 200


class WaitingCall(msgspec.Struct, frozen=True, kw_only=True):
    """A request in the queue of this entry.

    Attributes
    ----------
    position
        Usage of its workspace in shares; the highest goes last within a rank.
    arrived_at
        Time of arrival on the monotonic clock, in seconds.
    """

    request_id: RequestId
    rank: Rank
    arrived_at: float
    position: float = 0


def count_before(rank: Rank, reports: Iterable[WaitingReport]) -> int:
    """Return how many reported requests go before a new one.

    Requests of the same rank have arrived earlier, so they count as well.

    Examples
    --------
    >>> reports = [
    ...     WaitingReport('chat', Rank(0, 0), 4, 0.1),
    ...     WaitingReport('chat', Rank(0, 2), 9, 0.1),
    ... ]
    >>> count_before(Rank(0, 1), reports)
    4
    """
    return count_waiting(report for report in reports if report.rank <= rank)


def count_waiting(reports: Iterable[WaitingReport]) -> int:
    """Return how many requests wait according to some reports."""
    return sum(max(0, min(report.count, _MAX_WAITING)) for report in reports)


def find_displaced(
    waiting: Iterable[WaitingCall],
    rank: Rank,
) -> WaitingCall | None:
    """Return the waiting request that a new request displaces.

    It is the least urgent one; within a rank the one whose workspace is
    furthest above its share, and then the one that arrived last. None if no
    waiting request is less urgent than the new one.

    Parameters
    ----------
    waiting
        All requests of a full queue.
    rank
        Rank of the new request.
    """
    last = max(waiting, key=_order, default=None)
    if last is None or last.rank <= rank:
        return None
    return last


def _order(call: WaitingCall) -> tuple[Rank, float, float]:
    return (call.rank, call.position, call.arrived_at)
