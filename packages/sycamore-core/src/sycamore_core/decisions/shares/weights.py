"""Weights of workspaces from a configuration that may be invalid."""

import math
from typing import Any

#: Weight of a workspace whose configured weight is invalid or missing.
DEFAULT_WEIGHT = 1.0
#: Largest weight. A larger one would leave the other workspaces with shares
#: that floating-point numbers cannot tell apart.
MAX_WEIGHT = 1e6
#: Smallest weight above 0. A smaller one would be lost beside the largest in
#: sums of weights.
MIN_WEIGHT = 1e-3


def clean_weight(weight: Any) -> float:
    """Return a weight that is 0 or more; 1 for an invalid weight.

    Examples
    --------
    >>> [clean_weight(weight) for weight in (2, 0, -1, float('nan'), 'two')]
    [2.0, 0.0, 1.0, 1.0, 1.0]
    """
    if not is_valid_weight(weight):
        return DEFAULT_WEIGHT
    smallest = MIN_WEIGHT if weight else 0
    return float(min(MAX_WEIGHT, max(smallest, weight)))


def is_valid_weight(weight: Any) -> bool:
    """Return whether a weight is a finite number that is not negative."""
    if isinstance(weight, bool) or not isinstance(weight, int | float):
        return False
    return 0 <= weight < math.inf
