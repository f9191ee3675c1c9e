"""Counts and times of a forwarding entry."""

from sycamore_core.telemetry.tallies import Tally


class ForwardingMetrics:
    """Counts by reason, shown as text.

    Attributes
    ----------
    refusals, retries, ends
        Refusals and retries by reason, requests by how they ended.
    """

    def __init__(self) -> None:
        self.refusals = Tally('reason')
        self.retries = Tally('reason')
        self.ends = Tally('end')
