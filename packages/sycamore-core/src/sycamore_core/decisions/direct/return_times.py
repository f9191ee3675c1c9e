"""Retry times (Retry-After) that refused callers receive.

Load pattern: all entries restart while the platform is unreachable, or a burst
fills all engines. All callers are refused meanwhile, and each of them retries
only once.

Without this, callers receive a constant of half a second, retry together during
the same outage or burst, are refused again and are lost. The reason of a
refusal permits a better estimate: an outage that has lasted for two seconds
will probably last for about as long again.

The times have a jitter that depends on the request, so that callers that were
refused together do not retry together.
"""

import msgspec

#: Upper bound of a retry time, as a fraction of the caller's remaining time.
#: Callers do not honour longer times, and need the remainder for the answer.
_MAX_WAIT_FRACTION = 0.33
#: Jitter in both directions, as a fraction of the retry time.
_JITTER_FRACTION = 0.35
#: Lower bound of the expected remainder of a platform outage, in seconds.
#: Callers do not notice short outages; most others last for several seconds.
_MIN_OUTAGE_SECONDS = 1.6
#: Lower bound of the retry time of callers refused for a backoff, a rate limit
#: or a quarantine, in seconds: other refused callers retry at that time too.
_MIN_WAIT_SECONDS = 0.25
#: Lower bound of the jitter for callers of a quarantined request, in seconds. A
#: trial by one of them is answered within this time.
_MIN_QUARANTINE_SPREAD_SECONDS = 1.0


class CallerTime(msgspec.Struct, frozen=True):
    """Inputs of a retry time that depend on the caller.

    Attributes
    ----------
    remaining_seconds
        Time until the caller's own time limit.
    jitter
        Number from 0 to 1 that differs between requests.
    """

    remaining_seconds: float
    jitter: float


def with_jitter(seconds: float, caller: CallerTime) -> float:
    """Return a retry time with jitter and within the caller's limit.

    Examples
    --------
    >>> with_jitter(1, CallerTime(remaining_seconds=10, jitter=0.5))
    1.0
    >>> round(with_jitter(60, CallerTime(remaining_seconds=9, jitter=1)), 2)
    2.97
    """
    max_wait = caller.remaining_seconds * _MAX_WAIT_FRACTION
    mean_wait = min(seconds, max_wait / (1 + _JITTER_FRACTION))
    return mean_wait * (1 + _JITTER_FRACTION * (2 * caller.jitter - 1))


def after_start(unreachable_seconds: float, caller: CallerTime) -> float:
    """Return the retry time if the entry is not ready.

    Parameters
    ----------
    unreachable_seconds
        Known time for which the platform has not answered the entry.

    Examples
    --------
    >>> caller = CallerTime(remaining_seconds=10, jitter=0.5)
    >>> after_start(0, caller)
    1.6
    >>> round(after_start(2.2, caller), 2)
    2.2
    """
    return with_jitter(max(_MIN_OUTAGE_SECONDS, unreachable_seconds), caller)


def after_overload(caller: CallerTime) -> float:
    """Return the retry time for a prompt that would delay other requests.

    The end of a burst is unknown, so this is the longest time that callers
    honour.

    Examples
    --------
    >>> round(after_overload(CallerTime(remaining_seconds=15, jitter=1)), 2)
    4.95
    """
    return with_jitter(caller.remaining_seconds, caller)


def after_limit(seconds: float, caller: CallerTime) -> float:
    """Return the retry time if the rate limits of all endpoints are reached.

    Parameters
    ----------
    seconds
        Time until one of the endpoints accepts a request again.

    Examples
    --------
    >>> after_limit(0.75, CallerTime(remaining_seconds=10, jitter=0.5))
    0.75
    """
    return with_jitter(max(_MIN_WAIT_SECONDS, seconds), caller)


def after_backoff(seconds: float, caller: CallerTime) -> float:
    """Return the retry time if all endpoints requested a backoff.

    The time is not shorter than the backoff, unless this leaves the caller too
    little time. Endpoints request a backoff from each entry separately, so
    another entry may serve the caller earlier.

    Parameters
    ----------
    seconds
        Time until the first of the endpoints accepts a request again.

    Examples
    --------
    >>> after_backoff(2, CallerTime(remaining_seconds=30, jitter=0))
    2.0
    >>> round(after_backoff(60, CallerTime(remaining_seconds=9, jitter=1)), 2)
    2.97
    """
    max_wait = caller.remaining_seconds * _MAX_WAIT_FRACTION
    earliest = min(
        max(_MIN_WAIT_SECONDS, seconds), max_wait / (1 + _JITTER_FRACTION)
    )
    return earliest * (1 + _JITTER_FRACTION * caller.jitter)


def after_quarantine(seconds: float, caller: CallerTime) -> float:
    """Return the retry time for a quarantined request.

    The time may exceed the caller's own time limit, because a caller that
    retries before the end of the quarantine is refused again. The jitter lets
    callers arrive one after the other, because the first one is sent in a
    trial.

    Parameters
    ----------
    seconds
        Time until the end of the quarantine.

    Examples
    --------
    >>> after_quarantine(10, CallerTime(remaining_seconds=3, jitter=0.5))
    11.75
    >>> after_quarantine(0, CallerTime(remaining_seconds=3, jitter=0))
    0.25
    """
    earliest = max(_MIN_WAIT_SECONDS, seconds)
    spread_seconds = max(
        _MIN_QUARANTINE_SPREAD_SECONDS, earliest * _JITTER_FRACTION
    )
    return earliest + spread_seconds * caller.jitter


def after_full(slot_seconds: float, caller: CallerTime) -> float:
    """Return the retry time if the fleet has no free slot.

    Parameters
    ----------
    slot_seconds
        Time for which a request occupies a slot. After this time, all slots
        that are occupied now are free again.

    Examples
    --------
    >>> after_full(1.7, CallerTime(remaining_seconds=10, jitter=0.5))
    1.7
    """
    return with_jitter(slot_seconds, caller)
