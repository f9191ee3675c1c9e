"""Metrics of how requests, attempts and background tasks ended."""

from sycamore_core.telemetry import Metrics
from sycamore_core.telemetry.tallies import Tally


class OutcomeMetrics:
    """Counts of ended requests, attempts and background tasks.

    Attributes
    ----------
    requests
        Counts of requests by outcome.
    unanswered
        Counts of requests that were read and have no complete answer, by
        reason.
    lost_answers
        Counts of connections whose close may have lost a complete answer, by
        who closed them.
    silent_attempts
        Counts of attempts that were given up because their endpoint was
        silent, by the state of their socket.
    resumed_fallbacks
        Counts of streams that went on after they had been given up, by the
        reason why no other attempt replaced them.
    failed_tasks
        Counts of errors and unexpected ends of background tasks, by task.
    """

    def __init__(self) -> None:
        self.requests = Tally('end')
        self.unanswered = Tally('reason')
        self.lost_answers = Tally('closed_by')
        self.silent_attempts = Tally('socket')
        self.resumed_fallbacks = Tally('reason')
        self.failed_tasks = Tally('task')

    def export(self, metrics: Metrics) -> None:
        """Add these metrics to the page."""
        metrics.export_tally('forwarded_requests', self.requests)
        metrics.export_tally('unanswered_requests', self.unanswered)
        metrics.export_tally('possibly_lost_answers', self.lost_answers)
        metrics.export_tally('silent_attempts', self.silent_attempts)
        metrics.export_tally('resumed_fallbacks', self.resumed_fallbacks)
        metrics.export_tally('failed_tasks', self.failed_tasks)
