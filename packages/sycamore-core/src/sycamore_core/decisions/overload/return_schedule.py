"""Times at which refused callers return.

Load pattern: a burst fills all engines, and each entry refuses dozens of
callers per second. Each caller retries once, mostly through another entry.

If each caller were told the mean residence time with some jitter, more callers
would return per second than slots become free, and most of them would be
refused for good. This schedule gives each caller the time of a slot that is
expected to become free. Callers of one rank return in the order in which they
were refused.

Entries share no state. Each entry uses its share of the slots that become
free, so the callers of all entries together return as fast as slots become
free, through whichever entry they return.
"""

import math

import msgspec

from ...ids import ServiceId
from ...routing import Rank
from ..direct import CallerTime

#: Shortest return time, in seconds. Reports of peers and the retry itself take
#: some tens of milliseconds.
MIN_RETURN_SECONDS = 0.1
#: Upper bound of a return time, as a fraction of the caller's remaining time.
#: Callers do not honour longer times.
_MAX_RETURN_FRACTION = 1 / 3
#: Part of the longest return time over which callers are spread for whom no
#: slot is expected before.
_OVERFLOW_SPREAD = 0.35


class ReturnKey(msgspec.Struct, frozen=True):
    """Callers who share one schedule."""

    service: ServiceId
    rank: Rank


class CapacityOutlook(msgspec.Struct, frozen=True, kw_only=True):
    """Slots that become free for refused callers of one rank.

    Attributes
    ----------
    first_seconds
        Time until the requests that wait now have slots, in seconds.
    slots_per_s
        Slots per second that then become free, for all entries.
    entries
        Number of entries that share the slots.
    """

    first_seconds: float
    slots_per_s: float
    entries: int = 1

    @property
    def interval_seconds(self) -> float:
        """Return the time between two slots of this entry, in seconds."""
        if self.slots_per_s <= 0:
            return math.inf
        return max(1, self.entries) / self.slots_per_s


class ReturnSchedule:
    """Return times of the callers that this entry refuses.

    Attributes
    ----------
    next_at
        Time of the next slot for a refused caller, on the monotonic clock in
        seconds.

    Examples
    --------
    >>> schedule = ReturnSchedule()
    >>> key = ReturnKey('chat', Rank(0, 0))
    >>> outlook = CapacityOutlook(first_seconds=0.5, slots_per_s=4)
    >>> caller = CallerTime(remaining_seconds=9, jitter=0)
    >>> [schedule.assign(key, outlook, caller, now=0) for _ in range(3)]
    [0.5, 0.75, 1.0]
    """

    def __init__(self) -> None:
        self.next_at: dict[ReturnKey, float] = {}

    def assign(
        self,
        key: ReturnKey,
        outlook: CapacityOutlook,
        caller: CallerTime,
        now: float,
    ) -> float:
        """Return the time after which a caller returns, in seconds."""
        longest = caller.remaining_seconds * _MAX_RETURN_FRACTION
        earliest = now + max(MIN_RETURN_SECONDS, outlook.first_seconds)
        slot_at = max(earliest, self.next_at.get(key, 0))
        interval = outlook.interval_seconds
        if slot_at + interval > now + longest:
            # No slot is expected while the caller waits. The schedule does not
            # advance: it would grow without bound, and callers who are refused
            # after the burst would still be told the longest time.
            seconds = longest * (1 - _OVERFLOW_SPREAD * caller.jitter)
            return max(MIN_RETURN_SECONDS, seconds)
        self.next_at[key] = slot_at + interval
        # The first callers of all entries are refused at the same moment, so
        # each returns at its own time within the interval.
        return slot_at - now + interval * caller.jitter
