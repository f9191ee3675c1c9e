"""Entries that send to endpoints which name a rate, in virtual time."""

import abc
import math
from collections import defaultdict, deque

import msgspec

from ....hashes import stable_part
from ....ids import EndpointId, EntryId, PeerId
from ....routing import EndpointLifetime
from ..rate_limits import RateLimits

#: Time until an entry hears what another has sent, in seconds.
LAG_SECONDS = 0.03


class LimitedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Requests to endpoints that all name one rate.

    Attributes
    ----------
    arrivals_per_s
        Requests that reach all entries together.
    favourite
        Part of the requests that come to the first entry.
    """

    entries: int
    endpoints: int = 1
    rate: float = 1.2
    arrivals_per_s: float = 20
    favourite: float = 0
    seconds: float = 60


class LimitPolicy(abc.ABC):
    """How the entries of a fleet keep to a rate together."""

    def __init__(self, load: LimitedLoad) -> None:
        self.load = load

    @abc.abstractmethod
    def may_send(self, entry: int, endpoint: int, now: float) -> bool:
        """Return whether an entry may send, and note it if so."""

    def tell(self, now: float) -> None:
        """Pass on what entries tell one another."""


class NoLimit(LimitPolicy):
    """Sends whatever comes."""

    def may_send(self, entry: int, endpoint: int, now: float) -> bool:
        return True


class EqualParts(LimitPolicy):
    """Gives each entry the same part of the rate."""

    def __init__(self, load: LimitedLoad) -> None:
        super().__init__(load)
        self.next_at: dict[tuple[int, int], float] = defaultdict(float)

    def may_send(self, entry: int, endpoint: int, now: float) -> bool:
        key = entry, endpoint
        if now < self.next_at[key]:
            return False
        self.next_at[key] = now + self.load.entries / self.load.rate
        return True


class OneSpeaker(LimitPolicy):
    """Lets one entry send to each endpoint."""

    def __init__(self, load: LimitedLoad) -> None:
        super().__init__(load)
        self.next_at: dict[int, float] = defaultdict(float)

    def may_send(self, entry: int, endpoint: int, now: float) -> bool:
        is_speaker = entry == endpoint % self.load.entries
        if not is_speaker or now < self.next_at[endpoint]:
            return False
        self.next_at[endpoint] = now + 1 / self.load.rate
        return True


class SharedWindow(LimitPolicy):
    """Adds up what all have sent, as each entry knows it."""

    def __init__(self, load: LimitedLoad) -> None:
        super().__init__(load)
        self.books = [
            RateLimits(EntryId(str(entry))) for entry in range(load.entries)
        ]
        for book in self.books:
            book.entries = load.entries
            for endpoint in range(load.endpoints):
                book.said(lifetime(endpoint), load.rate, 0)
        self.on_the_way: deque[tuple[float, int, int]] = deque()

    def may_send(self, entry: int, endpoint: int, now: float) -> bool:
        book = self.books[entry]
        book.said(lifetime(endpoint), self.load.rate, now)
        if not book.has_room(lifetime(endpoint), now):
            return False
        book.sent(lifetime(endpoint), now)
        self.on_the_way.append((now + LAG_SECONDS, entry, endpoint))
        return True

    def tell(self, now: float) -> None:
        while self.on_the_way and self.on_the_way[0][0] <= now:
            at, entry, endpoint = self.on_the_way.popleft()
            names = {EndpointId(str(endpoint))}
            reports = self.books[entry].reports(names, at)
            for other, book in enumerate(self.books):
                if other != entry:
                    book.hear(PeerId(str(entry)), reports, at)


class Outcome(msgspec.Struct, frozen=True):
    """What a play showed.

    Attributes
    ----------
    most_in_window
        Requests that one endpoint got in some four seconds.
    used
        Part of the rate of all endpoints that was used.
    least_served
        Served part of the requests at the entry where it was least, against
        that of all.
    """

    most_in_window: int
    used: float
    least_served: float


class Draws:
    """Numbers that depend on a seed alone."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._drawn = 0

    def part(self) -> float:
        """Return a number from 0 to 1."""
        self._drawn += 1
        return stable_part(f'{self.seed} {self._drawn}')

    def gap(self, per_second: float) -> float:
        """Return the time until the next of independent arrivals."""
        return -math.log(1 - self.part()) / per_second


def lifetime(endpoint: int) -> EndpointLifetime:
    return EndpointLifetime(EndpointId(str(endpoint)), 5)


def play(policy: LimitPolicy, seed: int) -> Outcome:
    """Play a load against a policy."""
    load = policy.load
    drawn = Draws(seed)
    sends: list[list[float]] = [[] for _ in range(load.endpoints)]
    asked = [0 for _ in range(load.entries)]
    served = [0 for _ in range(load.entries)]
    now = drawn.gap(load.arrivals_per_s)
    while now < load.seconds:
        policy.tell(now)
        entry = int(drawn.part() * load.entries)
        if drawn.part() < load.favourite:
            entry = 0
        asked[entry] += 1
        chosen = _first_open(policy, entry, now)
        if chosen is not None:
            sends[chosen].append(now)
            served[entry] += 1
        now += drawn.gap(load.arrivals_per_s)
    capacity = load.rate * load.endpoints * load.seconds
    shares = [got / max(1, came) for got, came in zip(served, asked)]
    return Outcome(
        most_in_window=max(most_within(times, 4) for times in sends),
        used=sum(served) / capacity,
        least_served=min(shares) * sum(asked) / max(1, sum(served)),
    )


def most_within(times: list[float], seconds: float) -> int:
    """Return the most of some sorted times that lie within a span."""
    window: deque[float] = deque()
    most = 0
    for at in times:
        window.append(at)
        while window[0] <= at - seconds:
            window.popleft()
        most = max(most, len(window))
    return most


def _first_open(policy: LimitPolicy, entry: int, now: float) -> int | None:
    for endpoint in range(policy.load.endpoints):
        if policy.may_send(entry, endpoint, now):
            return endpoint
    return None
