"""How quickly the place where work goes changes.

Load pattern: weights that follow reports which are 1 to 5 seconds old, and
entries and endpoints that start and restart.

Without it: all entries leave an endpoint on the same old report, return to it
on the next, and the load swings between endpoints for as long as it lasts. An
endpoint that joins with an empty queue and a cold cache gets the work of all.

Settling time: a weight follows a lasting change downwards within 4 s and
upwards within 10 s; a target of 0 is followed at once.
"""

import math
from collections.abc import Mapping

from ..ids import EndpointId

#: Difference below which a weight stays where it is. Reports of equal
#: endpoints differ by about a tenth from one second to the next.
HYSTERESIS = 0.1
#: Largest part of a whole weight by which it rises, by the second. Over the
#: longest lag of 5 s it rises by half, so a wrong rise shows in the reports
#: before it is complete.
RISE_PER_SECOND = 0.1
#: The same for falling. Leaving a busy endpoint late costs callers more than
#: returning late.
FALL_PER_SECOND = 0.25
#: Weight with which an endpoint joins that was not there from the start.
JOINING_WEIGHT = 0.1
#: Longest time that counts as one step, in seconds: an entry that was paused
#: would otherwise make up for all of it in one jump, on old reports.
LONGEST_STEP = 2.0


class PacedWeights:
    """Weights that follow their targets in limited steps.

    Examples
    --------
    >>> paced = PacedWeights()
    >>> paced.update({EndpointId('e1'): 1}, now=0)
    {'e1': 1}
    >>> weights = paced.update({EndpointId('e1'): 0.2}, now=1)
    >>> weights[EndpointId('e1')]
    0.75
    """

    def __init__(self) -> None:
        self.weights: dict[EndpointId, float] = {}
        self.updated_at: float | None = None

    def update(
        self,
        targets: Mapping[EndpointId, float],
        now: float,
    ) -> Mapping[EndpointId, float]:
        """Move towards the targets and return the weights in force."""
        if self.updated_at is None:
            # An entry that starts has sent nothing, so nothing can swing. If
            # it began at low weights, they would all be low alike.
            self.weights = dict(targets)
        else:
            elapsed = min(LONGEST_STEP, max(0, now - self.updated_at))
            self.weights = {
                endpoint: self._step(endpoint, target, elapsed)
                for endpoint, target in targets.items()
            }
        self.updated_at = now
        return self.weights

    def _step(
        self,
        endpoint: EndpointId,
        target: float,
        elapsed: float,
    ) -> float:
        weight = self.weights.get(endpoint)
        if weight is None:
            return min(target, JOINING_WEIGHT)
        if not target:
            return 0
        # A change that is too small is left, unless it ends at a whole weight
        # or begins at none, where it would otherwise stay for ever.
        small = math.fabs(target - weight) < HYSTERESIS
        if small and weight and target < 1:
            return weight
        if target > weight:
            return min(target, weight + RISE_PER_SECOND * elapsed)
        return max(target, weight - FALL_PER_SECOND * elapsed)
