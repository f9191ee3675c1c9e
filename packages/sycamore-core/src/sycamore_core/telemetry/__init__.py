"""Logs as JSON lines and metrics for operators."""

from .logs import Log, start_logging
from .metrics import Metrics

__all__ = ('Log', 'Metrics', 'start_logging')
