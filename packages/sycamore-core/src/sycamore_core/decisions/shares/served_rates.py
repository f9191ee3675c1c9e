"""Which part of the requests of each workspace is served.

Load pattern: workspaces of unequal size have equal weights, and all send more
than their part. By shares alone, the largest workspace is served a twentieth of
what it sends while the others are served half. A workspace must be served at
least at a quarter of the rate over all workspaces.
"""

import math

import msgspec

from ...ids import WorkspaceId

#: Lowest rate of a workspace, as a fraction of the rate over all workspaces.
#: It is a fifth above the promised quarter: the entry serves such a workspace
#: first, but the slots that become free first may be long in use.
FLOOR_FRACTION = 0.3
#: Requests that must be missing from the floor. Each of many entries sees few
#: requests of a workspace: without this, a workspace far above the floor is
#: below it by chance at some entries, and goes first there.
_MIN_MISSING = 0.5
#: Time constant of the counts, in seconds: the length of a burst.
_DECAY_SECONDS = 10.0
#: Time after its last request for which a workspace is remembered, in seconds.
#: A twentieth of its count is left then.
_RETENTION_SECONDS = 3 * _DECAY_SECONDS


class RequestCount(msgspec.Struct):
    """Requests that arrived and that were served, less those long ago."""

    counted_at: float
    arrived: float = 0
    served: float = 0

    @property
    def rate(self) -> float:
        """Fraction of the requests that were served."""
        return self.served / self.arrived if self.arrived else 1

    def add(self, now: float, *, arrived: float = 0, served: float = 0) -> None:
        """Add requests to the counts."""
        elapsed = max(0, now - self.counted_at)
        kept = math.exp(-elapsed / _DECAY_SECONDS)
        self.arrived = self.arrived * kept + arrived
        self.served = self.served * kept + served
        self.counted_at = now


class ServedRates:
    """Rates at which this entry serves workspaces.

    Parameters
    ----------
    floor
        Lowest rate of a workspace, as a fraction of the rate over all.

    Examples
    --------
    >>> rates = ServedRates()
    >>> for _ in range(9):
    ...     rates.record_arrival('small', now=0)
    ...     rates.record_served('small', now=0)
    ...     rates.record_arrival('large', now=0)
    >>> rates.is_below_floor('small'), rates.is_below_floor('large')
    (False, True)
    """

    def __init__(self, floor: float = FLOOR_FRACTION) -> None:
        self.floor = floor
        self.total = RequestCount(0)
        self.workspaces: dict[WorkspaceId, RequestCount] = {}

    def record_arrival(self, workspace: WorkspaceId, now: float) -> None:
        """Count a request that needs a slot."""
        self._count(workspace, now).add(now, arrived=1)
        self.total.add(now, arrived=1)

    def record_served(self, workspace: WorkspaceId, now: float) -> None:
        """Count a request that has got a slot."""
        self._count(workspace, now).add(now, served=1)
        self.total.add(now, served=1)

    def is_below_floor(self, workspace: WorkspaceId) -> bool:
        """Return whether a workspace is served too seldom."""
        count = self.workspaces.get(workspace)
        if count is None:
            return False
        floor = self.total.rate * self.floor
        return count.served + _MIN_MISSING < count.arrived * floor

    def drop_old(self, now: float) -> None:
        """Forget the workspaces whose requests are long ago."""
        begin = now - _RETENTION_SECONDS
        self.workspaces = {
            workspace: count
            for workspace, count in self.workspaces.items()
            if count.counted_at > begin
        }

    def _count(self, workspace: WorkspaceId, now: float) -> RequestCount:
        count = self.workspaces.get(workspace)
        if count is None:
            count = RequestCount(now)
            self.workspaces[workspace] = count
        return count
