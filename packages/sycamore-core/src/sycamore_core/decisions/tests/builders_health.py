"""A model of endpoints of which some are slow, fail or go silent.

Each endpoint serves one request after the other. An entry chooses the less
busy of two endpoints drawn by their weights, refuses a caller at the door if
too many wait there, and sees only what its callers see. There are no retries,
so each fault shows.
"""

import enum
import heapq
import random

import msgspec

from sycamore_core.decisions.health import EndpointHealth
from sycamore_core.decisions.health_record import Observation, ObservationKind

SERVICE_SECONDS = 0.1
TIME_LIMIT = 10
#: More than this wait longer than a caller would.
MOST_IN_FLIGHT = 8


class Fault(enum.Enum):
    SLOW = 'slow'
    FAILS_FAST = 'fails_fast'
    SILENT = 'silent'


class Caller(msgspec.Struct, frozen=True):
    """What one caller received; `seconds` is None without an answer."""

    arrived: float
    endpoint: int
    seconds: float | None


class HealthModel:
    """Endpoints with faults between two moments, and one entry."""

    def __init__(self, size, faults, begins, ends, *, judged=True):
        self.health = EndpointHealth() if judged else None
        self.faults = faults
        self.begins = begins
        self.ends = ends
        self.busy_until = [0 for _ in range(size)]
        self.in_flight = [0 for _ in range(size)]
        self.weights = {number: 1 for number in range(size)}
        self.callers = []
        self.events = []

    def run(self, load, seconds, seed):
        """Run arrivals at a share of what all endpoints serve together."""
        draw = random.Random(seed)
        rate = load * len(self.busy_until) / SERVICE_SECONDS
        at, weighed = 0, 0
        while at < seconds:
            at += draw.expovariate(rate)
            self._observe_until(at)
            if at - weighed >= 1 and self.health:
                weighed = at
                self.weights = self.health.weights(self.weights, at)
            chosen = self._choose(draw)
            if self.in_flight[chosen] < MOST_IN_FLIGHT:
                self._send(chosen, at)
            else:
                self.callers.append(Caller(at, chosen, None))
        return self.callers

    def answered(self, begin, end, within):
        """Return the share of callers answered within some seconds."""
        found = [one for one in self.callers if begin <= one.arrived < end]
        good = [
            one
            for one in found
            if one.seconds is not None and one.seconds <= within
        ]
        return len(good) / len(found)

    def share_of(self, endpoint, begin, end):
        """Return the part of the callers that an endpoint got."""
        found = [one for one in self.callers if begin <= one.arrived < end]
        mine = [one for one in found if one.endpoint == endpoint]
        return len(mine) / len(found)

    def _choose(self, draw):
        names = list(self.weights)
        drawn = draw.choices(names, list(self.weights.values()), k=2)
        return min(drawn, key=lambda one: self.in_flight[one])

    def _send(self, endpoint, now):
        self.in_flight[endpoint] += 1
        if self.health:
            accepted = Observation(
                kind=ObservationKind.ACCEPTED,
                expected_seconds=SERVICE_SECONDS,
            )
            self.health.observe(endpoint, accepted, now)
        fault = self.faults.get(endpoint)
        if not self.begins <= now < self.ends:
            fault = None
        if fault == Fault.FAILS_FAST:
            self._end(endpoint, now, 0.005, ObservationKind.FAILED)
        elif fault == Fault.SILENT:
            self._end(endpoint, now, TIME_LIMIT, ObservationKind.ABANDONED)
        else:
            slowdown = 10 if fault else 1
            seconds = SERVICE_SECONDS * slowdown
            start = max(now, self.busy_until[endpoint])
            self.busy_until[endpoint] = start + seconds
            waited = start + seconds - now
            self._end(endpoint, now, waited, ObservationKind.ANSWERED)

    def _end(self, endpoint, now, seconds, kind):
        if seconds > TIME_LIMIT:
            seconds, kind = TIME_LIMIT, ObservationKind.ABANDONED
        answered = kind == ObservationKind.ANSWERED
        received = seconds if answered else None
        self.callers.append(Caller(now, endpoint, received))
        # Queues of five are usual at this load, hence the allowance.
        ratio = seconds / (SERVICE_SECONDS * 2)
        seen = Observation(kind=kind, latency_ratio=ratio)
        event = (now + seconds, len(self.callers), endpoint, seen)
        heapq.heappush(self.events, event)

    def _observe_until(self, now):
        while self.events and self.events[0][0] <= now:
            at, _, endpoint, seen = heapq.heappop(self.events)
            self.in_flight[endpoint] -= 1
            if self.health:
                self.health.observe(endpoint, seen, at)
