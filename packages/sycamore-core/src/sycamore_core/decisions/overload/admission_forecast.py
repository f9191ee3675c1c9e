"""Whether a request without a free slot can still be served in its time.

Load pattern: 2.6 times the usual traffic arrives for 9 s while a third of the
engines is gone. More requests wait than the remaining slots can serve in
10 s.

Without this, requests wait until their time limits expire, or take a slot and
are cut at their limits, although it is known on their arrival that they cannot
be served. Their callers could have been refused at once, and would have had
time for a retry.

A request is served after the free slots and the slots that become free have
served all requests before it. More urgent requests that will arrive are not
counted: the forecast is made again while the request waits, and a replay of
this load that counted them refused less urgent requests that the quota of late
work would have served.
"""

import math

import msgspec

from .slot_supply import SlotSupply


class RequestNeed(msgspec.Struct, frozen=True, kw_only=True):
    """Time that a request has and needs.

    Attributes
    ----------
    seconds_left
        Time until the request must be answered, in seconds; see
        `usable_seconds`.
    service_seconds
        Time that the request needs once it has a slot, in seconds.
    """

    seconds_left: float
    service_seconds: float = 0


class AdmissionForecast(msgspec.Struct, frozen=True, kw_only=True):
    """Forecast for one request that has no slot yet.

    Attributes
    ----------
    waiting_before
        Requests that wait at any entry and receive a slot first.

    Examples
    --------
    >>> supply = SlotSupply(free=0, busy=200, slot_seconds=2)
    >>> forecast = AdmissionForecast(supply=supply, waiting_before=149)
    >>> forecast.expected_seconds
    1.5
    >>> forecast.can_be_served(RequestNeed(seconds_left=3, service_seconds=2))
    False
    """

    supply: SlotSupply
    waiting_before: int = 0

    @property
    def has_free_slot(self) -> bool:
        """Whether a slot is free that no earlier request needs."""
        return self.waiting_before < self.supply.free

    @property
    def expected_seconds(self) -> float:
        """Return the expected time until the request has a slot, in seconds.

        Infinite if no slot is expected to become free.
        """
        if self.has_free_slot:
            return 0
        if self.supply.freed_per_s <= 0:
            return math.inf
        missing = self.waiting_before + 1 - self.supply.free
        return missing / self.supply.freed_per_s

    def can_be_served(self, need: RequestNeed) -> bool:
        """Return whether the request can be served within its time.

        A request with a free slot is served however little time it has left:
        nothing else would use the slot.
        """
        if self.has_free_slot:
            return True
        expected = self.expected_seconds + need.service_seconds
        return expected <= need.seconds_left
