"""The queue of one workspace, ordered by due time, with penalty densities.

Load pattern: a workspace that sends more than its share, with a mix of short
and long targets and of high and low penalties.

Without the sum of costs by target time, a request with a short target is
refused because of requests that it would overtake. Without the rank by penalty
density, the first requests are served and the total penalty is higher than
necessary.
"""

import bisect
import heapq
import math
from collections import deque

import msgspec

from ..ids import RequestId, WorkspaceId
from .requests import RequestView


class WaitingRequest(msgspec.Struct, kw_only=True, eq=False):
    """A request in a queue.

    Attributes
    ----------
    due
        Time that orders the requests of a workspace, see `ordering.due_time`.
    promised_at
        Time by which the first token is due: the earlier of the target time and
        `due`, in seconds.
    cost
        Estimated cost, in engine seconds.
    within_share
        Whether its workspace had no other waiting request on arrival.
    serve_late
        Whether the request is served although it misses its target.
    is_queued
        Whether the request is still in its queue.
    attempt
        Number of the next attempt, from 1.
    """

    request: RequestView
    due: float
    promised_at: float
    cost: float
    within_share: bool = False
    serve_late: bool = False
    is_queued: bool = False
    attempt: int = 1

    @property
    def density(self) -> float:
        """Penalty density: penalty of the request per engine second."""
        return self.request.penalty / self.cost


#: Sum of costs that counts as zero, in engine seconds; below any cost.
MIN_SLOT_COST = 1e-6

#: Width of the slots of promised times, in seconds: an eighth of a target of
#: two seconds.
SLOT_SECONDS = 0.25
#: Number of recent densities kept per flow: enough to separate the upper half
#: from the lower, with 1 KB for each of 2,400 workspaces.
RECENT_DENSITIES = 32


class Flow:
    """The queue of one workspace.

    Parameters
    ----------
    weight
        Share relative to the other workspaces.

    Attributes
    ----------
    virtual_finish
        Finish tag: the virtual time up to which the flow has been charged.
    is_active
        Whether the flow takes turns.
    lending_credit
        Cost of the turns that the flow may lend, in engine seconds.
    lent_fraction
        Moving average of the fraction of its turns that the flow has lent.
    refused_at
        Time of the last refusal by admission control, in seconds.
    costs
        Cost of the waiting requests by slot of promised time, in engine
        seconds.
    densities
        Penalty densities of the recent requests, sorted.
    """

    def __init__(self, workspace: WorkspaceId, weight: float) -> None:
        self.workspace = workspace
        self.weight = weight
        self.virtual_finish: float = 0
        self.is_active = False
        self.lending_credit: float = 0
        self.lent_fraction: float = 0
        self.refused_at = -math.inf
        self.costs: dict[int, float] = {}
        self.densities: list[float] = []
        self._by_due: list[tuple[float, RequestId, WaitingRequest]] = []
        self._recent: deque[float] = deque()

    def push(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        waiting.is_queued = True
        entry = (waiting.due, waiting.request.request_id, waiting)
        heapq.heappush(self._by_due, entry)
        slot = _slot(waiting.promised_at)
        self.costs[slot] = self.costs.get(slot, 0) + waiting.cost

    def head(self) -> WaitingRequest | None:
        """Return the request that is due first, or None."""
        while self._by_due:
            waiting = self._by_due[0][-1]
            if waiting.is_queued:
                return waiting
            heapq.heappop(self._by_due)
        return None

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request; its heap entry is dropped by `head` later."""
        waiting.is_queued = False
        slot = _slot(waiting.promised_at)
        left = self.costs.pop(slot) - waiting.cost
        # Rounding errors leave a remainder that would keep the slot forever.
        if left > MIN_SLOT_COST:
            self.costs[slot] = left

    def cost_before(self, promised_at: float) -> float:
        """Return the cost of the requests promised by a time.

        The unit is engine seconds. Requests in the slot of `promised_at` are
        included.
        """
        last = _slot(promised_at)
        before = [slot for slot in self.costs if slot <= last]
        return sum(map(self.costs.__getitem__, before))

    def tightness(self, rate: float, now: float) -> float:
        """Return the highest ratio of queued work to time left.

        The ratio is computed for each promised time, with the work that is due
        by then. Above 1, some target is missed.

        Parameters
        ----------
        rate
            Engine seconds per second that the flow is entitled to.
        """
        total: float = 0
        tightest: float = 0
        for slot in sorted(self.costs):
            total += self.costs[slot]
            left = slot * SLOT_SECONDS - now
            tightest = max(tightest, total / max(SLOT_SECONDS, left))
        return tightest / rate

    def record_rank(self, density: float) -> float:
        """Return the fraction of recent densities below this one.

        An equal density counts half, so that not all requests are refused if
        all are equal. The density is then added to the recent densities.
        """
        place = bisect.bisect_left(self.densities, density)
        equal = bisect.bisect_right(self.densities, density) - place
        known = len(self.densities)
        self.densities.insert(place, density)
        self._recent.append(density)
        if known >= RECENT_DENSITIES:
            oldest = self._recent.popleft()
            self.densities.pop(bisect.bisect_left(self.densities, oldest))
        if not known:
            return 1
        return (place + equal / 2) / known


def _slot(promised_at: float) -> int:
    return int(promised_at / SLOT_SECONDS)
