"""Prompts beyond one engine: the leader and the members of a group."""

from .backend import GroupBackend
from .desk import GroupDesk
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
