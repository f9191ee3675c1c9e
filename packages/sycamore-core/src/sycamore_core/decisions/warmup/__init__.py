"""Requests to endpoints that are cold after a start.

Load pattern: endpoints start during traffic, one by one or a whole zone at
once. A cold endpoint is slower than others and crashes if it receives well
above a published rate.
"""

from .cold_limits import ColdLimits, cold_bound
from .cold_periods import ColdPeriods, seconds_from_start
from .placing import ColdCosts, Slowdown

__all__ = (
    'ColdCosts',
    'ColdLimits',
    'ColdPeriods',
    'Slowdown',
    'cold_bound',
    'seconds_from_start',
)
