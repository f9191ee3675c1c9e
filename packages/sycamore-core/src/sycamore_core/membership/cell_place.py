"""The place of an entry in its cell."""

from ..decisions.propagation import CellPlace
from .members import Membership


def place_in_cell(membership: Membership) -> CellPlace:
    """Return the place of an entry among the live entries of its cell.

    Examples
    --------
    >>> membership = Membership('tcp://a2', 'a')
    >>> _ = membership.mark_alive('tcp://a1', 'a', 'a1', now=0)
    >>> place_in_cell(membership)
    CellPlace(rank=1, entries=2)
    """
    alive = [
        one.address
        for one in membership.members.values()
        if one.is_alive and membership.is_own_cell(one.zone)
    ]
    before = [address for address in alive if address < membership.address]
    return CellPlace(len(before), len(alive) + 1)
