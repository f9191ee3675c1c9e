"""Weighted max-min fairness for one resource."""

from collections.abc import Iterable
from operator import attrgetter

import msgspec


class Claim(msgspec.Struct, frozen=True):
    """What one workspace uses of a resource, and whether it wants more.

    Attributes
    ----------
    usage
        Present usage, in the unit of the resource.
    weight
        Weight of the workspace, above 0.
    is_waiting
        Whether requests of the workspace wait, so that it wants more.
    """

    usage: float
    weight: float
    is_waiting: bool

    @property
    def saturation(self) -> float:
        """Return the level at which the present usage is granted."""
        return self.usage / self.weight


def fair_level(claims: Iterable[Claim], capacity: float) -> float:
    """Return the max-min share of a workspace of weight 1.

    A workspace without waiting requests gets what it uses, at most its weight
    times the level. The others divide what remains by their weights.

    Parameters
    ----------
    capacity
        Amount to divide, in the unit of the resource. While the fleet is full
        it is the sum of all usage.

    Examples
    --------
    >>> small, large = Claim(10, 1, False), Claim(90, 1, True)
    >>> fair_level((small, large), 100)
    90.0
    >>> fair_level((Claim(10, 1, True), large), 100)
    50.0
    """
    found = tuple(claims)
    satisfied = [claim for claim in found if not claim.is_waiting]
    satisfied.sort(key=attrgetter('saturation'))
    weight = sum(claim.weight for claim in found)
    left = capacity
    level: float = 0
    for claim in satisfied:
        level = claim.saturation
        if level * weight >= left:
            return left / weight
        left -= claim.usage
        weight -= claim.weight
    # Rounding may leave a little weight although nothing waits.
    is_any_waiting = len(satisfied) < len(found)
    return left / weight if is_any_waiting else level
