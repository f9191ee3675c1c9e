"""Whether an entry accepts a new connection of a caller.

Load pattern: for some seconds the balancer gives most new connections of a zone
to one entry, several times as many as its processor can serve.

Without this, the entry reads all requests. Each turn of its event loop then
passes through hundreds of them, all are answered seconds late, and half of them
not at all. A connection that is closed before its request is read costs little,
and its caller is served by another entry.

A process that was suspended, or that ran one long step, is late once. An entry
with too many requests is late at each check.
"""

#: Interval of the checks of the event loop while it is late, in seconds.
CHECK_SECONDS = 0.05
#: Lateness of a check that counts, in seconds. A request waits for several
#: turns of the event loop, and callers are promised an answer to a short one
#: within 0.3 s.
MAX_LATE_SECONDS = 0.1
#: Late checks, less those in time, from which on connections are refused.
LATE_CHECKS = 3
_MAX_COUNTED_CHECKS = 4
#: Connections that are accepted after each check all the same. Callers that
#: know no other entry get through, if not at their first attempt.
MIN_ACCEPTED = 2


class ConnectionLimit:
    """Decides whether to accept connections by the lateness of the event loop.

    Examples
    --------
    >>> limit = ConnectionLimit()
    >>> for _ in range(LATE_CHECKS):
    ...     limit.record_check(late_seconds=0.4)
    >>> [limit.admit() for _ in range(MIN_ACCEPTED + 1)]
    [True, True, False]
    """

    def __init__(self) -> None:
        self._late_checks = 0
        self._accepted = 0

    @property
    def has_late_checks(self) -> bool:
        """Whether late checks outnumber those in time."""
        return self._late_checks > 0

    @property
    def is_overloaded(self) -> bool:
        """Whether the event loop has been late for some time."""
        return self._late_checks >= LATE_CHECKS

    def record_check(self, late_seconds: float) -> None:
        """Record how late a check of the event loop was, in seconds."""
        if late_seconds >= MAX_LATE_SECONDS:
            self._late_checks = min(self._late_checks + 1, _MAX_COUNTED_CHECKS)
        else:
            self._late_checks = max(self._late_checks - 1, 0)
        self._accepted = 0

    def admit(self) -> bool:
        """Return whether to accept a connection, and count it."""
        self._accepted += 1
        return not self.is_overloaded or self._accepted <= MIN_ACCEPTED
