"""Rate limit and hysteresis for changes of endpoint weights.

Load pattern: weights that follow load reports which are 1 to 5 seconds old,
and entries and endpoints that start and restart.

Without the rate limit, all entries stop using an endpoint on the same outdated
report and return to it on the next one, so the load oscillates between
endpoints. A joining endpoint, with an empty queue and a cold cache, receives
the work of all entries.

Settling time: a weight follows a lasting decrease of its target within 4 s and
a lasting increase within 10 s. A target of 0 is applied immediately.
"""

import math
from collections.abc import Mapping

from ..ids import EndpointId

#: Difference from the target below which a weight does not change. Reports of
#: equal endpoints differ by about a tenth from one second to the next.
HYSTERESIS = 0.1
#: Maximum increase of a weight per second, where 1 is the full weight. Over
#: the longest report lag of 5 s a weight rises by half, so a wrong increase
#: shows in the reports before it is complete.
MAX_RISE_PER_SECOND = 0.1
#: Maximum decrease of a weight per second. Leaving a busy endpoint late costs
#: callers more than returning to it late.
MAX_FALL_PER_SECOND = 0.25
#: Initial weight of an endpoint that joins after the first update.
JOINING_WEIGHT = 0.1
#: Longest time that counts as one step, in seconds. Otherwise an entry that was
#: suspended would make one large change, based on outdated reports.
MAX_STEP_SECONDS = 2.0


class WeightRamp:
    """Weights that approach their targets at a limited rate.

    Examples
    --------
    >>> ramp = WeightRamp()
    >>> ramp.update({EndpointId('e1'): 1}, now=0)
    {'e1': 1}
    >>> weights = ramp.update({EndpointId('e1'): 0.2}, now=1)
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
        """Move the weights towards the targets and return them."""
        if self.updated_at is None:
            # A starting entry has no load to shift, so nothing can oscillate.
            # Low initial weights would be equally low for all endpoints.
            self.weights = dict(targets)
        else:
            elapsed = min(MAX_STEP_SECONDS, max(0, now - self.updated_at))
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
        # Skip small changes, except to the full weight or from zero, where
        # the weight would otherwise never reach its target.
        small = math.fabs(target - weight) < HYSTERESIS
        if small and weight and target < 1:
            return weight
        if target > weight:
            return min(target, weight + MAX_RISE_PER_SECOND * elapsed)
        return max(target, weight - MAX_FALL_PER_SECOND * elapsed)
