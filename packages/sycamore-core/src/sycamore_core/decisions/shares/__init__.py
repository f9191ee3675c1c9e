"""Fair shares of workspaces in the engines of a fleet.

Load pattern: the fleet is full and requests wait. One workspace sends twenty
times its part, or its callers retry a refused request immediately and several
times. Prompts differ in engine time by a factor of a thousand.

If requests were served in order of arrival, the workspace with the most
requests, retries included, would have nearly all slots. If workspaces took
turns by requests, the one with the longest prompts would have nearly all of the
engine time.

The modules meter the engine time and the memory that each workspace uses, add
the reports of peers, and compute weighted max-min shares. Requests of the
workspace with the lowest position (usage divided by share) are served first.
"""

from .attempt_work import AttemptWork
from .fleet_usage import MAX_REPORTED_WORKSPACES, FleetUsage, largest_usages
from .max_min import Claim, fair_level
from .meter import METER_SECONDS, RunningWork, UsageMeter
from .served_rates import ServedRates
from .weights import clean_weight, is_valid_weight
from .workspace_shares import (
    RECLAIM_SECONDS,
    SlotSize,
    WorkspaceShares,
)

__all__ = (
    'MAX_REPORTED_WORKSPACES',
    'METER_SECONDS',
    'RECLAIM_SECONDS',
    'AttemptWork',
    'Claim',
    'SlotSize',
    'FleetUsage',
    'RunningWork',
    'ServedRates',
    'UsageMeter',
    'WorkspaceShares',
    'clean_weight',
    'fair_level',
    'is_valid_weight',
    'largest_usages',
)
