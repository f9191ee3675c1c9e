"""Metrics by OpenTelemetry, read as a Prometheus page."""

import dataclasses
import operator
from importlib import import_module

from ..states import (
    CancelReason,
    PromptBand,
    ReadOutcome,
    RefusalReason,
    RetryReason,
    SettingsVerdict,
)
from ..transport.counts import TransportCounts
from .attainment import Attainment
from .gauges import (
    DESCRIPTIONS,
    Gauge,
    Read,
    penalties_owed,
    reading,
    target_requests,
)
from .histograms import Histograms
from .tallies import Tally

_REASON = 'reason'
#: Loaded with the first object: they take 0.1 s, a quarter of the time in
#: which a process that was killed comes back to its callers.
_EXPORTER = 'opentelemetry.exporter.prometheus'
_SDK = 'opentelemetry.sdk.metrics'
_CLIENT = 'prometheus_client'


class Metrics:
    """Counters, histograms and gauges of one process.

    Labels are bounded: reasons, bands and services, never workspaces or
    requests, so that 2,400 workspaces do not make 2,400 series each. Each
    object has a registry of its own.

    Parameters
    ----------
    process
        Name of the process.

    Attributes
    ----------
    times
        Distributions of times.
    refusals, retries, cancels, reads, offers
        Counts by reason, outcome or verdict.

    Examples
    --------
    >>> metrics = Metrics('entry-a')
    >>> metrics.refused(RefusalReason.OVERLOADED)
    >>> print(metrics.page().decode().splitlines()[-1])
    sycamore_refusals_total{reason="overloaded"} 1.0
    """

    def __init__(self, process: str) -> None:
        exporter = import_module(_EXPORTER)
        self._client = import_module(_CLIENT)
        self.registry = self._client.CollectorRegistry()
        reader = exporter.PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self.registry,
        )
        # The provider's own hook at exit would hold every process object that
        # a test builds until the interpreter ends.
        sdk = import_module(_SDK)
        self.provider = sdk.MeterProvider([reader], shutdown_on_exit=False)
        self.meter = self.provider.get_meter(process)
        self.times = Histograms(self.meter)
        self._gauges: dict[Gauge, Read] = {}
        self.refusals = self.tally('refusals', _REASON)
        self.retries = self.tally('retries', _REASON)
        self.cancels = self.tally('cancels', _REASON)
        self.reads = self.tally('settings_reads', 'outcome')
        self.offers = self.tally('settings_offers', 'verdict')
        self._settings_version = self.meter.create_gauge(
            'sycamore_settings_version',
            description='Settings version in force',
        )

    def refused(self, reason: RefusalReason) -> None:
        """Count a refusal."""
        self.refusals.add(reason)

    def retried(self, reason: RetryReason) -> None:
        """Count a retry."""
        self.retries.add(reason)

    def cancelled(self, reason: CancelReason) -> None:
        """Count a run that was given up."""
        self.cancels.add(reason)

    def first_token(self, band: PromptBand, seconds: float) -> None:
        """Record a time to first token, in seconds."""
        self.times.first_token(band, seconds)

    def settings_read(self, outcome: ReadOutcome) -> None:
        """Count a read of the settings service."""
        self.reads.add(outcome)

    def settings_offered(self, verdict: SettingsVerdict) -> None:
        """Count a settings tree that the platform or a peer offered."""
        self.offers.add(verdict)

    def settings_version(self, version: int) -> None:
        """Record the settings version in force."""
        self._settings_version.set(version)

    def watch(self, gauge: Gauge, read: Read) -> None:
        """Show what `read` returns whenever the page is asked for.

        Where two parts of a process watch one gauge, the later one counts: a
        page with a value twice cannot be read.
        """
        is_new = gauge not in self._gauges
        self._gauges[gauge] = read
        if is_new:
            self._show(gauge)

    def watch_transport(self, counts: TransportCounts) -> None:
        """Show the counts of what passed between this process and peers."""
        for field in dataclasses.fields(counts):
            self.meter.create_observable_counter(
                f'sycamore_transport_{field.name}',
                [reading(_count_reader(counts, field.name))],
                description=f'Transport: {field.name} since the start',
            )

    def watch_attainment(self, attainment: Attainment) -> None:
        """Show requests and penalties under targets, over all workspaces."""
        self.meter.create_observable_counter(
            'sycamore_target_requests',
            [target_requests(attainment)],
            description='Requests under a target by result',
        )
        self.meter.create_observable_counter(
            'sycamore_penalties_owed',
            [penalties_owed(attainment)],
            description='Sum of the penalties owed',
        )

    def page(self) -> bytes:
        """Return the Prometheus page."""
        return self._client.generate_latest(self.registry)

    def show(self, name: str, tally: Tally) -> None:
        """Show counts on the page, also those that were begun before."""
        words = name.replace('_', ' ')
        self.meter.create_observable_counter(
            f'sycamore_{name}',
            [tally.observe],
            description=f'Number of {words} by {tally.label}',
        )

    def tally(self, name: str, label: str) -> Tally:
        """Return a new count by one label, shown on the page."""
        tally = Tally(label)
        self.show(name, tally)
        return tally

    def _show(self, gauge: Gauge) -> None:
        self.meter.create_observable_gauge(
            gauge.value,
            [reading(lambda: self._gauges[gauge]())],
            description=DESCRIPTIONS[gauge],
        )


def _count_reader(counts: TransportCounts, name: str) -> Read:
    read = operator.attrgetter(name)
    return lambda: read(counts)
