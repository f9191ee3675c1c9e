"""When a caller that is refused is told to come back.

Load pattern: all entries start anew while the platform is away, or a burst
fills all engines. Every caller of that time is refused, and each comes back
once only.

Without it: callers are told a constant of half a second, return together into
the same outage or the same burst, are refused once more and lost. What is
known of the reason tells better: an outage that has lasted for two seconds is
likely to last for about as long again.

The times are spread by the request's own number, so that callers which were
refused together do not return together.
"""

import msgspec

#: Part of the time that a caller has left after which it comes back at the
#: latest: callers do not honour longer times, and need the rest to be served.
_LARGEST_PART = 0.33
#: Part of a time over which callers are spread, up and down.
_SPREAD = 0.35
#: Least expected rest of an outage of the platform, in seconds. A short one is
#: not noticed by callers; of those that are, most last for several seconds.
_LEAST_OUTAGE = 1.6
#: Least time after which callers of endpoints that rest or name a rate, and of
#: held requests, come back, in seconds: others that were refused do so as well.
_LEAST_WAIT = 0.25
#: Span over which the callers of a held request are spread at least, in
#: seconds: an attempt of one of them is answered within it.
_LEAST_HOLD_SPREAD = 1.0


class CallerTime(msgspec.Struct, frozen=True):
    """What decides how long a caller may be sent away.

    Attributes
    ----------
    left
        Time until its own limit, in seconds.
    number
        Between 0 and 1, different for each request.
    """

    left: float
    number: float


def spread(seconds: float, caller: CallerTime) -> float:
    """Return when a caller is to come back that others come back with.

    Examples
    --------
    >>> spread(1, CallerTime(left=10, number=0.5))
    1.0
    >>> round(spread(60, CallerTime(left=9, number=1)), 2)
    2.97
    """
    largest = caller.left * _LARGEST_PART
    middle = min(seconds, largest / (1 + _SPREAD))
    return middle * (1 + _SPREAD * (2 * caller.number - 1))


def after_start(away_seconds: float, caller: CallerTime) -> float:
    """Return when a caller of an entry that is not ready is to come back.

    Parameters
    ----------
    away_seconds
        For how long the platform has not answered the entry, as far as it
        knows.

    Examples
    --------
    >>> caller = CallerTime(left=10, number=0.5)
    >>> after_start(0, caller)
    1.6
    >>> round(after_start(2.2, caller), 2)
    2.2
    """
    return spread(max(_LEAST_OUTAGE, away_seconds), caller)


def after_load(caller: CallerTime) -> float:
    """Return when the caller of a prompt that would harm others comes back.

    Nothing tells when a burst ends; the longest time that callers honour
    gives it most room.

    Examples
    --------
    >>> round(after_load(CallerTime(left=15, number=1)), 2)
    4.95
    """
    return spread(caller.left, caller)


def after_limit(seconds: float, caller: CallerTime) -> float:
    """Return when a caller comes back to endpoints that take no more now.

    Parameters
    ----------
    seconds
        Time until one of them takes a request again.

    Examples
    --------
    >>> after_limit(0.75, CallerTime(left=10, number=0.5))
    0.75
    """
    return spread(max(_LEAST_WAIT, seconds), caller)


def after_rest(seconds: float, caller: CallerTime) -> float:
    """Return when a caller comes back to endpoints that all rest.

    Not before the end of the rest, unless that leaves the caller too little
    time: endpoints name a rest to each entry, and another one may serve it.

    Parameters
    ----------
    seconds
        Time until the first of them takes a request again.

    Examples
    --------
    >>> after_rest(2, CallerTime(left=30, number=0))
    2.0
    >>> round(after_rest(60, CallerTime(left=9, number=1)), 2)
    2.97
    """
    largest = caller.left * _LARGEST_PART
    soonest = min(max(_LEAST_WAIT, seconds), largest / (1 + _SPREAD))
    return soonest * (1 + _SPREAD * caller.number)


def after_hold(seconds: float, caller: CallerTime) -> float:
    """Return when a caller of a request that is held back comes back.

    Told in full, though it may be beyond the caller's own time: whoever comes
    back sooner is refused again. Callers come one after the other once the
    hold is over, as one of them is let through first.

    Examples
    --------
    >>> after_hold(10, CallerTime(left=3, number=0.5))
    11.75
    >>> after_hold(0, CallerTime(left=3, number=0))
    0.25
    """
    soonest = max(_LEAST_WAIT, seconds)
    span = max(_LEAST_HOLD_SPREAD, soonest * _SPREAD)
    return soonest + span * caller.number


def after_full(stay_seconds: float, caller: CallerTime) -> float:
    """Return when a caller comes back to a fleet without a free slot.

    Parameters
    ----------
    stay_seconds
        For how long an answer keeps its slot: all that are kept now are free
        again after it.

    Examples
    --------
    >>> after_full(1.7, CallerTime(left=10, number=0.5))
    1.7
    """
    return spread(stay_seconds, caller)
