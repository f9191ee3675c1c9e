"""Membership of entries: who is alive, and who exchanges updates with whom."""

from .cell_place import place_in_cell
from .member import Member, MemberState
from .members import LARGEST_CELL, Membership

__all__ = (
    'LARGEST_CELL',
    'Member',
    'MemberState',
    'Membership',
    'place_in_cell',
)
