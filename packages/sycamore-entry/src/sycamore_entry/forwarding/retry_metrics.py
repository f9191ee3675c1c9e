"""Metrics of retries and of the retry budget."""

from sycamore_core.decisions.direct import (
    AttemptEnd,
    FleetSize,
    RetryPermission,
)
from sycamore_core.telemetry import Gauge, Metrics
from sycamore_core.telemetry.gauges import LabelledGauge
from sycamore_core.telemetry.tallies import Tally


class RetryMetrics:
    """Counts of retries, and the state of the retry budgets.

    Attributes
    ----------
    reasons
        Counts of retries by the end of the attempt before.
    permissions
        Counts of failed attempts by whether a retry was permitted.
    left
        Retries that the budget permits now, by service.
    fleet
        Number of entries that share the budget.
    """

    def __init__(self) -> None:
        self.reasons = Tally('reason')
        self.permissions = Tally('permission')
        self.left = LabelledGauge(
            'retries_left',
            'service',
            'Retries that the budget of this entry permits now, by service',
        )
        self.fleet = FleetSize()

    def count(self, reason: AttemptEnd) -> None:
        """Count a retry by the end of the attempt before it."""
        self.reasons.add(reason)

    def count_permission(self, permission: RetryPermission) -> None:
        """Count a failed attempt by whether it may be retried."""
        self.permissions.add(permission)

    def export(self, metrics: Metrics) -> None:
        """Add these metrics to the page."""
        metrics.export_tally('forwarding_retries', self.reasons)
        metrics.export_tally('forwarding_retry_permissions', self.permissions)
        metrics.export_labelled_gauge(self.left)
        metrics.export_gauge(
            Gauge.RETRY_ENTRIES, lambda: self.fleet.divisor or 0
        )
