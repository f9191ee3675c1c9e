"""Metrics of requests that may crash endpoints."""

from sycamore_core.telemetry import Metrics
from sycamore_core.telemetry.tallies import Tally


class SuspectMetrics:
    """Counts of trials that were denied, and of attempts that were given up.

    Attributes
    ----------
    trial_denials
        Counts of denied trials, by reason.
    abandoned_attempts
        Counts of attempts that were given up while their endpoints might still
        run the requests, by the way in which they ended.
    """

    def __init__(self) -> None:
        self.trial_denials = Tally('reason')
        self.abandoned_attempts = Tally('end')

    def export(self, metrics: Metrics) -> None:
        """Add these metrics to the page."""
        metrics.export_tally('trial_denials', self.trial_denials)
        metrics.export_tally('abandoned_attempts', self.abandoned_attempts)
