"""Requests sent recently to each endpoint, by this entry and by its peers."""

import math
from collections import Counter, deque
from itertools import chain, islice, repeat

import msgspec

from ...routing import EndpointLifetime

#: Width of the age buckets in which sent requests are reported, in seconds.
AGE_BUCKET_SECONDS = 0.25
#: Number of age buckets. They cover the longest window of a rate limit and the
#: jitter that an entry adds to the window.
AGE_BUCKETS = 20
#: Time for which sent requests are kept, in seconds.
RETENTION_SECONDS = AGE_BUCKETS * AGE_BUCKET_SECONDS


class RecentSends:
    """Requests that one entry has sent, by endpoint.

    Examples
    --------
    >>> sends = RecentSends()
    >>> sends.record('e1', 10)
    >>> sends.record('e1', 11)
    >>> sends.count_since('e1', 10.5)
    1
    >>> sends.counts_by_age('e1', 11)[:5]
    [1, 0, 0, 0, 1]
    """

    def __init__(self) -> None:
        self.times: dict[EndpointLifetime, deque[float]] = {}
        self._in_order: deque[tuple[float, EndpointLifetime]] = deque()

    def record(self, endpoint: EndpointLifetime, now: float) -> None:
        """Record a sent request and remove requests that are too old."""
        self._in_order.append((now, endpoint))
        self.times.setdefault(endpoint, deque()).append(now)
        begin = now - RETENTION_SECONDS
        while self._in_order[0][0] < begin:
            self._remove_oldest()

    def count_since(self, endpoint: EndpointLifetime, begin: float) -> int:
        """Return the number of requests sent after a time."""
        return sum(at > begin for at in self.times.get(endpoint, ()))

    def counts_by_age(
        self, endpoint: EndpointLifetime, now: float
    ) -> list[int]:
        """Return the number of sent requests in each age bucket."""
        counts = Counter(
            int((now - at) / AGE_BUCKET_SECONDS)
            for at in self.times.get(endpoint, ())
        )
        return [counts[bucket] for bucket in range(AGE_BUCKETS)]

    def _remove_oldest(self) -> None:
        _, endpoint = self._in_order.popleft()
        times = self.times[endpoint]
        times.popleft()
        if not times:
            self.times.pop(endpoint)


class PeerSends(msgspec.Struct, frozen=True):
    """The sent requests that a peer reported.

    Attributes
    ----------
    sends
        Number of sent requests in each age bucket.
    at
        Time at which the report arrived, on the monotonic clock, in seconds.
    """

    sends: tuple[int, ...]
    at: float

    def count_within(self, seconds: float, now: float) -> int:
        """Return an upper bound of the requests sent in the last `seconds`."""
        remaining = max(0, seconds - (now - self.at))
        return sum(self.sends[: math.ceil(remaining / AGE_BUCKET_SECONDS)])

    def counts_at(self, now: float) -> list[int]:
        """Return the number of sent requests in each age bucket at a time."""
        elapsed = int((now - self.at) / AGE_BUCKET_SECONDS)
        padded = chain(repeat(0, elapsed), self.sends, repeat(0))
        return list(islice(padded, AGE_BUCKETS))
