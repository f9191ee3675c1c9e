"""Decisions on lifetimes of endpoints that have ended.

Load pattern: all endpoints of a zone stop responding at once while they read
long prompts with memory reserved at helpers. Others restart under the same id,
or their addresses are taken over by endpoints of other services.

Without this, an attempt at such an endpoint waits for a share of its route's
time limit, and the reserved memory is of no use to anyone meanwhile.
"""

from .early_move import MIN_REPORTERS, may_move_early
from .ended import EndedLifetimes
from .evidence import EndEvidence, LifetimeEnd
from .peer_failures import PeerFailureReports
from .removals import ENDED_SILENCE_SECONDS, RemovedLifetimes

__all__ = (
    'ENDED_SILENCE_SECONDS',
    'EndEvidence',
    'EndedLifetimes',
    'LifetimeEnd',
    'MIN_REPORTERS',
    'PeerFailureReports',
    'RemovedLifetimes',
    'may_move_early',
)
