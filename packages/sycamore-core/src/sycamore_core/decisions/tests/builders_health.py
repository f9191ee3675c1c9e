"""Model of endpoints of which some are slow, fail or go silent.

Each endpoint serves one request at a time. An entry chooses the less busy of
two endpoints drawn by their weights, refuses a request if too many are in
flight there, and observes only the answers of its callers. There are no
retries, so each fault is visible in the results.
"""

import enum
import heapq
import random

import msgspec

from sycamore_core.decisions.health import EndpointHealth
from sycamore_core.decisions.health_record import Observation, ObservationKind

SERVICE_SECONDS = 0.1
TIME_LIMIT = 10
#: With more requests in flight, a request could exceed its time limit.
MAX_IN_FLIGHT = 8


class Fault(enum.Enum):
    SLOW = 'slow'
    FAILS_FAST = 'fails_fast'
    SILENT = 'silent'


class CallerResult(msgspec.Struct, frozen=True):
    """Result for one caller; `seconds` is None without an answer."""

    arrived: float
    endpoint: int
    seconds: float | None


class HealthModel:
    """One entry and several endpoints with faults during an interval."""

    def __init__(
        self, size, faults, fault_begin, fault_end, *, uses_health=True
    ):
        self.health = EndpointHealth() if uses_health else None
        self.faults = faults
        self.fault_begin = fault_begin
        self.fault_end = fault_end
        self.busy_until = [0 for _ in range(size)]
        self.in_flight = [0 for _ in range(size)]
        self.weights = {number: 1 for number in range(size)}
        self.results = []
        self.events = []

    def run(self, load, seconds, seed):
        """Run arrivals; `load` is a share of the capacity of all endpoints."""
        draw = random.Random(seed)
        rate = load * len(self.busy_until) / SERVICE_SECONDS
        at, weights_updated_at = 0, 0
        while at < seconds:
            at += draw.expovariate(rate)
            self._observe_until(at)
            if at - weights_updated_at >= 1 and self.health:
                weights_updated_at = at
                self.weights = self.health.weights(self.weights, at)
            chosen = self._choose(draw)
            if self.in_flight[chosen] < MAX_IN_FLIGHT:
                self._send(chosen, at)
            else:
                self.results.append(CallerResult(at, chosen, None))
        return self.results

    def answered(self, begin, end, within):
        """Return the share of callers answered within `within` seconds."""
        found = [
            result for result in self.results if begin <= result.arrived < end
        ]
        good = [
            result
            for result in found
            if result.seconds is not None and result.seconds <= within
        ]
        return len(good) / len(found)

    def share_of(self, endpoint, begin, end):
        """Return the share of the callers sent to an endpoint."""
        found = [
            result for result in self.results if begin <= result.arrived < end
        ]
        own = [result for result in found if result.endpoint == endpoint]
        return len(own) / len(found)

    def _choose(self, draw):
        names = list(self.weights)
        drawn = draw.choices(names, list(self.weights.values()), k=2)
        return min(drawn, key=lambda endpoint: self.in_flight[endpoint])

    def _send(self, endpoint, now):
        self.in_flight[endpoint] += 1
        if self.health:
            accepted = Observation(
                kind=ObservationKind.ACCEPTED,
                expected_seconds=SERVICE_SECONDS,
            )
            self.health.observe(endpoint, accepted, now)
        fault = self.faults.get(endpoint)
        if not self.fault_begin <= now < self.fault_end:
            fault = None
        if fault == Fault.FAILS_FAST:
            self._finish(endpoint, now, 0.005, ObservationKind.FAILED)
        elif fault == Fault.SILENT:
            self._finish(endpoint, now, TIME_LIMIT, ObservationKind.ABANDONED)
        else:
            slowdown = 10 if fault else 1
            seconds = SERVICE_SECONDS * slowdown
            start = max(now, self.busy_until[endpoint])
            self.busy_until[endpoint] = start + seconds
            waited = start + seconds - now
            self._finish(endpoint, now, waited, ObservationKind.ANSWERED)

    def _finish(self, endpoint, now, seconds, kind):
        if seconds > TIME_LIMIT:
            seconds, kind = TIME_LIMIT, ObservationKind.ABANDONED
        answered = kind == ObservationKind.ANSWERED
        received = seconds if answered else None
        self.results.append(CallerResult(now, endpoint, received))
        # Queues of five are usual at this load, hence the factor of 2.
        ratio = seconds / (SERVICE_SECONDS * 2)
        observation = Observation(kind=kind, latency_ratio=ratio)
        event = (now + seconds, len(self.results), endpoint, observation)
        heapq.heappush(self.events, event)

    def _observe_until(self, now):
        while self.events and self.events[0][0] <= now:
            at, _, endpoint, observation = heapq.heappop(self.events)
            self.in_flight[endpoint] -= 1
            if self.health:
                self.health.observe(endpoint, observation, at)
