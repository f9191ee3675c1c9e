"""Expected arrivals of short requests and their residence time.

Load pattern: a prompt of half a million tokens arrives while dozens of short
requests arrive per second. If two thirds of the engines read the prompt at
once, they need two seconds. Every short request of these two seconds then has
to find a slot on the remaining third.

Without this, only existing streams are weighed against the prompt, and the
short requests of the next second are all late.
"""

import math

import msgspec

#: Time constant over which arrivals are averaged, in seconds. The mix of
#: traffic changes within a second; a mean over a shorter time is mostly noise.
_MEAN_SECONDS = 0.8
#: Residence time of a short request until the first one has ended, in seconds:
#: about 1,600 tokens at one millisecond each.
_INITIAL_SLOT_SECONDS = 1.7
#: Weight of each ended request in the mean residence time.
_SLOT_SECONDS_WEIGHT = 0.05


class PredictedDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Short requests that are expected to arrive.

    Attributes
    ----------
    short_requests_per_s
        Arrivals per second at all entries together.
    slot_seconds
        Residence time of a short request in its slot, in seconds.
    """

    short_requests_per_s: float = 0
    slot_seconds: float = _INITIAL_SLOT_SECONDS

    def overflow(
        self,
        seconds: float,
        free_slots: float,
        busy_slots: float,
    ) -> float:
        """Return the number of requests that find no slot within some time.

        Parameters
        ----------
        free_slots, busy_slots
            Slots on the engines that remain for short requests: those that
            are free, and those whose requests may end meanwhile.

        Examples
        --------
        >>> PredictedDemand(
        ...     short_requests_per_s=40, slot_seconds=2,
        ... ).overflow(2, 30, 20)
        30
        """
        released = busy_slots * min(1, seconds / self.slot_seconds)
        return max(
            0, self.short_requests_per_s * seconds - free_slots - released
        )


class ShortRequestMeter:
    """Measures the short requests that arrive at one entry.

    Examples
    --------
    >>> meter = ShortRequestMeter()
    >>> for arrival in range(400):
    ...     meter.record_arrival(arrival / 40)
    >>> round(meter.rate(10), -1)
    40.0
    """

    def __init__(self) -> None:
        self.slot_seconds = _INITIAL_SLOT_SECONDS
        self._level: float = 0
        self._updated_at: float = 0

    def record_arrival(self, now: float) -> None:
        """Record the arrival of a short request."""
        self._level = self._decayed(now) + 1
        self._updated_at = now

    def record_end(self, seconds: float) -> None:
        """Record the residence time of a request that has ended."""
        self.slot_seconds += (
            seconds - self.slot_seconds
        ) * _SLOT_SECONDS_WEIGHT

    def rate(self, now: float) -> float:
        """Return the number of arrivals per second."""
        return self._decayed(now) / _MEAN_SECONDS

    def _decayed(self, now: float) -> float:
        elapsed = max(0, now - self._updated_at)
        return self._level * math.exp(-elapsed / _MEAN_SECONDS)
