"""Which workspace may have the turn of another, above capacity.

Load pattern: several workspaces that all send more than their shares, and that
are owed very different penalties.

Without it: each is cut to its share, and requests that owe much are refused in
one workspace while those that owe little are served in another.

A flow that refuses requests may lend its turn to another that refuses requests
and whose next one owes clearly more for its cost. The lender is charged, the
borrower is not. A flow earns the right to lend by being served, so that the
floor of its share stays its own; one that refuses nothing never lends, whatever
the others send.
"""

from collections.abc import Iterable

from .flow import Flow, Waiting

#: How long after a refusal at the door a flow counts as beyond its share, in
#: seconds: above capacity refusals come many times a second.
SHEDDING_SECONDS = 1.0
#: How many times as much a borrower's request must owe for its cost. Lengths of
#: prompts and answers make costs of one workspace differ by as much, and turns
#: that go to and fro for that win nothing.
WORTHWHILE_FACTOR = 2.0
#: Engine seconds that a flow can have earned to lend; a few requests' cost, so
#: that a floor holds over every few seconds and not over an hour.
LENDABLE_LIMIT = 5.0


class LendingRule:
    """Decides on loans of turns.

    Parameters
    ----------
    floor_share
        Part of its share that a flow cannot lend, from 0 to 1.
    """

    def __init__(self, floor_share: float) -> None:
        self.floor_share = floor_share

    def borrower(
        self,
        lender: Flow,
        others: Iterable[Flow],
        now: float,
    ) -> Waiting | None:
        """Return the request that should have the turn of another flow."""
        own = lender.head()
        if own is None or not is_shedding(lender, now):
            return None
        heads = [flow.head() for flow in others if is_shedding(flow, now)]
        willing = [
            head
            for head in heads
            if head is not None and head.cost <= lender.lendable
        ]
        best = max(willing, key=_density, default=None)
        if best is None or best.density <= own.density * WORTHWHILE_FACTOR:
            return None
        return best

    def note_served(self, flow: Flow, cost: float) -> None:
        """Let a flow earn by a turn of its own the part it may lend."""
        if self.floor_share > 0:
            earned = cost * (1 - self.floor_share) / self.floor_share
            flow.lendable = min(LENDABLE_LIMIT, flow.lendable + earned)
        else:
            flow.lendable = LENDABLE_LIMIT

    def note_lent(self, lender: Flow, cost: float) -> None:
        """Take a loan off what a flow may lend."""
        lender.lendable -= cost


def is_shedding(flow: Flow, now: float) -> bool:
    """Tell whether a flow has refused requests lately."""
    return now < flow.refused_at + SHEDDING_SECONDS


def _density(waiting: Waiting) -> float:
    return waiting.density
