"""Whether an entry that stops can still answer a request.

Load pattern: an entry gets its stop signal, and callers go on sending requests
on kept connections until the process is gone.

Without this, the entry takes each of them, and ends those that are open at its
forced end. Their callers get a failure that promises nothing, or half of a
stream, although another entry could have served them from the beginning.

A request that is refused needlessly costs its caller a moment, as another
entry is ready. One that is taken needlessly is lost if it may not run twice.
So the entry takes a request only if its answer is expected in half of the time
that is left.

The mean is that of all requests. Some streams are many times as long, and an
engine may slow down at any time. A stream that was taken early in a stop had
most of the time to end, one that comes late is not taken unless its own limit
ends it before. A call that comes as a whole is taken late if many times its
expected time is left.
"""

import msgspec

#: Longest usual duration of an answer, as a multiple of its mean.
_LONG_ANSWER_FACTOR = 2.0
#: Duration that hardly any call exceeds, as a multiple of its mean.
_LONGEST_CALL_FACTOR = 10.0
#: Time after a stop signal until which requests come early, in seconds. It is
#: shorter than the time in which callers learn of the stop, as the signal may
#: arrive later than it was sent.
EARLY_SECONDS = 2.8


class StopMoment(msgspec.Struct, frozen=True):
    """When a request came, in the time of a stop.

    Attributes
    ----------
    read_after
        Time from the arrival of the stop signal until the request had been
        read, in seconds; negative if it was read before.
    seconds_left
        Time until the forced end, in seconds.
    """

    read_after: float
    seconds_left: float

    @property
    def is_late(self) -> bool:
        """Whether the request came late in the stop."""
        return self.read_after > EARLY_SECONDS


class AnswerForecast(msgspec.Struct, frozen=True, kw_only=True):
    """Forecast of the time until an answer has ended, in seconds.

    Attributes
    ----------
    first_seconds
        Mean time until the answer begins; for an answer that comes as a whole
        until it ends. It is 0 if nothing is known.
    rest_seconds
        Mean time from the beginning of a stream to its end; 0 for others.
    objective
        Time in which the answer, or its first event, is due.
    limit_seconds
        Time until the request is ended by its own limit.
    comes_whole
        Whether the answer comes as a whole, so that it is not cut in the
        middle.
    """

    first_seconds: float
    rest_seconds: float = 0
    objective: float
    limit_seconds: float
    comes_whole: bool = False

    def is_sent(
        self,
        moment: StopMoment,
        *,
        may_have_run: bool = False,
        has_begun: bool = False,
    ) -> bool:
        """Return whether an attempt of a request is sent.

        Parameters
        ----------
        may_have_run
            Whether an earlier attempt may have run, so that the request can
            only be failed otherwise.
        has_begun
            Whether the caller has received a part of the answer. It is resumed
            at any time: the events that still come are not lost.

        Examples
        --------
        >>> stream = AnswerForecast(
        ...     first_seconds=0.2, rest_seconds=0.8,
        ...     objective=1, limit_seconds=10,
        ... )
        >>> stream.is_sent(StopMoment(read_after=1, seconds_left=6))
        True
        >>> stream.is_sent(StopMoment(read_after=3.5, seconds_left=3.5))
        False
        """
        left = moment.seconds_left
        if has_begun:
            return True
        if may_have_run:
            return self.may_end_within(left)
        if moment.is_late:
            return self.ends_surely_within(left)
        return self.ends_within(left)

    def ends_within(self, seconds_left: float) -> bool:
        """Return whether the answer is expected to end in time.

        Examples
        --------
        >>> forecast = AnswerForecast(
        ...     first_seconds=0.5, rest_seconds=1.5,
        ...     objective=1, limit_seconds=10,
        ... )
        >>> forecast.ends_within(4.5), forecast.ends_within(3.5)
        (True, False)
        >>> unknown = AnswerForecast(
        ...     first_seconds=0, objective=1, limit_seconds=10
        ... )
        >>> unknown.ends_within(1.2), unknown.ends_within(0.8)
        (True, False)
        """
        return min(self._long_seconds(), self.limit_seconds) <= seconds_left

    def may_end_within(self, seconds_left: float) -> bool:
        """Return whether a further attempt is worth sending.

        Its request may have run, so that it can only be failed otherwise.

        Examples
        --------
        >>> forecast = AnswerForecast(
        ...     first_seconds=0.5, rest_seconds=1.5,
        ...     objective=1, limit_seconds=10,
        ... )
        >>> forecast.may_end_within(2.5), forecast.may_end_within(1.5)
        (True, False)
        """
        mean = self.first_seconds + self.rest_seconds
        return min(mean, self.limit_seconds) <= seconds_left

    def ends_surely_within(self, seconds_left: float) -> bool:
        """Return whether the answer ends in time, whatever its engine does.

        Examples
        --------
        >>> call = AnswerForecast(
        ...     first_seconds=0.04, objective=1, limit_seconds=10,
        ...     comes_whole=True,
        ... )
        >>> call.ends_surely_within(0.5), call.ends_surely_within(0.3)
        (True, False)
        """
        if self.limit_seconds <= seconds_left:
            return True
        longest = self.first_seconds * _LONGEST_CALL_FACTOR or self.objective
        return self.comes_whole and longest <= seconds_left

    def _long_seconds(self) -> float:
        mean = self.first_seconds + self.rest_seconds
        if self.first_seconds:
            return mean * _LONG_ANSWER_FACTOR
        return self.objective + self.rest_seconds * _LONG_ANSWER_FACTOR
