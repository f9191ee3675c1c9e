"""Admission control: which requests are refused, and when callers return.

Load pattern: 2.6 times the usual traffic arrives for 9 s while a third of the
engines is gone, and refused callers retry immediately; or one of three replicas
of a plain service is lost during a burst. The modules use the free slots of a
service, the rate at which slots become free, and the requests that wait for
them. All entries report these figures to each other, so no module needs a
coordinator.
"""

from .admission_forecast import AdmissionForecast, RequestNeed
from .moves import SilentAttempt, is_fleet_full, is_move_useful
from .plain_forecast import REPORT_DELAY_SECONDS, PlainForecast, PlainTimes
from .return_schedule import CapacityOutlook, ReturnKey, ReturnSchedule
from .slot_supply import EndpointSlots, SlotSupply
from .time_bounds import UrgentLimits, usable_seconds
from .waiting_order import (
    WaitingCall,
    count_before,
    count_waiting,
    find_displaced,
)

__all__ = (
    'AdmissionForecast',
    'CapacityOutlook',
    'EndpointSlots',
    'PlainForecast',
    'PlainTimes',
    'REPORT_DELAY_SECONDS',
    'RequestNeed',
    'ReturnKey',
    'ReturnSchedule',
    'SilentAttempt',
    'SlotSupply',
    'UrgentLimits',
    'WaitingCall',
    'count_before',
    'count_waiting',
    'find_displaced',
    'is_fleet_full',
    'is_move_useful',
    'usable_seconds',
)
