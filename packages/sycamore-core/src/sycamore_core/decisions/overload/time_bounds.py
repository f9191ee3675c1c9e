"""Time that less urgent requests may use.

Load pattern: long prompts have a time limit of 15 s, and more urgent prompts
of the same service one of 10 s. For some seconds, each request waits for 12 s.

If the forecast used the time limit of each request alone, all urgent prompts
would be refused, while long prompts with more time are served.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import Self

from ...ids import ServiceId
from ...routing import Route


class UrgentLimits:
    """Shortest time limit of the more urgent routes of each service.

    Attributes
    ----------
    limits
        Shortest time limit by priority, for each service, in seconds.
    """

    def __init__(self) -> None:
        self.limits: defaultdict[ServiceId, dict[int, float]]
        self.limits = defaultdict(dict)

    @classmethod
    def from_routes(cls, routes: Iterable[Route]) -> Self:
        """Return the limits of the routes that are not public."""
        urgent = cls()
        for route in routes:
            if not route.is_public:
                urgent._add(route)
        return urgent

    def shortest(self, service: ServiceId, priority: int) -> float | None:
        """Return the shortest limit of more urgent routes, in seconds.

        None if no route of the service is more urgent.
        """
        limits = self.limits.get(service, {})
        urgent = [limit for other, limit in limits.items() if other < priority]
        return min(urgent, default=None)

    def _add(self, route: Route) -> None:
        for share in route.services:
            limits = self.limits[share.service]
            known = limits.get(route.priority, route.time_limit)
            limits[route.priority] = min(known, route.time_limit)


def usable_seconds(
    seconds_left: float,
    total_seconds: float,
    urgent_limit: float | None,
) -> float:
    """Return the time within which a request must be answered, in seconds.

    Parameters
    ----------
    seconds_left, total_seconds
        Time until the time limit of the request, now and on its arrival, in
        seconds.
    urgent_limit
        Shortest time limit of more urgent requests, in seconds; None if there
        are none.

    Examples
    --------
    >>> usable_seconds(14, 15, 10), usable_seconds(14, 15, None)
    (9, 14)
    """
    if urgent_limit is None:
        return seconds_left
    return seconds_left - max(0, total_seconds - urgent_limit)
