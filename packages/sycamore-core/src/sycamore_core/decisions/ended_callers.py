"""Whether a request goes on whose caller has ended its sending side.

Load pattern: callers give up and close their connections, most of them after a
wait. Others send a request, end their sending side at once and read the answer.
The two look alike until something is written: a system whose caller has closed
resets the connection, one whose caller reads acknowledges the bytes.

Without this, either those that read get no answer, or endpoints work for those
that have left.

A caller that ends its sending side together with its request is taken for one
that reads, and so is, from then on, one that has taken bytes since. For any
other, a request that has not been sent is refused, and one that runs gets a
short time: it may be about to end. A request that must not run twice goes on:
its caller could not repeat it, and stopping it midway helps nobody.

Time in which the entry did not run, because its event loop was late or the
whole machine stood still, is no evidence that an endpoint is slow. It counts as
one interval of the checks. It does not extend the half second, though: a busy
entry, which is late again and again, would let endpoints work for nobody. Only
if a single stall has outlasted that time, one more interval follows.
"""

import msgspec

#: Time for which a request goes on that may be stopped, in seconds. Endpoints
#: may work for half a second for callers that have left.
ANSWER_SECONDS = 0.25
#: The same with the time in which the entry did not run, in seconds. The next
#: check may be late.
LONGEST_SECONDS = 0.35
#: Longest time for which endpoints may work for callers that have left, in
#: seconds.
_WORK_SECONDS = 0.5
#: Interval between two checks of a caller, in seconds.
CHECK_SECONDS = 0.05
#: Longest time between two checks of an entry that is in time, in seconds. It
#: leaves the last check within the half second.
_LATE_SECONDS = 2 * CHECK_SECONDS
#: Longest time between a request and the end that was sent with it, in seconds.
TOGETHER_SECONDS = 0.1


class SilenceChecks:
    """Tells the silence of an ended caller from that of a late entry.

    Examples
    --------
    >>> checks = SilenceChecks()
    >>> checks.record(0.2), checks.may_last()
    (None, True)
    >>> checks.record(0.25), checks.may_last()
    (None, True)
    >>> checks.record(0.45), checks.may_last()
    (None, False)
    """

    def __init__(self) -> None:
        self._silent_seconds: float = 0
        self._run_seconds: float = 0
        self._late_checks = 0
        self._passed_seconds: float = 0

    def record(self, silent_seconds: float) -> None:
        """Record a check, with the silence of the caller until then."""
        if silent_seconds < self._silent_seconds:
            # Bytes were written meanwhile, so that the silence began anew.
            self._silent_seconds = 0
            self._run_seconds = 0
            self._late_checks = 0
        passed = silent_seconds - self._silent_seconds
        self._silent_seconds = silent_seconds
        self._run_seconds += min(passed, CHECK_SECONDS)
        self._passed_seconds = passed
        if self._is_late:
            self._late_checks += 1

    def may_last(self) -> bool:
        """Return whether the endpoint may still be about to answer."""
        if self._silent_seconds >= LONGEST_SECONDS:
            return self._is_after_long_stall
        if self._late_checks > 1 and self._is_late:
            next_check = self._silent_seconds + self._passed_seconds
            return next_check < _WORK_SECONDS
        return self._is_late or self._run_seconds < ANSWER_SECONDS

    @property
    def _is_late(self) -> bool:
        return self._passed_seconds > _LATE_SECONDS

    @property
    def _is_after_long_stall(self) -> bool:
        """Whether a single stall has lasted until the half second was over."""
        is_over = self._silent_seconds >= _WORK_SECONDS
        return is_over and self._is_late and self._late_checks == 1


class EndedCaller(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a caller that has ended its sending side.

    Attributes
    ----------
    waited_seconds
        Time from the caller's last bytes to the end of its sending side.
    silent_seconds
        Time since the end, or since bytes were last written after it. Their
        receiver would have reset the connection meanwhile.
    has_read
        Whether bytes that were written after the end were acknowledged.
    is_blocked
        Whether bytes wait for the caller's system to accept them.
    """

    waited_seconds: float
    silent_seconds: float
    has_read: bool = False
    is_blocked: bool = False

    def may_be_sent(self) -> bool:
        """Return whether its request may be sent to an endpoint.

        Examples
        --------
        >>> EndedCaller(waited_seconds=0, silent_seconds=0.1).may_be_sent()
        True
        >>> EndedCaller(waited_seconds=2, silent_seconds=0.1).may_be_sent()
        False
        """
        if self.has_read:
            return True
        return self.waited_seconds < TOGETHER_SECONDS and self._is_recent()

    def may_go_on(self, checks: SilenceChecks, *, may_be_stopped: bool) -> bool:
        """Return whether its request goes on at an endpoint.

        Parameters
        ----------
        checks
            All checks of this caller, with the current one.
        may_be_stopped
            Whether the request is idempotent or a stream.

        Examples
        --------
        >>> checks = SilenceChecks()
        >>> for silent in (0, 0.08, 0.16, 0.24, 0.32, 0.4):
        ...     checks.record(silent)
        >>> given_up = EndedCaller(waited_seconds=2, silent_seconds=0.4)
        >>> given_up.may_go_on(checks, may_be_stopped=True)
        False
        >>> given_up.may_go_on(checks, may_be_stopped=False)
        True
        """
        if not may_be_stopped or self.has_read or self.is_blocked:
            return True
        return checks.may_last()

    def _is_recent(self) -> bool:
        return self.silent_seconds < ANSWER_SECONDS
