"""How a change that the operator confirmed reaches all entries in time."""

from .claimed_versions import ANSWER_SECONDS, ClaimedVersions
from .watch_times import CellPlace, watch_seconds

__all__ = ('ANSWER_SECONDS', 'CellPlace', 'ClaimedVersions', 'watch_seconds')
