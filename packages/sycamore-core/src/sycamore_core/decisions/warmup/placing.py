"""How much slower cold endpoints are, and which requests they are given.

Load pattern: short requests with tight objectives arrive together with prompts
whose objective is seconds away, while a part of the endpoints is cold. A cold
endpoint is slower by a factor that is not published.

If all requests were placed by load, the idle cold endpoints would get the short
requests, which are late there. If none were placed there, a third of the fleet
would be idle while the rest is full. Prompts with a distant objective are
placed on cold endpoints first, as long as they are expected in time there, and
short requests only if the other endpoints would be late.
"""

from collections.abc import Callable

import msgspec

from ...ids import EndpointId
from ..direct import ReadPlan

#: Bounds of the factor, and its value before any response.
MIN_SLOWDOWN = 1.0
MAX_SLOWDOWN = 4.0
FIRST_SLOWDOWN = 1.25
#: Weight of one response in the factor. About ten responses, which an endpoint
#: gives within its cold period, determine the factor.
_RESPONSE_WEIGHT = 0.1
#: Forecast below which a response is not counted, in milliseconds. Network
#: delays determine shorter times.
_MIN_FORECAST_MS = 10.0
#: Cost of a cold engine for a short request, in missed objectives: a little
#: less than one request that is late.
_SHORT_PENALTY = 0.9
#: Cost of a cold engine for a prompt with a distant objective. It is negative,
#: as the prompt leaves the other engines to short requests, and less than a
#: tenth of a missed objective, so that the queues of engines still count.
_DISTANT_PENALTY = -0.05


class Slowdown:
    """Learned factor by which cold endpoints of a service are slower.

    Attributes
    ----------
    factor
        Time to the first event divided by the forecast for a warm endpoint.

    Examples
    --------
    >>> slowdown = Slowdown()
    >>> slowdown.factor
    1.25
    >>> for _ in range(50):
    ...     slowdown.record(forecast_ms=100, seconds=0.2)
    >>> round(slowdown.factor, 1)
    2.0
    """

    def __init__(self) -> None:
        self.factor = FIRST_SLOWDOWN

    def record(self, forecast_ms: float, seconds: float) -> None:
        """Record the time to the first event of a cold endpoint.

        Parameters
        ----------
        forecast_ms
            Time that a warm endpoint was expected to take, in milliseconds.
        """
        if forecast_ms < _MIN_FORECAST_MS:
            return
        ratio = seconds * 1000 / forecast_ms
        bounded = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, ratio))
        self.factor += _RESPONSE_WEIGHT * (bounded - self.factor)


class ColdCosts(msgspec.Struct, frozen=True, kw_only=True):
    """What it costs to place one request on cold engines.

    Attributes
    ----------
    engines
        Engines that are cold.
    is_short
        Whether the prompt is short.
    objective_ms
        Remaining time to the first event by the objective, in milliseconds.
    weight
        Weight of the request, in short requests.
    factor
        See `Slowdown`.
    """

    engines: frozenset[EndpointId]
    is_short: bool
    objective_ms: float
    weight: float
    factor: float

    @property
    def penalty(self) -> float:
        """Cost of each cold engine, in missed objectives."""
        if self.is_short:
            return _SHORT_PENALTY * self.weight
        return _DISTANT_PENALTY

    def choose(
        self,
        plan_warm: Callable[[], ReadPlan | None],
        plan_any: Callable[[], ReadPlan | None],
    ) -> ReadPlan | None:
        """Return the plan for the request; None if there is none.

        Parameters
        ----------
        plan_warm
            Returns the best plan without cold engines.
        plan_any
            Returns the best plan of all engines, where cold engines cost
            `penalty` more.
        """
        first, second = plan_any, plan_warm
        if self.is_short:
            first, second = plan_warm, plan_any
        preferred = self._corrected(first())
        if preferred is not None and preferred.expected_ms < self.objective_ms:
            return preferred
        found = [preferred, self._corrected(second())]
        plans = [plan for plan in found if plan is not None]
        return min(plans, key=_expected_ms, default=None)

    def _corrected(self, plan: ReadPlan | None) -> ReadPlan | None:
        """Return a plan with the slowdown, and without the penalty.

        The penalty orders plans. In the interference, which other requests
        bear, it would refuse requests although cold engines have free slots.
        """
        if plan is None:
            return None
        cold_members = self.engines.intersection(plan.members)
        if not cold_members:
            return plan
        penalty = self.penalty * len(cold_members)
        return msgspec.structs.replace(
            plan,
            expected_ms=plan.expected_ms * self.factor,
            cost=plan.cost - penalty,
            interference=plan.interference - penalty,
        )


def _expected_ms(plan: ReadPlan) -> float:
    return plan.expected_ms
