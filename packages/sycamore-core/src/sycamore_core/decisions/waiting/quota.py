"""The part of the slots for requests that would otherwise starve.

Load pattern: short requests alone exceed the capacity for 3 to 10 s. Late
requests and long prompts are behind them all the time.

One in eight of the slots goes to the request that has waited longest behind the
most urgent ones. Such a request could be served more often than an urgent one:
prompts of up to a million tokens are 2 % of the requests, so that an eighth of
the slots serves all of them while a quarter of the short requests is served.
The quota is therefore not used for a rank that is served more often than the
most urgent one.
"""

import math

import msgspec

from ...routing import Rank

#: Slots of which one is for requests behind the most urgent ones.
QUOTA_SLOTS = 8
#: Time constant over which served and refused requests are counted, in seconds.
#: It covers the longest burst (10 s) several times, as an entry receives a long
#: prompt only once in half a minute.
_MEAN_SECONDS = 60.0
#: Requests that are added to the counts of a rank, of which half were served.
#: Without them, a rank without requests so far would be served always or never.
_PRIOR_REQUESTS = 1.0


class _Counts(msgspec.Struct):
    """Requests of one rank, with decay."""

    served: float = 0
    refused: float = 0
    at: float = 0

    def decay(self, now: float) -> None:
        elapsed = max(0, now - self.at)
        factor = math.exp(-elapsed / _MEAN_SECONDS)
        self.served *= factor
        self.refused *= factor
        self.at = now


class ServedShares:
    """Parts of the requests that were served, by rank.

    Examples
    --------
    >>> shares = ServedShares()
    >>> shares.record(Rank(0, 0), now=1, is_served=True)
    >>> shares.served_share(Rank(0, 0), now=1), shares.served_share(
    ...     Rank(0, 2), now=1
    ... )
    (0.75, 0.5)
    """

    def __init__(self) -> None:
        self._counts: dict[Rank, _Counts] = {}

    def record(self, rank: Rank, now: float, *, is_served: bool) -> None:
        """Count a request that was placed or refused."""
        counts = self._counts.setdefault(rank, _Counts(at=now))
        counts.decay(now)
        if is_served:
            counts.served += 1
        else:
            counts.refused += 1

    def served_share(self, rank: Rank, now: float) -> float:
        """Return the part of the requests of a rank that were served."""
        counts = self._counts.get(rank)
        if counts is None:
            return _PRIOR_REQUESTS / 2
        counts.decay(now)
        served = counts.served + _PRIOR_REQUESTS / 2
        return served / (counts.served + counts.refused + _PRIOR_REQUESTS)

    def may_pass(self, rank: Rank, urgent: Rank, now: float) -> bool:
        """Return whether a rank may use the quota ahead of an urgent one."""
        if rank <= urgent:
            return True
        return self.served_share(rank, now) <= self.served_share(urgent, now)
