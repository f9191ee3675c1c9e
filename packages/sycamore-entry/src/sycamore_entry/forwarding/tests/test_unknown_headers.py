"""Headers of answers whose meaning is not known leave a trace."""

from sycamore_core.ids import EndpointId
from sycamore_core.telemetry import Log

from ..endpoints.unknown_headers import MOST_NAMES, UnknownHeaders
from ..metrics import ForwardingMetrics

ENDPOINT = EndpointId('e1')


def made() -> UnknownHeaders:
    return UnknownHeaders(ForwardingMetrics(), Log('forwarding'))


def test_each_name_is_counted() -> None:
    headers = made()
    headers.note(('Mood',), ENDPOINT)
    headers.note(('Mood', 'Colour'), ENDPOINT)
    assert headers.metrics.unknown_headers.counts == {'Mood': 2, 'Colour': 1}


def test_names_without_number_are_counted_together() -> None:
    """Guards against an endpoint that fills logs and memory with names."""
    headers = made()
    for number in range(3 * MOST_NAMES):
        headers.note((f'X-{number}',), ENDPOINT)
    assert len(headers.names) == MOST_NAMES
    assert len(headers.metrics.unknown_headers.counts) == MOST_NAMES + 1
