"""OpenTelemetry metrics, exported as a Prometheus page."""

import dataclasses
import operator
from collections.abc import Callable, Mapping
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
    LabelledGauge,
    ValueReader,
    labelled_callback,
    penalties_owed_callback,
    target_requests_callback,
    value_callback,
)
from .histograms import Histograms
from .tallies import Tally

_REASON = 'reason'
#: Modules that are imported with the first `Metrics` object. Importing them
#: takes 0.1 s, a quarter of the time until a killed process serves again.
_EXPORTER = 'opentelemetry.exporter.prometheus'
_SDK = 'opentelemetry.sdk.metrics'
_CLIENT = 'prometheus_client'


class Metrics:
    """Counters, histograms and gauges of one process.

    The labels have a bounded number of values: reasons, bands and services,
    never workspaces or requests. Otherwise 2,400 workspaces would add 2,400
    series to each metric. Each object has its own registry.

    Parameters
    ----------
    process
        Name of the process.

    Attributes
    ----------
    times
        Histograms of times.
    refusals, retries, cancels, reads, offers
        Counters by reason, outcome or verdict.

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
        # The provider's exit hook would keep every process object that a test
        # builds in memory until the interpreter exits.
        sdk = import_module(_SDK)
        self.provider = sdk.MeterProvider([reader], shutdown_on_exit=False)
        self.meter = self.provider.get_meter(process)
        self.times = Histograms(self.meter)
        self._gauges: dict[Gauge, ValueReader] = {}
        self.refusals = self.new_tally('refusals', _REASON)
        self.retries = self.new_tally('retries', _REASON)
        self.cancels = self.new_tally('cancels', _REASON)
        self.reads = self.new_tally('settings_reads', 'outcome')
        self.offers = self.new_tally('settings_offers', 'verdict')
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
        """Count a cancelled run."""
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

    def export_gauge(self, gauge: Gauge, read: ValueReader) -> None:
        """Export the result of `read` as a gauge.

        `read` is called each time the page is rendered. A second reader of
        the same gauge replaces the first, since Prometheus rejects a page
        with two values of one series.
        """
        is_new = gauge not in self._gauges
        self._gauges[gauge] = read
        if is_new:
            self._create_gauge(gauge)

    def export_gauge_by_label(
        self,
        name: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Export the result of `read`, one value for each label value."""
        readable_name = name.replace('_', ' ')
        self.meter.create_observable_gauge(
            f'sycamore_{name}',
            [labelled_callback(label, read)],
            description=f'Present number of {readable_name} by {label}',
        )

    def export_transport_counts(self, counts: TransportCounts) -> None:
        """Export the message counts of the transport."""
        for field in dataclasses.fields(counts):
            self.meter.create_observable_counter(
                f'sycamore_transport_{field.name}',
                [value_callback(_field_reader(counts, field.name))],
                description=f'Transport: {field.name} since the start',
            )

    def export_attainment(self, attainment: Attainment) -> None:
        """Export requests and penalties by target, over all workspaces."""
        self.meter.create_observable_counter(
            'sycamore_target_requests',
            [target_requests_callback(attainment)],
            description='Requests under a target by result',
        )
        self.meter.create_observable_counter(
            'sycamore_penalties_owed',
            [penalties_owed_callback(attainment)],
            description='Sum of the penalties owed',
        )

    def page(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._client.generate_latest(self.registry)

    def export_tally(self, name: str, tally: Tally) -> None:
        """Export a tally, including what it has counted before this call."""
        readable_name = name.replace('_', ' ')
        self.meter.create_observable_counter(
            f'sycamore_{name}',
            [tally.observe],
            description=f'Number of {readable_name} by {tally.label}',
        )

    def export_labelled_gauge(self, gauge: LabelledGauge) -> None:
        """Export a gauge with one value for each value of its label."""
        self.meter.create_observable_gauge(
            f'sycamore_{gauge.name}',
            [gauge.observe],
            description=gauge.description,
        )

    def new_tally(self, name: str, label: str) -> Tally:
        """Return a new tally with one label that is exported."""
        tally = Tally(label)
        self.export_tally(name, tally)
        return tally

    def _create_gauge(self, gauge: Gauge) -> None:
        self.meter.create_observable_gauge(
            gauge.value,
            [value_callback(lambda: self._gauges[gauge]())],
            description=DESCRIPTIONS[gauge],
        )


def _field_reader(counts: TransportCounts, name: str) -> ValueReader:
    read = operator.attrgetter(name)
    return lambda: read(counts)
