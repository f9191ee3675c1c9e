"""Simulation, in virtual time, of endpoints that request backoffs."""

import abc
import heapq
from collections import defaultdict, deque
from collections.abc import Container

import msgspec

from ..asked_rests import RequestedBackoffs
from .builders_limits import SeededRandom, lifetime, max_within

#: Upper bound of the endpoints to which one request is sent.
MAX_ATTEMPTS = 3
#: Time after the request of a backoff in which sends do not count, because they
#: were already in flight, in seconds.
GRACE_SECONDS = 0.5
#: Requests that may arrive within a backoff after that time.
MAX_WITHIN_BACKOFF = 2
#: Time until an entry receives a refusal, in seconds.
REFUSAL_DELAY_SECONDS = 0.01
#: Window in which refusals count as simultaneous, in seconds.
BURST_SECONDS = 0.2


class BackoffLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Requests to endpoints that refuse requests without a free slot.

    Attributes
    ----------
    slots
        Requests that an endpoint runs at the same time.
    slot_seconds
        Time for which a request occupies a slot.
    arrivals_per_s
        Requests that arrive at all entries together, per second.
    burst_size
        Requests that arrive at one entry at the same moment.
    backoff_seconds
        Length of each requested backoff.
    overloaded
        Number of endpoints that accept nothing at first.
    overload_seconds
        Time for which these endpoints accept nothing.
    seconds
        Length of the simulation.
    """

    entries: int = 5
    endpoints: int = 18
    slots: int = 8
    slot_seconds: float = 1.2
    arrivals_per_s: float = 60
    burst_size: int = 1
    backoff_seconds: float = 3
    overloaded: int = 0
    overload_seconds: float = 20
    seconds: float = 40


class BackoffPolicy(abc.ABC):
    """A way in which the entries of a fleet handle requested backoffs."""

    def __init__(self, load: BackoffLoad) -> None:
        self.load = load

    @abc.abstractmethod
    def accepts(self, entry: int, endpoint: int, now: float) -> bool:
        """Return whether an entry may send to an endpoint."""

    def record_send(self, entry: int, endpoint: int, now: float) -> None:
        """Record that an entry sends a request."""

    def record_refusal(self, entry: int, endpoint: int, now: float) -> None:
        """Record that an endpoint requests a backoff from an entry."""

    def record_acceptance(self, entry: int, endpoint: int) -> None:
        """Record that an endpoint accepted a request."""


class NoBackoff(BackoffPolicy):
    """Ignores the requested backoffs."""

    def accepts(self, entry: int, endpoint: int, now: float) -> bool:
        return True


class AllAfterBackoff(BackoffPolicy):
    """Observes each backoff and sends all waiting requests after it."""

    def __init__(self, load: BackoffLoad) -> None:
        super().__init__(load)
        self.until: dict[tuple[int, int], float] = defaultdict(float)

    def accepts(self, entry: int, endpoint: int, now: float) -> bool:
        return now >= self.until[entry, endpoint]

    def record_refusal(self, entry: int, endpoint: int, now: float) -> None:
        self.until[entry, endpoint] = now + self.load.backoff_seconds


class ProbeFirst(BackoffPolicy):
    """Observes each backoff and sends one probe after it."""

    def __init__(self, load: BackoffLoad) -> None:
        super().__init__(load)
        self.backoffs = [RequestedBackoffs() for _ in range(load.entries)]

    def accepts(self, entry: int, endpoint: int, now: float) -> bool:
        return self.backoffs[entry].accepts(lifetime(endpoint), now)

    def record_send(self, entry: int, endpoint: int, now: float) -> None:
        self.backoffs[entry].record_send(lifetime(endpoint), now)

    def record_refusal(self, entry: int, endpoint: int, now: float) -> None:
        self.backoffs[entry].record_request(
            lifetime(endpoint), self.load.backoff_seconds, now
        )

    def record_acceptance(self, entry: int, endpoint: int) -> None:
        self.backoffs[entry].record_acceptance(lifetime(endpoint))


class SharedWithPeers(ProbeFirst):
    """Applies the backoff of one entry to all entries."""

    def __init__(self, load: BackoffLoad) -> None:
        super().__init__(load)
        shared = RequestedBackoffs()
        self.backoffs = [shared for _ in range(load.entries)]


class BackoffOutcome(msgspec.Struct, frozen=True):
    """Result of a simulation.

    Attributes
    ----------
    served
        Fraction of the requests that an endpoint accepted.
    refusals_per_request
        Refused attempts divided by the number of requests.
    max_in_backoff
        Largest number of requests that one entry sent to one endpoint within
        a backoff.
    max_simultaneous_refusals
        Largest number of refusals by one endpoint within `BURST_SECONDS`.
    """

    served: float
    refusals_per_request: float
    max_in_backoff: int
    max_simultaneous_refusals: int


class BackoffSimulation:
    """Simulation of a load under a policy.

    Attributes
    ----------
    running
        End times of the running requests, by endpoint.
    in_progress
        End times of the attempts, by entry and endpoint.
    in_flight
        Refusals that have not reached their entry yet.
    refusals
        Times of the refusals, by endpoint.
    requested_at
        Times of the requested backoffs, by entry and endpoint.
    arrivals
        Times of the sent requests, by entry and endpoint.
    """

    def __init__(self, policy: BackoffPolicy) -> None:
        self.policy = policy
        self.load = policy.load
        self.running: dict[int, list[float]] = defaultdict(list)
        self.in_progress: dict[tuple[int, int], list[float]] = defaultdict(list)
        self.in_flight: deque[tuple[float, int, int]] = deque()
        self.refusals: dict[int, list[float]] = defaultdict(list)
        self.requested_at: dict[tuple[int, int], list[float]] = defaultdict(
            list
        )
        self.arrivals: dict[tuple[int, int], list[float]] = defaultdict(list)

    def run(self, seed: int) -> BackoffOutcome:
        """Run the simulation."""
        generator = SeededRandom(seed)
        arrived = 0
        served = 0
        bursts_per_s = self.load.arrivals_per_s / self.load.burst_size
        now = generator.interarrival_seconds(bursts_per_s)
        while now < self.load.seconds:
            self._deliver_refusals(now)
            entry = int(generator.fraction() * self.load.entries)
            for _ in range(self.load.burst_size):
                arrived += 1
                served += self._serve(entry, now)
            now += generator.interarrival_seconds(bursts_per_s)
        refusals = list(self.refusals.values())
        return BackoffOutcome(
            served=served / arrived,
            refusals_per_request=sum(map(len, refusals)) / arrived,
            max_in_backoff=max(map(self._max_in_backoff, self.arrivals)),
            max_simultaneous_refusals=max(
                (max_within(times, BURST_SECONDS) for times in refusals),
                default=0,
            ),
        )

    def _deliver_refusals(self, now: float) -> None:
        """Deliver the refusals that have reached their entry by now."""
        while self.in_flight and self.in_flight[0][0] <= now:
            delivered_at, entry, endpoint = self.in_flight.popleft()
            self.policy.record_refusal(entry, endpoint, delivered_at)

    def _serve(self, entry: int, now: float) -> bool:
        """Send one request; return whether an endpoint accepted it."""
        attempted: set[int] = set()
        while len(attempted) < MAX_ATTEMPTS:
            endpoint = self._choose(entry, attempted, now)
            if endpoint is None:
                return False
            if self._send(entry, endpoint, now):
                return True
            attempted.add(endpoint)
        return False

    def _choose(
        self,
        entry: int,
        attempted: Container[int],
        now: float,
    ) -> int | None:
        """Return the endpoint with the fewest requests of this entry."""
        accepting = [
            endpoint
            for endpoint in range(self.load.endpoints)
            if endpoint not in attempted
            and self.policy.accepts(entry, endpoint, now)
        ]
        return min(
            accepting,
            key=lambda endpoint: _count_running(
                self.in_progress[entry, endpoint], now
            ),
            default=None,
        )

    def _send(self, entry: int, endpoint: int, now: float) -> bool:
        self.policy.record_send(entry, endpoint, now)
        self.arrivals[entry, endpoint].append(now)
        if self._is_full(endpoint, now):
            self.refusals[endpoint].append(now)
            self.requested_at[entry, endpoint].append(now)
            heapq.heappush(
                self.in_progress[entry, endpoint], now + REFUSAL_DELAY_SECONDS
            )
            self.in_flight.append(
                (now + REFUSAL_DELAY_SECONDS, entry, endpoint)
            )
            return False
        heapq.heappush(self.running[endpoint], now + self.load.slot_seconds)
        heapq.heappush(
            self.in_progress[entry, endpoint], now + self.load.slot_seconds
        )
        self.policy.record_acceptance(entry, endpoint)
        return True

    def _is_full(self, endpoint: int, now: float) -> bool:
        load = self.load
        if endpoint < load.overloaded and now < load.overload_seconds:
            return True
        return _count_running(self.running[endpoint], now) >= load.slots

    def _max_in_backoff(self, pair: tuple[int, int]) -> int:
        """Return the largest number of sends of an entry in one backoff."""
        return max(
            (
                sum(
                    requested + GRACE_SECONDS
                    < at
                    < requested + self.load.backoff_seconds
                    for at in self.arrivals[pair]
                )
                for requested in self.requested_at[pair]
            ),
            default=0,
        )


def _count_running(ends: list[float], now: float) -> int:
    """Return the number of requests that run; remove the ended ones."""
    while ends and ends[0] <= now:
        heapq.heappop(ends)
    return len(ends)
