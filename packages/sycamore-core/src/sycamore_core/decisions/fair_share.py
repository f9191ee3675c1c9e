"""Whose turn it is among the workspaces: start-time fair queueing.

Load pattern: one workspace sends many times its share, for a second or for an
hour, while the others send a few requests each.

Without it: the others wait behind all that the hot one has sent, in
proportion to its burst.

Each workspace is a flow with a weight. A request starts, in virtual time, when
the one before it of the same flow has been charged for, but not before the
present; the flow with the earliest start is next. A flow that was idle starts
at the present and so comes before all that have spent their share; what it did
not use while idle others had, and it is not owed later.
"""

import heapq
from collections.abc import Container

from ..ids import WorkspaceId
from .flow import Flow, Waiting
from .lending import LendingRule

#: Flows next in turn among which one that borrows is looked for. The flows of a
#: site of ten are all seen; a turn of 2,400 costs a few microseconds.
LENDING_FLOWS = 16
#: Weight of the last turn in the part of its turns that a flow has lent.
LENT_SMOOTHING = 0.1


class FairQueue:
    """Requests of all workspaces that want the same capacity."""

    def __init__(self, lending: LendingRule) -> None:
        self.lending = lending
        self.flows: dict[WorkspaceId, Flow] = {}
        self.virtual_time: float = 0
        self.count = 0
        self.active_weight: float = 0
        self._skipped: list[Flow] = []
        self._turns: list[tuple[float, int, Flow]] = []
        self._order = 0

    def push(self, waiting: Waiting) -> None:
        """Queue a request under its workspace."""
        request = waiting.request
        flow = self.flow_of(request.workspace, request.weight)
        waiting.within_share = not flow.in_turns
        flow.put(waiting)
        self.count += 1
        if not flow.in_turns:
            flow.weight = request.weight
            flow.finish = max(flow.finish, self.virtual_time)
            self._enter(flow)

    def remove(self, waiting: Waiting) -> None:
        """Take a request out, wherever it stands."""
        if waiting.queued:
            self.flows[waiting.request.workspace].remove(waiting)
            self.count -= 1

    def flow_of(self, workspace: WorkspaceId, weight: float) -> Flow:
        """Return the flow of a workspace."""
        flow = self.flows.get(workspace)
        if flow is None:
            flow = Flow(workspace, weight)
            self.flows[workspace] = flow
        return flow

    def peek(self) -> Waiting | None:
        """Return the request whose turn it is, or None."""
        while self._turns:
            head = self._turns[0][-1].head()
            if head is not None:
                return head
            self._leave()
        return None

    def skip(self, head: Waiting) -> int:
        """Pass over the flow whose turn it is, until `restore`.

        Return 1 if it was passed over, 0 if its head has left meanwhile, so
        that its next request is to be tried.
        """
        if not head.queued:
            return 0
        self._skipped.append(heapq.heappop(self._turns)[-1])
        return 1

    def restore(self) -> None:
        """Give the flows that were passed over their places back."""
        for flow in self._skipped:
            self._put(flow)
        self._skipped.clear()

    def borrowed(self, now: float) -> Waiting | None:
        """Return the request to which the turn is lent, or None."""
        lender = self._turns[0][-1]
        nearest = (turn[-1] for turn in self._turns[1:LENDING_FLOWS])
        return self.lending.borrower(lender, nearest, now)

    def take(self, waiting: Waiting) -> None:
        """Serve a request, and charge the flow whose turn it is."""
        flow = self._turns[0][-1]
        self.remove(waiting)
        is_lent = flow.workspace != waiting.request.workspace
        flow.lent_part += LENT_SMOOTHING * (is_lent - flow.lent_part)
        if is_lent:
            self.lending.note_lent(flow, waiting.cost)
        else:
            self.lending.note_served(flow, waiting.cost)
        self.virtual_time = max(self.virtual_time, flow.finish)
        flow.finish += waiting.cost / flow.weight
        heapq.heappop(self._turns)
        self._put(flow)

    def share(self, flow: Flow) -> float:
        """Return the part that a flow has while it is backlogged."""
        if flow.in_turns:
            return flow.weight / self.active_weight
        return flow.weight / (flow.weight + self.active_weight)

    def forget_idle(self, known: Container[WorkspaceId]) -> None:
        """Drop idle flows of workspaces that are not known any more."""
        gone = [
            name
            for name, flow in self.flows.items()
            if not flow.in_turns and name not in known
        ]
        for name in gone:
            self.flows.pop(name)

    def _enter(self, flow: Flow) -> None:
        flow.in_turns = True
        self.active_weight += flow.weight
        self._put(flow)

    def _leave(self) -> None:
        flow = heapq.heappop(self._turns)[-1]
        flow.in_turns = False
        self.active_weight = max(0, self.active_weight - flow.weight)

    def _put(self, flow: Flow) -> None:
        self._order += 1
        heapq.heappush(self._turns, (flow.finish, self._order, flow))
