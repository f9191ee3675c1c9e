"""Metrics by OpenTelemetry, read as a Prometheus page."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

from ..states import (
    PromptBand,
    ReadOutcome,
    RefusalReason,
    RetryReason,
    SettingsVerdict,
)


class Metrics:
    """Counters and histograms of one process.

    Labels are bounded: reasons, bands and services, never workspaces or
    requests, so that 2,400 workspaces do not make 2,400 series each.
    """

    def __init__(self, process: str) -> None:
        reader = PrometheusMetricReader()
        provider = MeterProvider(metric_readers=[reader])
        meter = provider.get_meter(process)
        self._refusals = meter.create_counter('sycamore_refusals')
        self._retries = meter.create_counter('sycamore_retries')
        self._first_token = meter.create_histogram(
            'sycamore_first_token_seconds',
        )
        self._settings_reads = meter.create_counter('sycamore_settings_reads')
        self._settings_offers = meter.create_counter(
            'sycamore_settings_offers',
        )
        self._settings_version = meter.create_gauge(
            'sycamore_settings_version',
        )

    def refused(self, reason: RefusalReason) -> None:
        """Count a refusal."""
        self._refusals.add(1, {'reason': reason.value})

    def retried(self, reason: RetryReason) -> None:
        """Count a retry."""
        self._retries.add(1, {'reason': reason.value})

    def first_token(self, band: PromptBand, seconds: float) -> None:
        """Record a time to first token, in seconds."""
        self._first_token.record(seconds, {'band': band.value})

    def settings_read(self, outcome: ReadOutcome) -> None:
        """Count a read of the settings service."""
        self._settings_reads.add(1, {'outcome': outcome.value})

    def settings_offered(self, verdict: SettingsVerdict) -> None:
        """Count a settings tree that the platform or a peer offered."""
        self._settings_offers.add(1, {'verdict': verdict.value})

    def settings_version(self, version: int) -> None:
        """Record the settings version in force."""
        self._settings_version.set(version)

    def page(self) -> bytes:
        """Return the Prometheus page."""
        return generate_latest(REGISTRY)
