"""Headers of answers whose meaning is not known.

What goes wrong otherwise: endpoints begin to say something new, such as that
they leave, which is handed on and leaves no trace.
"""

from collections.abc import Iterable

from sycamore_core.ids import EndpointId
from sycamore_core.telemetry import Log

from ..metrics import ForwardingMetrics

#: Names that are told apart at most: a faulty endpoint may send any.
MOST_NAMES = 30
_OTHERS = 'others'


class UnknownHeaders:
    """Counts them by their name, and logs each name once.

    Attributes
    ----------
    names
        Those that were logged.
    """

    def __init__(self, metrics: ForwardingMetrics, log: Log) -> None:
        self.metrics = metrics
        self.log = log
        self.names: set[str] = set()

    def note(self, names: Iterable[str], endpoint: EndpointId) -> None:
        """Note the unknown headers of one answer."""
        for name in names:
            self.metrics.unknown_headers.add(self._label(name, endpoint))

    def _label(self, name: str, endpoint: EndpointId) -> str:
        """Return by what a header is counted; log it if it is new."""
        if name in self.names:
            return name
        if len(self.names) >= MOST_NAMES:
            return _OTHERS
        self.names.add(name)
        self.log.warning('header_unknown', name=name, endpoint=endpoint)
        return name
