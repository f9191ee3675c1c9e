"""What was sent to each endpoint lately, by this entry and by others."""

import math
from collections import Counter, deque
from itertools import chain, islice, repeat

import msgspec

from ...routing import EndpointLifetime

#: Length of the spans of age by which sends are told, in seconds.
SLOT_SECONDS = 0.25
#: Spans by which sends are told: the longest window of a limit, and the wait of
#: an entry beyond it.
SLOTS = 20
_REMEMBERED_SECONDS = SLOTS * SLOT_SECONDS


class RecentSends:
    """Requests that one entry has sent, by endpoint.

    Examples
    --------
    >>> sends = RecentSends()
    >>> sends.note('e1', 10)
    >>> sends.note('e1', 11)
    >>> sends.since('e1', 10.5)
    1
    >>> sends.by_age('e1', 11)[:5]
    [1, 0, 0, 0, 1]
    """

    def __init__(self) -> None:
        self.times: dict[EndpointLifetime, deque[float]] = {}
        self._in_order: deque[tuple[float, EndpointLifetime]] = deque()

    def note(self, endpoint: EndpointLifetime, now: float) -> None:
        """Note a request; forget those that are too old to count."""
        self._in_order.append((now, endpoint))
        self.times.setdefault(endpoint, deque()).append(now)
        begin = now - _REMEMBERED_SECONDS
        while self._in_order[0][0] < begin:
            self._forget_oldest()

    def since(self, endpoint: EndpointLifetime, begin: float) -> int:
        """Return how many were sent after a moment."""
        return sum(at > begin for at in self.times.get(endpoint, ()))

    def by_age(self, endpoint: EndpointLifetime, now: float) -> list[int]:
        """Return how many were sent, by spans of age."""
        found = Counter(
            int((now - at) / SLOT_SECONDS)
            for at in self.times.get(endpoint, ())
        )
        return [found[slot] for slot in range(SLOTS)]

    def _forget_oldest(self) -> None:
        _, endpoint = self._in_order.popleft()
        times = self.times[endpoint]
        times.popleft()
        if not times:
            self.times.pop(endpoint)


class HeardSends(msgspec.Struct, frozen=True):
    """What a peer said that it sent, and when it said so."""

    sends: tuple[int, ...]
    at: float

    def within(self, seconds: float, now: float) -> int:
        """Return how many were sent in the last seconds, rather too many."""
        left = max(0, seconds - (now - self.at))
        return sum(self.sends[: math.ceil(left / SLOT_SECONDS)])

    def aged(self, now: float) -> list[int]:
        """Return the same numbers by the age that the sends have now."""
        passed = int((now - self.at) / SLOT_SECONDS)
        padded = chain(repeat(0, passed), self.sends, repeat(0))
        return list(islice(padded, SLOTS))
