"""How many short turns are about to come, and for how long each stays.

Load pattern: a prompt of half a million tokens comes while short turns arrive
by the dozen a second. Read by two thirds of the engines at once it is done in
two seconds; every turn of these two seconds then has to find a slot on the
last third.

Without it: only streams that exist are weighed against the prompt, and the
turns that come in the next second are late one after the other.
"""

import math

import msgspec

#: Time over which arrivals are averaged, in seconds: the mix of traffic flips
#: within a second, and a mean over less is mostly chance.
_MEAN_SECONDS = 0.8
#: Time that a turn holds its slot where none has ended yet, in seconds: about
#: 1,600 tokens at a millisecond each.
_FIRST_STAY = 1.7
#: Weight of each ended turn in the mean time that turns stay.
_STAY_WEIGHT = 0.05


class Pressure(msgspec.Struct, frozen=True, kw_only=True):
    """Short turns that are to be expected.

    Attributes
    ----------
    turns_per_s
        Arrivals at all entries together.
    stay_seconds
        Time for which a turn holds its slot.
    """

    turns_per_s: float = 0
    stay_seconds: float = _FIRST_STAY

    def overflow(
        self,
        seconds: float,
        free_slots: float,
        busy_slots: float,
    ) -> float:
        """Return how many turns find no slot within some time.

        Parameters
        ----------
        free_slots, busy_slots
            Slots that are free, or held by requests that end meanwhile, on
            the engines that are left to turns.

        Examples
        --------
        >>> Pressure(turns_per_s=40, stay_seconds=2).overflow(2, 30, 20)
        30
        """
        ended = busy_slots * min(1, seconds / self.stay_seconds)
        return max(0, self.turns_per_s * seconds - free_slots - ended)


class TurnMeter:
    """Measures the turns that arrive at one entry.

    Examples
    --------
    >>> meter = TurnMeter()
    >>> for arrival in range(400):
    ...     meter.arrived(arrival / 40)
    >>> round(meter.rate(10), -1)
    40.0
    """

    def __init__(self) -> None:
        self.stay_seconds = _FIRST_STAY
        self._level: float = 0
        self._at: float = 0

    def arrived(self, now: float) -> None:
        """Note that a turn has come."""
        self._level = self._decayed(now) + 1
        self._at = now

    def ended(self, seconds: float) -> None:
        """Note for how long a turn held its slot."""
        self.stay_seconds += (seconds - self.stay_seconds) * _STAY_WEIGHT

    def rate(self, now: float) -> float:
        """Return the arrivals a second."""
        return self._decayed(now) / _MEAN_SECONDS

    def _decayed(self, now: float) -> float:
        passed = max(0, now - self._at)
        return self._level * math.exp(-passed / _MEAN_SECONDS)
