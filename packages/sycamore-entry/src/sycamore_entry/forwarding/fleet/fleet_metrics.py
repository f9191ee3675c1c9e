"""Metrics of what an entry learns from the platform and from its peers."""

import math
from collections.abc import Callable, Mapping

from sycamore_core.ids import SettingsVersion
from sycamore_core.states import ReadOutcome
from sycamore_core.telemetry import Gauge, Metrics
from sycamore_core.telemetry.tallies import Tally
from sycamore_core.transport.counts import TransportCounts


class FleetMetrics:
    """The configuration in force, reads of the platform, messages of peers.

    Attributes
    ----------
    sources
        Counts of configurations that came into force, by their source.
    claims
        Counts of what became of newer versions that peers claimed.
    reads
        Counts of reads of the platform, by outcome.
    transport
        Counts of the messages of peers.
    version
        Returns the version in force; 0 before the first.
    age
        Returns the seconds since the platform confirmed the state; None
        before that.
    count_draining
        Returns the requests that still run in evacuated zones, by zone.
    """

    def __init__(self) -> None:
        self.sources = Tally('source')
        self.claims = Tally('outcome')
        self.reads = Tally('outcome')
        self.transport = TransportCounts()
        self.version: Callable[[], SettingsVersion] = lambda: SettingsVersion(0)
        self.age: Callable[[], float | None] = lambda: None
        self.count_draining: Callable[[], Mapping[str, int]] = dict

    def count_read(self, *, has_changed: bool) -> None:
        """Count a read that the platform answered."""
        self.reads.add(
            ReadOutcome.CHANGED if has_changed else ReadOutcome.UNCHANGED
        )

    def count_failed_read(self) -> None:
        """Count a read that failed."""
        self.reads.add(ReadOutcome.FAILED)

    def export(self, metrics: Metrics) -> None:
        """Add these metrics to the page."""
        metrics.export_tally('tables_in_force', self.sources)
        metrics.export_tally('table_claims', self.claims)
        metrics.export_tally('platform_reads', self.reads)
        metrics.export_transport_counts(self.transport)
        metrics.export_gauge(Gauge.SETTINGS_AGE, self._exported_age)
        metrics.export_gauge_by_label(
            'evacuated_zone_requests',
            'zone',
            lambda: self.count_draining(),
        )

    def _exported_age(self) -> float:
        age = self.age()
        return math.inf if age is None else age
