"""Values that are read when the page is asked for."""

import enum
from collections.abc import Callable, Iterator
from types import MappingProxyType

from opentelemetry.metrics import CallbackOptions, Observation

from .attainment import Attainment, ServiceSum

#: Services shown by name on the page; more are added up, so that the settings
#: cannot make the page grow without bound.
MAX_SERVICE_LABELS = 32

Read = Callable[[], float]
Callback = Callable[[CallbackOptions], Iterator[Observation]]


class Gauge(enum.StrEnum):
    """What a process may show as a value of the moment."""

    SETTINGS_AGE = 'sycamore_settings_age_seconds'
    LEASES = 'sycamore_leases'
    LEASED_TOKENS = 'sycamore_leased_tokens'
    FREE_TOKENS = 'sycamore_free_tokens'
    WAITING = 'sycamore_requests_waiting'
    RUNNING = 'sycamore_requests_running'
    PEERS = 'sycamore_peers'


#: Texts for the page, by gauge.
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
    },
)


def reading(read: Read) -> Callback:
    """Return a callback that shows what `read` returns."""
    return lambda options: iter((Observation(read()),))


def target_requests(attainment: Attainment) -> Callback:
    """Return a callback that shows requests met and missed by target."""
    return lambda options: _target_requests(attainment)


def penalties_owed(attainment: Attainment) -> Callback:
    """Return a callback that shows the penalties owed by target."""
    return lambda options: _penalties_owed(attainment)


def _target_requests(attainment: Attainment) -> Iterator[Observation]:
    for total in attainment.by_service(MAX_SERVICE_LABELS):
        labels = _labels(total)
        yield Observation(total.count.met, {**labels, 'result': 'met'})
        yield Observation(total.count.missed, {**labels, 'result': 'missed'})


def _penalties_owed(attainment: Attainment) -> Iterator[Observation]:
    for total in attainment.by_service(MAX_SERVICE_LABELS):
        yield Observation(total.count.owed, _labels(total))


def _labels(total: ServiceSum) -> dict[str, str]:
    return {'service': total.service, 'band': total.band.value}
