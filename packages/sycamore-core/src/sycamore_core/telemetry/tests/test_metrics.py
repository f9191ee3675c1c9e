"""Tests of the Prometheus page."""

from ...ids import ServiceId, WorkspaceId
from ...settings import Target
from ...states import PromptBand, ReadOutcome, RefusalReason, RetryReason
from ...transport.counts import TransportCounts
from .. import Attainment, AttainmentKey, Gauge, Metrics
from ..gauges import MAX_SERVICE_LABELS

TARGET = Target(PromptBand.SHORT, first_token_seconds=1, penalty=2)


def page_of(metrics: Metrics) -> list[str]:
    return metrics.page().decode().splitlines()


def test_each_refusal_and_retry_reason_has_a_counter() -> None:
    metrics = Metrics('test')
    for refusal in RefusalReason:
        metrics.refused(refusal)
    for retry in RetryReason:
        metrics.retried(retry)
    page = page_of(metrics)
    for refusal in RefusalReason:
        assert f'sycamore_refusals_total{{reason="{refusal}"}} 1.0' in page
    for retry in RetryReason:
        assert f'sycamore_retries_total{{reason="{retry}"}} 1.0' in page


def test_each_object_has_its_own_registry() -> None:
    """Guards against a registry that two processes in one interpreter share.

    Each would export the sum of both, or fail on a duplicate metric name.
    """
    first, second = Metrics('first'), Metrics('second')
    first.settings_version(3)
    second.settings_read(ReadOutcome.FAILED)
    assert 'sycamore_settings_version 3.0' in page_of(first)
    assert 'sycamore_settings_version 3.0' not in page_of(second)


def test_times_are_exported_by_band() -> None:
    metrics = Metrics('test')
    metrics.first_token(PromptBand.SHORT, 0.45)
    metrics.times.queue_wait(PromptBand.LONG, 3)
    metrics.times.slowdown(PromptBand.SHORT, 1.3)
    metrics.times.token_gap(0.05)
    page = '\n'.join(page_of(metrics))
    assert 'first_token_seconds_bucket{band="short",le="0.49"} 1.0' in page
    assert 'queue_wait_seconds_count{band="long"} 1.0' in page
    assert 'slowdown_ratio_bucket{band="short",le="1.5"} 1.0' in page
    assert 'token_gap_seconds_bucket{le="0.054"} 1.0' in page


def test_gauges_are_read_when_the_page_is_rendered() -> None:
    metrics, counts = Metrics('test'), TransportCounts()
    metrics.export_gauge(Gauge.SETTINGS_AGE, lambda: counts.stale + 4)
    metrics.export_transport_counts(counts)
    counts.stale = 2
    page = page_of(metrics)
    assert 'sycamore_settings_age_seconds 6.0' in page
    assert 'sycamore_transport_stale_total 2.0' in page


def test_gauge_with_two_readers_is_exported_once() -> None:
    """Guards against two readers that export one gauge twice.

    Prometheus rejects a page with two values of one series, so that operators
    would get no metrics of the process.
    """
    metrics = Metrics('test')
    metrics.export_gauge(Gauge.SETTINGS_AGE, lambda: 1)
    metrics.export_gauge(Gauge.SETTINGS_AGE, lambda: 2)
    values = [
        line
        for line in page_of(metrics)
        if line.startswith('sycamore_settings_age_seconds ')
    ]
    assert values == ['sycamore_settings_age_seconds 2.0']


def test_page_does_not_grow_with_workspaces_or_services() -> None:
    """Guards against one series for each of thousands of workspaces.

    Such a page would exhaust the memory of the process and of its reader.
    """
    metrics, attainment = Metrics('test'), Attainment()
    metrics.export_attainment(attainment)
    for number in range(MAX_SERVICE_LABELS * 3):
        key = AttainmentKey(
            WorkspaceId(f'workspace-{number}'),
            ServiceId(f'service-{number}'),
            PromptBand.SHORT,
        )
        attainment.record(key, TARGET, 0.5)
        attainment.record(key, TARGET, 1.5)
    page = page_of(metrics)
    owed = [line for line in page if line.startswith('sycamore_penalties_owed')]
    assert len(owed) == MAX_SERVICE_LABELS + 1
    assert sum(float(line.split()[-1]) for line in owed) == 2 * 96
    assert 'workspace-' not in '\n'.join(page)


def test_each_workspace_has_its_own_row() -> None:
    attainment = Attainment()
    for name, seconds in (('b', 0.5), ('a', None), ('a', 0.5)):
        key = AttainmentKey(
            WorkspaceId(name),
            ServiceId('chat'),
            PromptBand.SHORT,
        )
        attainment.record(key, TARGET, seconds)
    rows = attainment.rows()
    assert [row.workspace for row in rows] == ['a', 'b']
    assert [row.missed for row in rows] == [1, 0]
    assert [row.owed for row in rows] == [2, 0]
    assert [row.kept for row in rows] == [False, True]
