"""A whole fleet of real processes on loopback, for tests and the demo."""

from .fleet import Fleet
from .hooks import EngineRun, Hooks
from .plan import (
    EntryPlan,
    FleetPlan,
    ModelPlan,
    PlainPlan,
    WorkspacePlan,
)
from .process import ManagedProcess, ProcessError

__all__ = (
    'EngineRun',
    'EntryPlan',
    'Fleet',
    'FleetPlan',
    'Hooks',
    'ManagedProcess',
    'ModelPlan',
    'PlainPlan',
    'ProcessError',
    'WorkspacePlan',
)
