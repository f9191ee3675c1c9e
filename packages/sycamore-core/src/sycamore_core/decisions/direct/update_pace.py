"""When an entry tells others what it has at which engines.

Load pattern: prompts of half a million tokens come several in a tenth of a
second, each to another entry, and are read in parts by up to seventeen engines
of 78. Parts go ahead of what an engine reads, so that one which comes unseen
breaks the promises of all that was placed there.

Without it: an entry tells on a beat of 20 ms. Whoever places meanwhile takes
engines for idle that have just been given a second of reading; short turns
gather on the last slot of an engine that two others have filled.

What it does: where a request was sent is told at once. What an engine has got
done is told on the beat; to learn of it late only leaves an engine idle for a
moment longer. Both draw on one bound on the updates of an entry.
"""

#: Least time between two updates that nothing waits for, in seconds.
TELL_SECONDS = 0.02
#: Updates that an entry sends in a second at most: 22 peers are told at every
#: beat, more of them less often. It bounds the processor time for control,
#: which would otherwise grow with the entries of a cell.
MOST_UPDATES_PER_S = 1100.0
#: Times that all peers may be told ahead of that bound, of requests that were
#: sent; beats make up for it. Few come within a tenth of a second at one entry.
_ROUNDS_AHEAD = 2


class UpdatePace:
    """Paces the updates of one entry.

    Examples
    --------
    >>> pace = UpdatePace()
    >>> pace.told(peers=44, now=10)
    >>> pace.beat_seconds(now=10), pace.urgent_seconds(peers=44, now=10)
    (0.04, 0)
    """

    def __init__(self) -> None:
        self._told_at: float = 0
        # When the updates that were sent are within the bound.
        self._paid_at: float = 0

    def told(self, peers: int, now: float) -> None:
        """Note that all peers were told something."""
        self._told_at = now
        self._paid_at = max(now, self._paid_at) + peers / MOST_UPDATES_PER_S

    def beat_seconds(self, now: float) -> float:
        """Return the time until the next update that is not urgent."""
        due = max(self._told_at + TELL_SECONDS, self._paid_at)
        return max(0, round(due - now, 6))

    def urgent_seconds(self, peers: int, now: float) -> float:
        """Return the time until a request that was sent may be told of."""
        ahead = _ROUNDS_AHEAD * peers / MOST_UPDATES_PER_S
        return max(0, self._paid_at - ahead - now)
