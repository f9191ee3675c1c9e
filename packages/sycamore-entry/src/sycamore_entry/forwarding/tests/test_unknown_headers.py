"""Unknown headers of answers are counted."""

from sycamore_core.ids import EndpointId
from sycamore_core.telemetry import Log

from ..endpoints.unknown_headers import MAX_NAMES, UnknownHeaders
from ..metrics import ForwardingMetrics

ENDPOINT = EndpointId('e1')


def unknown_headers() -> UnknownHeaders:
    return UnknownHeaders(ForwardingMetrics(), Log('forwarding'))


def test_each_name_is_counted() -> None:
    headers = unknown_headers()
    headers.record(('Mood',), ENDPOINT)
    headers.record(('Mood', 'Colour'), ENDPOINT)
    assert headers.metrics.unknown_headers.counts == {'Mood': 2, 'Colour': 1}


def test_names_beyond_the_limit_are_counted_together() -> None:
    """Guards against an endpoint that fills logs and memory with names."""
    headers = unknown_headers()
    for number in range(3 * MAX_NAMES):
        headers.record((f'X-{number}',), ENDPOINT)
    assert len(headers.names) == MAX_NAMES
    assert len(headers.metrics.unknown_headers.counts) == MAX_NAMES + 1
