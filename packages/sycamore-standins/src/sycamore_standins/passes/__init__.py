"""Replays of loads on engines that work in passes, in virtual time.

``python -m sycamore_standins.passes`` compares placement policies. Neither
network nor clock nor hidden randomness is involved: what comes out depends on
the seeds alone.
"""

from .answers import Answer
from .engine import Part, PassEngine, PassResult
from .loads import LOADS, PromptKind, ReplayLoad, ReplayRequest
from .policies import NaivePolicy, Placed, PlannedPolicy, Policy
from .replay import Replay
from .results import ReplayReport, report_on

__all__ = (
    'LOADS',
    'Answer',
    'NaivePolicy',
    'Part',
    'PassEngine',
    'PassResult',
    'Placed',
    'PlannedPolicy',
    'Policy',
    'PromptKind',
    'Replay',
    'ReplayLoad',
    'ReplayReport',
    'ReplayRequest',
    'report_on',
)
