"""Simulation, in virtual time, of entries that share rate limits."""

import abc
import math
from collections import defaultdict, deque

import msgspec

from ....hashes import stable_fraction
from ....ids import EndpointId, EntryId, PeerId
from ....routing import EndpointLifetime
from ..rate_limits import RateLimits

#: Time until an entry receives another entry's report of sends, in seconds.
REPORT_DELAY_SECONDS = 0.03


class LimitedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Requests to endpoints that all request the same rate limit.

    Attributes
    ----------
    rate
        Limit of each endpoint, in requests per second.
    arrivals_per_s
        Requests that arrive at all entries together, per second.
    first_entry_share
        Fraction of the requests that always arrive at the first entry.
    seconds
        Length of the simulation.
    """

    entries: int
    endpoints: int = 1
    rate: float = 1.2
    arrivals_per_s: float = 20
    first_entry_share: float = 0
    seconds: float = 60


class LimitPolicy(abc.ABC):
    """A way in which the entries of a fleet observe a rate limit."""

    def __init__(self, load: LimitedLoad) -> None:
        self.load = load

    @abc.abstractmethod
    def may_send(self, entry: int, endpoint: int, now: float) -> bool:
        """Return whether an entry may send, and record the send if so."""

    def deliver_reports(self, now: float) -> None:
        """Deliver the reports that have reached the entries by now."""


class NoLimit(LimitPolicy):
    """Sends all requests."""

    def may_send(self, entry: int, endpoint: int, now: float) -> bool:
        return True


class EqualShares(LimitPolicy):
    """Gives each entry an equal share of the rate."""

    def __init__(self, load: LimitedLoad) -> None:
        super().__init__(load)
        self.next_at: dict[tuple[int, int], float] = defaultdict(float)

    def may_send(self, entry: int, endpoint: int, now: float) -> bool:
        key = entry, endpoint
        if now < self.next_at[key]:
            return False
        self.next_at[key] = now + self.load.entries / self.load.rate
        return True


class SingleSender(LimitPolicy):
    """Lets only one entry send to each endpoint."""

    def __init__(self, load: LimitedLoad) -> None:
        super().__init__(load)
        self.next_at: dict[int, float] = defaultdict(float)

    def may_send(self, entry: int, endpoint: int, now: float) -> bool:
        is_sender = entry == endpoint % self.load.entries
        if not is_sender or now < self.next_at[endpoint]:
            return False
        self.next_at[endpoint] = now + 1 / self.load.rate
        return True


class SharedWindow(LimitPolicy):
    """Lets each entry send by the sum of the sends that it knows of."""

    def __init__(self, load: LimitedLoad) -> None:
        super().__init__(load)
        self.limits = [
            RateLimits(EntryId(str(entry))) for entry in range(load.entries)
        ]
        for limits in self.limits:
            limits.entry_count = load.entries
            for endpoint in range(load.endpoints):
                limits.said(lifetime(endpoint), load.rate, 0)
        self.in_flight: deque[tuple[float, int, int]] = deque()

    def may_send(self, entry: int, endpoint: int, now: float) -> bool:
        limits = self.limits[entry]
        limits.said(lifetime(endpoint), self.load.rate, now)
        if not limits.has_room(lifetime(endpoint), now):
            return False
        limits.sent(lifetime(endpoint), now)
        self.in_flight.append((now + REPORT_DELAY_SECONDS, entry, endpoint))
        return True

    def deliver_reports(self, now: float) -> None:
        while self.in_flight and self.in_flight[0][0] <= now:
            at, entry, endpoint = self.in_flight.popleft()
            names = {EndpointId(str(endpoint))}
            reports = self.limits[entry].reports(names, at)
            for other, limits in enumerate(self.limits):
                if other != entry:
                    limits.hear(PeerId(str(entry)), reports, at)


class Outcome(msgspec.Struct, frozen=True):
    """Result of a simulation.

    Attributes
    ----------
    max_in_window
        Largest number of requests at one endpoint within four seconds.
    utilization
        Fraction of the rate of all endpoints that was used.
    min_served_share
        Smallest served fraction of the requests at one entry, relative to the
        served fraction of all requests.
    """

    max_in_window: int
    utilization: float
    min_served_share: float


class SeededRandom:
    """Random numbers that depend only on a seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._drawn = 0

    def fraction(self) -> float:
        """Return a number from 0 to 1."""
        self._drawn += 1
        return stable_fraction(f'{self.seed} {self._drawn}')

    def interarrival_seconds(self, per_second: float) -> float:
        """Return the time until the next independent arrival, in seconds."""
        return -math.log(1 - self.fraction()) / per_second


def lifetime(endpoint: int) -> EndpointLifetime:
    return EndpointLifetime(EndpointId(str(endpoint)), 5)


def simulate(policy: LimitPolicy, seed: int) -> Outcome:
    """Simulate a load under a policy."""
    load = policy.load
    generator = SeededRandom(seed)
    send_times: list[list[float]] = [[] for _ in range(load.endpoints)]
    arrived = [0 for _ in range(load.entries)]
    served = [0 for _ in range(load.entries)]
    now = generator.interarrival_seconds(load.arrivals_per_s)
    while now < load.seconds:
        policy.deliver_reports(now)
        entry = int(generator.fraction() * load.entries)
        if generator.fraction() < load.first_entry_share:
            entry = 0
        arrived[entry] += 1
        endpoint = _choose_endpoint(policy, entry, now)
        if endpoint is not None:
            send_times[endpoint].append(now)
            served[entry] += 1
        now += generator.interarrival_seconds(load.arrivals_per_s)
    capacity = load.rate * load.endpoints * load.seconds
    shares = [
        accepted / max(1, total) for accepted, total in zip(served, arrived)
    ]
    return Outcome(
        max_in_window=max(max_within(times, 4) for times in send_times),
        utilization=sum(served) / capacity,
        min_served_share=min(shares) * sum(arrived) / max(1, sum(served)),
    )


def max_within(times: list[float], seconds: float) -> int:
    """Return the largest number of sorted times within a time window."""
    window: deque[float] = deque()
    highest = 0
    for at in times:
        window.append(at)
        while window[0] <= at - seconds:
            window.popleft()
        highest = max(highest, len(window))
    return highest


def _choose_endpoint(policy: LimitPolicy, entry: int, now: float) -> int | None:
    for endpoint in range(policy.load.endpoints):
        if policy.may_send(entry, endpoint, now):
            return endpoint
    return None
