"""Start-time fair queueing among workspaces.

Load pattern: one workspace sends many times its share, for a second or for an
hour, while the others send a few requests each.

Without fair queueing, the requests of other workspaces wait behind the whole
burst of the overloading workspace.

Each workspace is a flow with a weight. The start tag of a request is the later
of the current virtual time and the finish tag of the previous request of its
flow. The flow with the earliest start tag is served next. A flow that was idle
starts at the current virtual time, before all flows that have used up their
share. It is not compensated for capacity that it left unused while idle.
"""

import heapq
from collections.abc import Container

from ..ids import WorkspaceId
from .flow import Flow, WaitingRequest
from .lending import LendingRule

#: Number of next flows, including the lender, among which a borrower is
#: searched. It covers all flows of a site of ten workspaces. At a site of 2,400
#: workspaces, it bounds the cost of a turn to a few microseconds.
BORROWER_SCAN_FLOWS = 16
#: Weight of the last turn in the average fraction of lent turns.
LENT_SMOOTHING = 0.1


class FairQueue:
    """Requests of all workspaces that compete for the same capacity.

    Attributes
    ----------
    virtual_time
        Largest start tag of a served request, in engine seconds per weight.
    count
        Number of queued requests.
    active_weight
        Sum of the weights of the flows that take turns.
    """

    def __init__(self, lending: LendingRule) -> None:
        self.lending = lending
        self.flows: dict[WorkspaceId, Flow] = {}
        self.virtual_time: float = 0
        self.count = 0
        self.active_weight: float = 0
        self._skipped: list[Flow] = []
        self._heap: list[tuple[float, int, Flow]] = []
        self._order = 0

    def push(self, waiting: WaitingRequest) -> None:
        """Queue a request in the flow of its workspace."""
        request = waiting.request
        flow = self.flow_of(request.workspace, request.weight)
        waiting.within_share = not flow.is_active
        flow.push(waiting)
        self.count += 1
        if not flow.is_active:
            flow.weight = request.weight
            flow.virtual_finish = max(flow.virtual_finish, self.virtual_time)
            self._activate(flow)

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request at any position."""
        if waiting.is_queued:
            self.flows[waiting.request.workspace].remove(waiting)
            self.count -= 1

    def flow_of(self, workspace: WorkspaceId, weight: float) -> Flow:
        """Return the flow of a workspace; created if there is none."""
        flow = self.flows.get(workspace)
        if flow is None:
            flow = Flow(workspace, weight)
            self.flows[workspace] = flow
        return flow

    def peek(self) -> WaitingRequest | None:
        """Return the request that is next by fair queueing, or None."""
        while self._heap:
            head = self._heap[0][-1].head()
            if head is not None:
                return head
            self._deactivate_first()
        return None

    def skip(self, head: WaitingRequest) -> int:
        """Skip the flow that is next, until `restore`.

        Return 1 if the flow was skipped. Return 0 if its head has left the
        queue in the meantime, so that its next request is tried.
        """
        if not head.is_queued:
            return 0
        self._skipped.append(heapq.heappop(self._heap)[-1])
        return 1

    def restore(self) -> None:
        """Put the skipped flows back at their places."""
        for flow in self._skipped:
            self._push_flow(flow)
        self._skipped.clear()

    def peek_borrower(self, now: float) -> WaitingRequest | None:
        """Return the request that borrows the current turn, or None."""
        lender = self._heap[0][-1]
        others = (turn[-1] for turn in self._heap[1:BORROWER_SCAN_FLOWS])
        return self.lending.borrower(lender, others, now)

    def serve(self, waiting: WaitingRequest) -> None:
        """Remove a request and charge the flow whose turn it uses."""
        flow = self._heap[0][-1]
        self.remove(waiting)
        is_lent = flow.workspace != waiting.request.workspace
        flow.lent_fraction += LENT_SMOOTHING * (is_lent - flow.lent_fraction)
        if is_lent:
            self.lending.record_lent(flow, waiting.cost)
        else:
            self.lending.record_served(flow, waiting.cost)
        self.virtual_time = max(self.virtual_time, flow.virtual_finish)
        flow.virtual_finish += waiting.cost / flow.weight
        heapq.heappop(self._heap)
        self._push_flow(flow)

    def share(self, flow: Flow) -> float:
        """Return the share of a flow while it is backlogged, from 0 to 1."""
        if flow.is_active:
            return flow.weight / self.active_weight
        return flow.weight / (flow.weight + self.active_weight)

    def drop_idle_flows(self, known: Container[WorkspaceId]) -> None:
        """Remove the idle flows of workspaces that are not in `known`."""
        gone = [
            name
            for name, flow in self.flows.items()
            if not flow.is_active and name not in known
        ]
        for name in gone:
            self.flows.pop(name)

    def _activate(self, flow: Flow) -> None:
        flow.is_active = True
        self.active_weight += flow.weight
        self._push_flow(flow)

    def _deactivate_first(self) -> None:
        flow = heapq.heappop(self._heap)[-1]
        flow.is_active = False
        self.active_weight = max(0, self.active_weight - flow.weight)

    def _push_flow(self, flow: Flow) -> None:
        self._order += 1
        heapq.heappush(self._heap, (flow.virtual_finish, self._order, flow))
