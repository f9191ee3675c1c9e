"""Gauges and counters that are read when the page is rendered."""

import enum
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

from opentelemetry.metrics import CallbackOptions, Observation

from .attainment import Attainment, ServiceTotal

#: Number of services that the page lists by name; the others are added up, so
#: that the page is bounded whatever the settings contain.
MAX_SERVICE_LABELS = 32

ValueReader = Callable[[], float]
Callback = Callable[[CallbackOptions], Iterator[Observation]]


class Gauge(enum.StrEnum):
    """Metric names of the current values that a process can export."""

    SETTINGS_AGE = 'sycamore_settings_age_seconds'
    LEASES = 'sycamore_leases'
    LEASED_TOKENS = 'sycamore_leased_tokens'
    FREE_TOKENS = 'sycamore_free_tokens'
    WAITING = 'sycamore_requests_waiting'
    RUNNING = 'sycamore_requests_running'
    PEERS = 'sycamore_peers'
    RETRY_ENTRIES = 'sycamore_retry_budget_entries'


#: Help texts of the gauges.
DESCRIPTIONS = MappingProxyType(
    {
        Gauge.SETTINGS_AGE: (
            'Seconds since the platform confirmed the settings in force'
        ),
        Gauge.LEASES: 'Memory leases held at the engine',
        Gauge.LEASED_TOKENS: 'Tokens of memory leased',
        Gauge.FREE_TOKENS: 'Tokens of memory not leased',
        Gauge.WAITING: 'Requests that wait to be offered or to start',
        Gauge.RUNNING: 'Requests in progress',
        Gauge.PEERS: 'Other processes heard of lately',
        Gauge.RETRY_ENTRIES: (
            'Entries by which the retry budget is divided; 0 if unknown'
        ),
    },
)


class LabelledGauge:
    """Gauge with one value for each value of one label.

    Parameters
    ----------
    name
        Name of the metric.
    label
        Name of the label.
    description
        Help text of the metric.

    Attributes
    ----------
    read
        Returns the present values by label value; no values at first.
    """

    def __init__(self, name: str, label: str, description: str) -> None:
        self.name = name
        self.label = label
        self.description = description
        self.read: Callable[[], Mapping[str, float]] = dict

    def observe(self, options: CallbackOptions) -> Iterator[Observation]:
        """Yield one observation for each label value."""
        for label_value, current in self.read().items():
            yield Observation(current, {self.label: label_value})


def value_callback(read: ValueReader) -> Callback:
    """Return a callback that observes the result of `read`."""
    return lambda options: iter((Observation(read()),))


def labelled_callback(
    label: str, read: Callable[[], Mapping[str, float]]
) -> Callback:
    """Return a callback that observes one value for each label value."""
    return lambda options: (
        Observation(number, {label: label_value})
        for label_value, number in read().items()
    )


def target_requests_callback(attainment: Attainment) -> Callback:
    """Return a callback that observes met and missed requests."""
    return lambda options: _observe_target_requests(attainment)


def penalties_owed_callback(attainment: Attainment) -> Callback:
    """Return a callback that observes the penalties owed."""
    return lambda options: _observe_penalties_owed(attainment)


def _observe_target_requests(attainment: Attainment) -> Iterator[Observation]:
    for total in attainment.totals_by_service(MAX_SERVICE_LABELS):
        labels = _labels(total)
        yield Observation(total.count.met, {**labels, 'result': 'met'})
        yield Observation(total.count.missed, {**labels, 'result': 'missed'})


def _observe_penalties_owed(attainment: Attainment) -> Iterator[Observation]:
    for total in attainment.totals_by_service(MAX_SERVICE_LABELS):
        yield Observation(total.count.owed, _labels(total))


def _labels(total: ServiceTotal) -> dict[str, str]:
    return {'service': total.service, 'band': total.band.value}
