"""Free slots of a service and the rate at which slots become free.

Load pattern: all slots of a fleet are occupied, and each request occupies its
slot for about two seconds. A few hundred slots become free at an almost
constant rate, which the number of occupied slots and the mean residence time
determine.
"""

from collections.abc import Iterable
from typing import Self

import msgspec


class EndpointSlots(msgspec.Struct, frozen=True):
    """Slots of one endpoint and the requests that it has.

    Attributes
    ----------
    requests
        Requests of all entries, as far as they are reported.
    """

    slots: int
    requests: int


class SlotSupply(msgspec.Struct, frozen=True, kw_only=True):
    """Slots of the endpoints that a service can use now.

    Attributes
    ----------
    free, busy
        Free and occupied slots.
    slot_seconds
        Mean time for which a request occupies a slot, in seconds.
    """

    free: int
    busy: int
    slot_seconds: float

    @classmethod
    def from_endpoints(
        cls,
        endpoints: Iterable[EndpointSlots],
        slot_seconds: float,
    ) -> Self:
        """Return the sum over some endpoints.

        Examples
        --------
        >>> SlotSupply.from_endpoints(
        ...     [EndpointSlots(6, 8), EndpointSlots(6, 4)], slot_seconds=2,
        ... )
        SlotSupply(free=2, busy=10, slot_seconds=2)
        """
        free = 0
        busy = 0
        for endpoint in endpoints:
            occupied = min(endpoint.slots, endpoint.requests)
            busy += occupied
            free += endpoint.slots - occupied
        return cls(free=free, busy=busy, slot_seconds=slot_seconds)

    @property
    def freed_per_s(self) -> float:
        """Return the number of slots that become free per second."""
        if self.slot_seconds <= 0:
            return 0
        return self.busy / self.slot_seconds
