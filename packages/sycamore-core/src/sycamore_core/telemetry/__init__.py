"""JSON logs, Prometheus metrics and attainment of the targets."""

from .attainment import Attainment, AttainmentKey, AttainmentRow
from .gauges import Gauge
from .logs import Log, start_logging
from .metrics import Metrics

__all__ = (
    'Attainment',
    'AttainmentKey',
    'AttainmentRow',
    'Gauge',
    'Log',
    'Metrics',
    'start_logging',
)
