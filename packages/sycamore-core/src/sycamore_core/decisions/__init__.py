"""Scheduling decisions: pure modules without network, clock or randomness.

The caller passes the time as `now`, in seconds on a monotonic clock, and the
randomness as a function that returns numbers from 0 to 1.
"""

from .fair import FairScheduler
from .naive import NaiveScheduler
from .requests import RequestView
from .scheduler import (
    Dispatch,
    Draw,
    Queued,
    Refusal,
    Requeued,
    Scheduler,
    SchedulerSnapshot,
    WorkspaceSnapshot,
)
from .views import EndpointView

__all__ = (
    'Dispatch',
    'Draw',
    'EndpointView',
    'FairScheduler',
    'NaiveScheduler',
    'Queued',
    'Refusal',
    'RequestView',
    'Requeued',
    'Scheduler',
    'SchedulerSnapshot',
    'WorkspaceSnapshot',
)
