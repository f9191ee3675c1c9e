"""Metrics of how requests and attempts ended."""

from sycamore_core.telemetry import Metrics
from sycamore_core.telemetry.tallies import Tally


class OutcomeMetrics:
    """Counts of ended requests and attempts.

    Attributes
    ----------
    requests
        Counts of requests by outcome.
    unanswered
        Counts of requests that were read and have no complete answer, by
        reason.
    silent_attempts
        Counts of attempts that were given up because their endpoint was
        silent, by the state of their socket.
    """

    def __init__(self) -> None:
        self.requests = Tally('end')
        self.unanswered = Tally('reason')
        self.silent_attempts = Tally('socket')

    def export(self, metrics: Metrics) -> None:
        """Add these metrics to the page."""
        metrics.export_tally('forwarded_requests', self.requests)
        metrics.export_tally('unanswered_requests', self.unanswered)
        metrics.export_tally('silent_attempts', self.silent_attempts)
