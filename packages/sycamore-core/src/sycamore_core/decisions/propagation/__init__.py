"""How a change that the operator confirmed reaches all entries in time."""

from .claimed_versions import ANSWER_SECONDS, ClaimedVersions

__all__ = ('ANSWER_SECONDS', 'ClaimedVersions')
