"""JSON logs, Prometheus metrics and attainment of the targets."""

from .attainment import Attainment, AttainmentKey, AttainmentRow
from .error_fields import error_fields
from .event_loop import EventLoopWatch
from .gauges import Gauge
from .logs import Log
from .metrics import Metrics
from .process_times import DelayCause, ProcessTimes, process_age_seconds
from .starting import start_logging

__all__ = (
    'Attainment',
    'AttainmentKey',
    'AttainmentRow',
    'DelayCause',
    'EventLoopWatch',
    'Gauge',
    'Log',
    'Metrics',
    'ProcessTimes',
    'error_fields',
    'process_age_seconds',
    'start_logging',
)
