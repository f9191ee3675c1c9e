"""Entries before endpoints that ask for rest, in virtual time."""

import abc
import heapq
from collections import defaultdict, deque
from collections.abc import Container

import msgspec

from ..asked_rests import AskedRests
from .builders_limits import Draws, lifetime, most_within

#: Endpoints that one request is sent to at most.
MOST_ATTEMPTS = 3
#: Time for what was on its way when an endpoint asked for rest, in seconds.
GRACE_SECONDS = 0.5
#: Requests that may arrive within a rest beyond it.
MOST_WITHIN_REST = 2
#: Time until an entry knows that a request was turned away, in seconds.
VERDICT_SECONDS = 0.01
#: Span after a rest in which callers come together, in seconds.
CROWD_SECONDS = 0.2


class RestLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Requests to endpoints that refuse what they have no slot for.

    Attributes
    ----------
    shedding
        Endpoints that take nothing for the first part of the play, and its
        length in seconds.
    stay
        For how long a request holds its slot, in seconds.
    bunch
        Callers that come to an entry at one moment.
    """

    entries: int = 5
    endpoints: int = 18
    slots: int = 8
    stay: float = 1.2
    arrivals_per_s: float = 60
    bunch: int = 1
    rest: float = 3
    shedding: int = 0
    shedding_seconds: float = 20
    seconds: float = 40


class RestPolicy(abc.ABC):
    """What the entries of a fleet make of the rests they are asked for."""

    def __init__(self, load: RestLoad) -> None:
        self.load = load

    @abc.abstractmethod
    def takes(self, entry: int, endpoint: int, now: float) -> bool:
        """Return whether an entry would send to an endpoint."""

    def sent(self, entry: int, endpoint: int, now: float) -> None:
        """Note that an entry sends a request."""

    def refused(self, entry: int, endpoint: int, now: float) -> None:
        """Note that an endpoint asks an entry for rest."""

    def accepted(self, entry: int, endpoint: int) -> None:
        """Note that an endpoint took a request."""


class NoRest(RestPolicy):
    """Sends whatever comes."""

    def takes(self, entry: int, endpoint: int, now: float) -> bool:
        return True


class AllAtTheEnd(RestPolicy):
    """Keeps to each rest, and sends all that waits once it is over."""

    def __init__(self, load: RestLoad) -> None:
        super().__init__(load)
        self.until: dict[tuple[int, int], float] = defaultdict(float)

    def takes(self, entry: int, endpoint: int, now: float) -> bool:
        return now >= self.until[entry, endpoint]

    def refused(self, entry: int, endpoint: int, now: float) -> None:
        self.until[entry, endpoint] = now + self.load.rest


class OneFirst(RestPolicy):
    """Keeps to each rest, and sends one request first after it."""

    def __init__(self, load: RestLoad) -> None:
        super().__init__(load)
        self.books = [AskedRests() for _ in range(load.entries)]

    def takes(self, entry: int, endpoint: int, now: float) -> bool:
        return self.books[entry].takes(lifetime(endpoint), now)

    def sent(self, entry: int, endpoint: int, now: float) -> None:
        self.books[entry].sent(lifetime(endpoint), now)

    def refused(self, entry: int, endpoint: int, now: float) -> None:
        self.books[entry].said(lifetime(endpoint), self.load.rest, now)

    def accepted(self, entry: int, endpoint: int) -> None:
        self.books[entry].accepted(lifetime(endpoint))


class ToldToPeers(OneFirst):
    """Keeps to each rest in all entries, whichever was asked."""

    def __init__(self, load: RestLoad) -> None:
        super().__init__(load)
        shared = AskedRests()
        self.books = [shared for _ in range(load.entries)]


class RestOutcome(msgspec.Struct, frozen=True):
    """What a play showed.

    Attributes
    ----------
    served
        Part of the requests that an endpoint took.
    turned_away
        Attempts that an endpoint refused, for each request.
    most_in_rest
        Requests that one entry sent to one endpoint within a rest.
    most_refused_at_once
        Refusals of one endpoint within `CROWD_SECONDS`.
    """

    served: float
    turned_away: float
    most_in_rest: int
    most_refused_at_once: int


class RestPlay:
    """A load against a policy."""

    def __init__(self, policy: RestPolicy) -> None:
        self.policy = policy
        self.load = policy.load
        self.running: dict[int, list[float]] = defaultdict(list)
        self.own: dict[tuple[int, int], list[float]] = defaultdict(list)
        self.on_the_way: deque[tuple[float, int, int]] = deque()
        self.refusals: dict[int, list[float]] = defaultdict(list)
        self.asked_at: dict[tuple[int, int], list[float]] = defaultdict(list)
        self.arrivals: dict[tuple[int, int], list[float]] = defaultdict(list)

    def run(self, seed: int) -> RestOutcome:
        """Play the load."""
        drawn = Draws(seed)
        asked = 0
        served = 0
        bunches_per_s = self.load.arrivals_per_s / self.load.bunch
        now = drawn.gap(bunches_per_s)
        while now < self.load.seconds:
            self._hear(now)
            entry = int(drawn.part() * self.load.entries)
            for _ in range(self.load.bunch):
                asked += 1
                served += self._serve(entry, now)
            now += drawn.gap(bunches_per_s)
        refusals = list(self.refusals.values())
        return RestOutcome(
            served=served / asked,
            turned_away=sum(map(len, refusals)) / asked,
            most_in_rest=max(map(self._most_in_rest, self.arrivals)),
            most_refused_at_once=max(
                (most_within(times, CROWD_SECONDS) for times in refusals),
                default=0,
            ),
        )

    def _hear(self, now: float) -> None:
        """Let entries know what was turned away long enough ago."""
        while self.on_the_way and self.on_the_way[0][0] <= now:
            heard_at, entry, endpoint = self.on_the_way.popleft()
            self.policy.refused(entry, endpoint, heard_at)

    def _serve(self, entry: int, now: float) -> bool:
        """Send one request; return whether an endpoint took it."""
        tried: set[int] = set()
        while len(tried) < MOST_ATTEMPTS:
            endpoint = self._choose(entry, tried, now)
            if endpoint is None:
                return False
            if self._send(entry, endpoint, now):
                return True
            tried.add(endpoint)
        return False

    def _choose(
        self,
        entry: int,
        tried: Container[int],
        now: float,
    ) -> int | None:
        """Return the endpoint with the least work of this entry."""
        open_now = [
            endpoint
            for endpoint in range(self.load.endpoints)
            if endpoint not in tried and self.policy.takes(entry, endpoint, now)
        ]
        return min(
            open_now,
            key=lambda endpoint: _busy(self.own[entry, endpoint], now),
            default=None,
        )

    def _send(self, entry: int, endpoint: int, now: float) -> bool:
        self.policy.sent(entry, endpoint, now)
        self.arrivals[entry, endpoint].append(now)
        if self._is_full(endpoint, now):
            self.refusals[endpoint].append(now)
            self.asked_at[entry, endpoint].append(now)
            heapq.heappush(self.own[entry, endpoint], now + VERDICT_SECONDS)
            self.on_the_way.append((now + VERDICT_SECONDS, entry, endpoint))
            return False
        heapq.heappush(self.running[endpoint], now + self.load.stay)
        heapq.heappush(self.own[entry, endpoint], now + self.load.stay)
        self.policy.accepted(entry, endpoint)
        return True

    def _is_full(self, endpoint: int, now: float) -> bool:
        load = self.load
        if endpoint < load.shedding and now < load.shedding_seconds:
            return True
        return _busy(self.running[endpoint], now) >= load.slots

    def _most_in_rest(self, pair: tuple[int, int]) -> int:
        """Return the most requests of an entry within one rest."""
        return max(
            (
                sum(
                    asked + GRACE_SECONDS < at < asked + self.load.rest
                    for at in self.arrivals[pair]
                )
                for asked in self.asked_at[pair]
            ),
            default=0,
        )


def _busy(ends: list[float], now: float) -> int:
    """Return how much is in progress; forget what has ended."""
    while ends and ends[0] <= now:
        heapq.heappop(ends)
    return len(ends)
