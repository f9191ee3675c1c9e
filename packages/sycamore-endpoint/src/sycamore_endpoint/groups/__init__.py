"""Groups of engines that serve prompts too long for one engine."""

from .backend import GroupBackend
from .dispatcher import GroupDesk
from .leader import GroupRun, Groups
from .member import GroupMemberDesk
from .spans import divide

__all__ = (
    'GroupBackend',
    'GroupDesk',
    'GroupMemberDesk',
    'GroupRun',
    'Groups',
    'divide',
)
