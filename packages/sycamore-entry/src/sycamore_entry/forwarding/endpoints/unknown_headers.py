"""Counts and logs the headers of answers that the entry does not know.

Without this, a new header of endpoints, such as a notice that they leave, would
be forwarded without any trace in logs or metrics.
"""

from collections.abc import Iterable

from sycamore_core.ids import EndpointId
from sycamore_core.telemetry import Log

from ..metrics import ForwardingMetrics

#: Largest number of names that are counted separately. A faulty endpoint may
#: send any number of names.
MAX_NAMES = 30
_OTHERS_LABEL = 'others'


class UnknownHeaders:
    """Counts unknown headers by name and logs each name once.

    Attributes
    ----------
    names
        Names that have been logged.
    """

    def __init__(self, metrics: ForwardingMetrics, log: Log) -> None:
        self.metrics = metrics
        self.log = log
        self.names: set[str] = set()

    def record(self, names: Iterable[str], endpoint: EndpointId) -> None:
        """Record the unknown headers of one answer."""
        for name in names:
            self.metrics.unknown_headers.add(self._label(name, endpoint))

    def _label(self, name: str, endpoint: EndpointId) -> str:
        """Return the label that counts a header; log a new name."""
        if name in self.names:
            return name
        if len(self.names) >= MAX_NAMES:
            return _OTHERS_LABEL
        self.names.add(name)
        self.log.warning('header_unknown', name=name, endpoint=endpoint)
        return name
