"""Lending of turns between workspaces above capacity.

Load pattern: several workspaces that all send more than their shares, with very
different penalties.

Without lending, each workspace is limited to its share. Requests with a high
penalty are refused in one workspace while requests with a low penalty are
served in another.

A flow sheds load if admission control has refused requests of the flow lately.
Such a flow may lend its turn to another flow that sheds load, if the next
request of the borrower has a clearly higher penalty density. The lender is
charged and the borrower is not. A flow earns lending credit only by being
served, which preserves the floor of its share. A flow without refused requests
never lends, whatever the other flows send.
"""

from collections.abc import Iterable

from .flow import Flow, WaitingRequest

#: Time after a refusal by admission control for which a flow counts as beyond
#: its share, in seconds; above capacity, there are many refusals per second.
SHEDDING_SECONDS = 1.0
#: Minimum ratio of the penalty density of the borrower to that of the lender.
#: The costs within one workspace differ by this factor because of prompt and
#: answer lengths, and lending for such a difference has no benefit.
MIN_DENSITY_RATIO = 2.0
#: Upper bound of the lending credit, in engine seconds: the cost of a few
#: requests, so that the floor holds within seconds instead of hours.
MAX_LENDING_CREDIT = 5.0


class LendingRule:
    """Decides which flow lends its turn to which request.

    Parameters
    ----------
    floor_share
        Fraction of its share that a flow cannot lend, from 0 to 1.
    """

    def __init__(self, floor_share: float) -> None:
        self.floor_share = floor_share

    def borrower(
        self,
        lender: Flow,
        others: Iterable[Flow],
        now: float,
    ) -> WaitingRequest | None:
        """Return the request that should use the lender's turn, or None."""
        own = lender.head()
        if own is None or not is_shedding(lender, now):
            return None
        heads = [flow.head() for flow in others if is_shedding(flow, now)]
        eligible = [
            head
            for head in heads
            if head is not None and head.cost <= lender.lending_credit
        ]
        best = max(eligible, key=_density, default=None)
        if best is None or best.density <= own.density * MIN_DENSITY_RATIO:
            return None
        return best

    def record_served(self, flow: Flow, cost: float) -> None:
        """Add the lending credit that a flow earns by its own turn."""
        if self.floor_share > 0:
            earned = cost * (1 - self.floor_share) / self.floor_share
            flow.lending_credit = min(
                MAX_LENDING_CREDIT,
                flow.lending_credit + earned,
            )
        else:
            flow.lending_credit = MAX_LENDING_CREDIT

    def record_lent(self, lender: Flow, cost: float) -> None:
        """Subtract a lent turn from the lending credit of a flow."""
        lender.lending_credit -= cost


def is_shedding(flow: Flow, now: float) -> bool:
    """Return whether requests of a flow have been refused lately."""
    return now < flow.refused_at + SHEDDING_SECONDS


def _density(waiting: WaitingRequest) -> float:
    return waiting.density
