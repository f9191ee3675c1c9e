"""Reports between entries about requests that wait for a slot."""

import msgspec

from ..ids import ServiceId
from .ranks import Rank


class WaitingReport(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one rank that wait at an entry for a slot of a service.

    Attributes
    ----------
    count
        Number of waiting requests.
    longest_seconds
        Time for which the first of them has waited, in seconds. The first one
        is that which gets the next slot.
    late_in
        Time until the first of them can no longer meet its objective, in
        seconds; negative if it cannot.
    """

    service: ServiceId
    rank: Rank
    count: int
    longest_seconds: float
    late_in: float = 0
