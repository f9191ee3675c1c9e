"""Metrics of requests that may crash endpoints."""

import enum

from sycamore_core.telemetry import Metrics
from sycamore_core.telemetry.tallies import Tally


class CrashResult(enum.StrEnum):
    """Whether a crash counts against a request that ran at the endpoint."""

    RECORDED = 'recorded'
    #: Many endpoints crashed at the same time.
    DISCARDED = 'discarded'


class SuspectMetrics:
    """Counts of crashes, denied trials, and attempts that were given up.

    Attributes
    ----------
    crashes
        Counts of requests that were at endpoints when these crashed, by
        whether the crash counts against them.
    quarantined
        Counts of traits whose quarantine began, by what they are.
    trial_denials
        Counts of denied trials, by reason.
    abandoned_attempts
        Counts of attempts that were given up while their endpoints might still
        run the requests, by the way in which they ended.
    """

    def __init__(self) -> None:
        self.crashes = Tally('result')
        self.quarantined = Tally('kind')
        self.trial_denials = Tally('reason')
        self.abandoned_attempts = Tally('end')

    def count_crash(self, *, is_recorded: bool) -> None:
        """Count a request that was at an endpoint when it crashed."""
        self.crashes.add(
            CrashResult.RECORDED if is_recorded else CrashResult.DISCARDED
        )

    def export(self, metrics: Metrics) -> None:
        """Add these metrics to the page."""
        metrics.export_tally('suspect_crashes', self.crashes)
        metrics.export_tally('quarantined_traits', self.quarantined)
        metrics.export_tally('trial_denials', self.trial_denials)
        metrics.export_tally('abandoned_attempts', self.abandoned_attempts)
