"""Whether a replica of a plain service can answer a call in its time.

Load pattern: one of three replicas with six slots each is lost during a burst.
The other two accept all calls and queue them.

Without this, the queues grow until calls wait for their whole time limit and
fail unanswered. Their callers could have been refused at once, and would have
had time for a retry.

A replica processes as many calls as it has slots, in the order of arrival. A
call that is expected within its time limit is sent, even if it misses its
objective. Reports of peers arrive up to `REPORT_DELAY_SECONDS` after a call was
sent. The calls that are not reported yet are ahead of a new call, so its
forecast includes this time.
"""

import msgspec

from .slot_supply import EndpointSlots

#: Longest usual delay of a peer's report, in seconds.
REPORT_DELAY_SECONDS = 0.02
#: Weight of each call in the mean service time.
_CALL_WEIGHT = 0.05


class PlainForecast(msgspec.Struct, frozen=True, kw_only=True):
    """Forecast for one call at the best replica.

    Attributes
    ----------
    replica
        Slots and calls of the replica, without the new call.
    call_seconds
        Mean time in which a replica processes a call, in seconds; 0 if it is
        not known.

    Examples
    --------
    >>> replica = EndpointSlots(slots=6, requests=17)
    >>> forecast = PlainForecast(replica=replica, call_seconds=0.04)
    >>> round(forecast.expected_seconds, 2)
    0.12
    >>> forecast.can_be_answered(seconds_left=0.13)
    False
    """

    replica: EndpointSlots
    call_seconds: float

    @property
    def waiting_before(self) -> int:
        """Return the number of calls that wait at the replica."""
        return max(0, self.replica.requests - self.replica.slots)

    @property
    def has_free_slot(self) -> bool:
        """Whether the replica begins with the call at once."""
        return self.replica.requests < self.replica.slots

    @property
    def expected_seconds(self) -> float:
        """Return the expected time until the answer, in seconds."""
        return self.call_seconds * _turns(self.replica)

    def can_be_answered(self, seconds_left: float) -> bool:
        """Return whether the answer is expected in time.

        A call with a free slot is sent however little time it has left.
        """
        if self.has_free_slot or not self.call_seconds:
            return True
        return self.expected_seconds + REPORT_DELAY_SECONDS <= seconds_left

    def seconds_until_answerable(self, usable: float) -> float:
        """Return the time until a new call could be answered, in seconds.

        Parameters
        ----------
        usable
            Time that the call would have for its answer, in seconds.
        """
        return max(0, self.expected_seconds + REPORT_DELAY_SECONDS - usable)


class PlainTimes:
    """Mean time in which the replicas of one service process a call.

    Calls that found all slots occupied count with the time without their wait.
    Otherwise the mean would grow with the queue, the forecast with the square
    of it, and an entry would continue to refuse calls after the queue is gone.

    Attributes
    ----------
    call_seconds
        The mean in seconds; 0 before the first call has ended.

    Examples
    --------
    >>> times = PlainTimes()
    >>> times.record(0.12, EndpointSlots(slots=6, requests=17))
    >>> round(times.call_seconds, 3)
    0.04
    """

    def __init__(self) -> None:
        self.call_seconds: float = 0

    def record(self, seconds: float, replica: EndpointSlots) -> None:
        """Record a call that was answered.

        Parameters
        ----------
        seconds
            Time from sending to the end of the answer, in seconds.
        replica
            The replica when the call was sent, without the call.
        """
        own_seconds = seconds / _turns(replica)
        if not self.call_seconds:
            self.call_seconds = own_seconds
            return
        self.call_seconds += (own_seconds - self.call_seconds) * _CALL_WEIGHT


def _turns(replica: EndpointSlots) -> float:
    """Return the time until a new call ends, in mean call times."""
    return max(1, (replica.requests + 1) / max(1, replica.slots))
