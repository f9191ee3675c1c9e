"""Virtual time: a scheduler run against engine models, and what callers get."""

from .driver import DriverSettings, VirtualDriver, run_scheduler
from .reports import BandReport, RunReport, report_on
from .results import CallerResult
from .workloads import Arrival, Workload, WorkloadSettings, fleet_settings

__all__ = (
    'Arrival',
    'BandReport',
    'CallerResult',
    'DriverSettings',
    'RunReport',
    'VirtualDriver',
    'Workload',
    'WorkloadSettings',
    'fleet_settings',
    'report_on',
    'run_scheduler',
)
