"""How many requests may be sent to a second endpoint.

Load pattern: a third of the endpoints die in the same moment, and each request
that was there is sent again, to endpoints that are busy already.

Without it: repeats come on top of the first tries, more of them fail in turn,
and the load stays above capacity after its cause is gone. The operator bounds
repeats over all entries together; since entries may be cut off from one
another, each keeps to its own part of that bound without asking.
"""

from collections import deque

import msgspec


class AllowanceBounds(msgspec.Struct, frozen=True, kw_only=True):
    """The operator's bound on repeats, over all entries.

    Attributes
    ----------
    ratio
        Repeats for each first try in a window.
    slack
        Repeats beyond these in a window.
    window
        Length of the window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 100
    window: float = 10


#: Part of the bound that is used. Entries count windows that begin at other
#: moments than the operator's, and other entries may have joined unseen.
_USED_PART = 0.7


class RetryAllowance:
    """Repeats to one service that this entry may make.

    Examples
    --------
    >>> allowance = RetryAllowance(AllowanceBounds(ratio=0, slack=4))
    >>> [allowance.take(now=0, entries=2) for _ in range(2)]
    [True, False]
    """

    def __init__(self, bounds: AllowanceBounds) -> None:
        self.bounds = bounds
        self.first_tries: deque[float] = deque()
        self.repeats: deque[float] = deque()
        self.most_entries = 1

    def first_try(self, now: float) -> None:
        """Note a request that was sent for the first time."""
        self.first_tries.append(now)
        self._forget(now)

    def take(self, now: float, entries: int) -> bool:
        """Return whether a repeat is allowed, and note it if so.

        Parameters
        ----------
        entries
            Number of entries that share the bound. The most that were ever
            seen counts: those that cannot be seen now may still repeat.
        """
        has_room = self.has_room(now, entries)
        if has_room:
            self.repeats.append(now)
        return has_room

    def has_room(self, now: float, entries: int) -> bool:
        """Return whether a repeat would be allowed; see `take`."""
        self._forget(now)
        self.most_entries = max(self.most_entries, entries)
        slack = self.bounds.slack / self.most_entries
        most = slack + self.bounds.ratio * len(self.first_tries)
        return len(self.repeats) + 1 <= most * _USED_PART

    def _forget(self, now: float) -> None:
        begin = now - self.bounds.window
        for times in (self.first_tries, self.repeats):
            while times and times[0] < begin:
                times.popleft()
