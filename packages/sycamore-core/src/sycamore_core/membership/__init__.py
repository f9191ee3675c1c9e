"""Which entries there are, and which of them an entry talks to how often."""

from .member import Member, MemberState
from .members import LARGEST_CELL, Membership

__all__ = ('LARGEST_CELL', 'Member', 'MemberState', 'Membership')
