"""When a stopping entry answers the requests that are still open.

Load pattern: an entry gets its stop signal while hundreds of requests run that
take longer than its time to stop. Beside it other processes use the processor,
so that it has a small part of one, and the event loop is late. The process is
killed when its time is over.

With a fixed time for the last answers, it is killed amid them: callers have no
answer, and those of requests that may not run twice cannot repeat them. With a
fixed longer time, each small stop takes requests and streams their last part.

The time for the answers is therefore what those that are open need in a slow
process. The answers come first: the end of an exchange, which closes its
connections and writes its log lines, takes ten times as long as its answer, and
no caller waits for it. What has not ended when the time is over ends with the
process.

Streams that have begun can only be cut. That costs their callers more than it
spares the process, which may also close them at once. So they are cut in the
last part of the stop only.
"""

import math

import msgspec

#: Time that is kept for the end of the process itself, in seconds.
EXIT_SECONDS = 0.2
#: Time in which callers close their connections after their answers, in
#: seconds.
CLOSE_SECONDS = 0.15
#: Part of the time to stop before which no stream is cut.
STREAMS_PART = 5 / 6
#: Time left when all streams are cut, in seconds.
CUT_SECONDS = 0.65
#: Time for one answer in a process with a twentieth of a processor, in seconds.
ANSWER_SECONDS = 0.002
#: Time for the cut of one stream, in seconds.
_CUT_EACH_SECONDS = 0.001
#: Most requests that are answered at a time. Others are heard in between.
MAX_ANSWERS = 128
#: Most exchanges that are ended at a time, and most while answers are to come.
MAX_ENDS = 16
_MAX_ENDS_BETWEEN = 4
#: Lateness of the event loop beyond which no more time is kept, in seconds.
_MAX_LATE_SECONDS = 1.0
#: Part of the lateness that is kept for the end of the process itself.
_EXIT_LATE_PART = 0.25


class OpenWork(msgspec.Struct, frozen=True):
    """What a stopping entry has in progress.

    Attributes
    ----------
    unanswered
        Requests whose answers have not begun.
    begun
        Requests whose answers have begun.
    late_seconds
        The greatest lateness of the event loop during the stop.
    """

    unanswered: int
    begun: int
    late_seconds: float = 0

    @property
    def kept_for_lateness(self) -> float:
        """Return the time that is kept for a late event loop, in seconds."""
        return min(self.late_seconds, _MAX_LATE_SECONDS)


class StopSchedule:
    """Decides when open requests are answered, and streams cut.

    All times are on the monotonic clock, in seconds.

    Parameters
    ----------
    asked_at
        When the stop signal arrived.
    stop_seconds
        Time from then until the process is killed.
    accepts_until
        How long new connections are accepted. No request is ended before.

    Attributes
    ----------
    ends_at
        When the process is killed.

    Examples
    --------
    >>> schedule = StopSchedule(asked_at=100, stop_seconds=8, accepts_until=103)
    >>> work = OpenWork(unanswered=200, begun=0)
    >>> [schedule.due_answers(at, work) for at in (104, 107, 107.2)]
    [0, 26, 128]
    """

    def __init__(
        self, asked_at: float, stop_seconds: float, accepts_until: float
    ) -> None:
        self.ends_at = asked_at + stop_seconds
        self._accepts_until = min(accepts_until, self.forced_at)
        self._streams_until = asked_at + stop_seconds * STREAMS_PART

    @property
    def forced_at(self) -> float:
        """Return when all requests without an answer are ended."""
        return self.cuts_at - CLOSE_SECONDS

    @property
    def cuts_at(self) -> float:
        """Return when all streams are cut."""
        return self.ends_at - CUT_SECONDS

    def due_answers(self, now: float, work: OpenWork) -> int:
        """Return how many requests are to be answered now.

        The others can be answered in the time that is left.
        """
        if now < self._accepts_until:
            return 0
        if now >= self.forced_at:
            return min(work.unanswered, MAX_ANSWERS)
        needed = EXIT_SECONDS + CLOSE_SECONDS + work.kept_for_lateness
        until = self.ends_at - max(CUT_SECONDS, needed)
        due = _beyond(work.unanswered, until - now, ANSWER_SECONDS)
        return min(due, MAX_ANSWERS)

    def due_cuts(self, now: float, work: OpenWork) -> int:
        """Return how many streams are to be cut now."""
        if now >= self.cuts_at:
            return min(work.begun, MAX_ENDS)
        if now < self._streams_until:
            return 0
        left = self.last_at(work) - now
        return min(_beyond(work.begun, left, _CUT_EACH_SECONDS), MAX_ENDS)

    def due_ends(self, work: OpenWork) -> int:
        """Return how many of the answered exchanges may be ended at a time."""
        return _MAX_ENDS_BETWEEN if work.unanswered else MAX_ENDS

    def last_at(self, work: OpenWork) -> float:
        """Return when the process ends, whatever is open."""
        return (
            self.ends_at
            - EXIT_SECONDS
            - work.kept_for_lateness * _EXIT_LATE_PART
        )


def _beyond(count: int, seconds: float, seconds_each: float) -> int:
    """Return how many of `count` do not fit into a time."""
    if seconds <= 0:
        return count
    return max(0, math.ceil(count - seconds / seconds_each))
