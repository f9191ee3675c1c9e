"""Membership of entries: who is alive, and who exchanges updates with whom."""

from .member import Member, MemberState
from .members import LARGEST_CELL, Membership

__all__ = ('LARGEST_CELL', 'Member', 'MemberState', 'Membership')
