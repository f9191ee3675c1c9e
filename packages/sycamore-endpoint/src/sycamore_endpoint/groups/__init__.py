"""Groups of engines that serve prompts too long for one engine."""

from .backend import GroupBackend
from .dispatcher import GroupDispatcher
from .leader import GroupRun, LedGroups
from .member import GroupMemberHandler
from .spans import split_prompt

__all__ = (
    'GroupBackend',
    'GroupDispatcher',
    'GroupMemberHandler',
    'GroupRun',
    'LedGroups',
    'split_prompt',
)
