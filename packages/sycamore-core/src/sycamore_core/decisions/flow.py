"""The queue of one workspace: by due time, and by what is owed for its cost.

Load pattern: a workspace that sends more than its share, in which requests
with a short and with a long target, and with high and low penalties, mix.

Without the sum by due time, a request with a short target is refused because
of others that it would overtake. Without the order by penalty, those that came
first are served, and the penalties owed are higher than they need be.
"""

import bisect
import heapq
import math
from collections import deque

import msgspec

from ..ids import RequestId, WorkspaceId
from .requests import RequestView


class Waiting(msgspec.Struct, kw_only=True, eq=False):
    """A request in a queue.

    Attributes
    ----------
    due
        Rank within its workspace, see `ordering.due_time`.
    promised
        When its first token is promised; its rank if nothing is.
    cost
        Estimated cost, in engine seconds.
    within_share
        Whether nothing else of its workspace waited when it came.
    spared
        Whether it is served although it will be too late for its target.
    queued
        False once it has left the queue.
    attempt
        Number of the attempt that comes next, from 1.
    """

    request: RequestView
    due: float
    promised: float
    cost: float
    within_share: bool = False
    spared: bool = False
    queued: bool = False
    attempt: int = 1

    @property
    def density(self) -> float:
        """Penalty that is owed if it is not served, per engine second."""
        return self.request.penalty / self.cost


#: Cost that is taken for none, in engine seconds; below that of any request.
LEAST_LEFT = 1e-6

#: Width of the slots of promised time, in seconds: an eighth of a target of two
#: seconds, beside which a wait is judged.
SLOT_SECONDS = 0.25
#: Densities of a flow that are remembered: enough to tell the better half from
#: the other, and 1 KB for each of 2,400 workspaces.
RECENT_DENSITIES = 32


class Flow:
    """The queue of one workspace.

    Parameters
    ----------
    weight
        Share relative to the other workspaces.

    Attributes
    ----------
    finish
        Virtual time up to which it has been charged.
    costs
        Cost of what waits, by slot of promised time, in engine seconds.
    densities
        Densities of what has come lately, sorted.
    in_turns
        Whether it takes part in the turns.
    lendable
        Cost of the turns that it may lend, in engine seconds.
    lent_part
        Part of its turns that it has lent lately.
    refused_at
        When a request of it was last refused at the door, in seconds.
    """

    def __init__(self, workspace: WorkspaceId, weight: float) -> None:
        self.workspace = workspace
        self.weight = weight
        self.finish: float = 0
        self.in_turns = False
        self.lendable: float = 0
        self.lent_part: float = 0
        self.refused_at = -math.inf
        self.costs: dict[int, float] = {}
        self.densities: list[float] = []
        self._by_due: list[tuple[float, RequestId, Waiting]] = []
        self._recent: deque[float] = deque()

    def put(self, waiting: Waiting) -> None:
        """Queue a request."""
        waiting.queued = True
        entry = (waiting.due, waiting.request.request_id, waiting)
        heapq.heappush(self._by_due, entry)
        slot = _slot(waiting.promised)
        self.costs[slot] = self.costs.get(slot, 0) + waiting.cost

    def head(self) -> Waiting | None:
        """Return the request that is due first, or None."""
        while self._by_due:
            waiting = self._by_due[0][-1]
            if waiting.queued:
                return waiting
            heapq.heappop(self._by_due)
        return None

    def remove(self, waiting: Waiting) -> None:
        """Take a request out; its place is cleared when it comes up."""
        waiting.queued = False
        slot = _slot(waiting.promised)
        left = self.costs.pop(slot) - waiting.cost
        # Sums of floats leave a rest that would keep the slot for ever.
        if left > LEAST_LEFT:
            self.costs[slot] = left

    def cost_before(self, promised: float) -> float:
        """Return the cost of what is promised by a time, in engine seconds."""
        last = _slot(promised)
        before = [slot for slot in self.costs if slot <= last]
        return sum(map(self.costs.__getitem__, before))

    def tightness(self, rate: float, now: float) -> float:
        """Return how much of the time to the tightest promise is spoken for.

        Parameters
        ----------
        rate
            Engine seconds a second that the flow is entitled to.
        """
        total: float = 0
        tightest: float = 0
        for slot in sorted(self.costs):
            total += self.costs[slot]
            left = slot * SLOT_SECONDS - now
            tightest = max(tightest, total / max(SLOT_SECONDS, left))
        return tightest / rate

    def rank(self, density: float) -> float:
        """Return which part of what came lately owes less for its cost.

        What owes the same counts half, so that not all are refused if all are
        equal. The density is then counted among what came lately.
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


def _slot(promised: float) -> int:
    return int(promised / SLOT_SECONDS)
