"""Passive outlier detection: ejects endpoints by the results of requests.

Load pattern: an endpoint that responds but is ten times slower than the
others, an endpoint that fails each request at once, and an endpoint that
accepts requests and never answers.

Without ejection, an endpoint that fails fast always appears idle and attracts
most of the traffic, and each request sent to a slow or silent endpoint waits
until its time limit. Without the cap on ejections, a fault of all endpoints,
such as a bad model version, would eject them one by one and overload the rest.
"""

import math
import statistics
from collections.abc import Iterable, Mapping

from ..ids import EndpointId
from ..states import HealthState
from .health_record import (
    MIN_SAMPLES,
    EjectionReason,
    HealthRecord,
    Observation,
    ObservationKind,
)

#: Largest fraction of the endpoints that may be ejected or probed at once. At
#: a load of 0.7 the others can take over the work of three in ten.
MAX_EJECTED_SHARE = 0.3
#: Latency ratio above which an endpoint is ejected, in multiples of 1 or of the
#: median ratio of all endpoints, whichever is higher. Queueing alone makes the
#: averages of equal endpoints differ by a factor of 2.
LATENCY_FACTOR = 3.0
#: Durations of the first and of later ejections, in seconds. Ten seconds
#: outlast a pause or restart of a process. In a simulation, ejections of up to
#: 160 s cost callers more time than probes every 20 s, because endpoints that
#: had recovered were not used.
FIRST_EJECTION_SECONDS = 10.0
LATER_EJECTION_SECONDS = 20.0
#: Healthy time after which earlier ejections no longer count, in seconds.
EJECTION_RESET_SECONDS = 120.0
#: Weight while probing. Only one request at a time is sent, which bounds the
#: cost of a probe.
PROBE_WEIGHT = 0.5
#: Number of consecutive good answers that end the probing.
REQUIRED_PROBES = 3
#: Weight at the start of the return, and its duration in seconds. A cold cache
#: makes the first requests slow, which must not cause another ejection.
RETURN_START_WEIGHT = 0.1
RETURN_RAMP_SECONDS = 10.0
#: Weight of an endpoint that would be ejected if the cap were not reached.
CAPPED_WEIGHT = 0.25
#: Interval at which the median of all endpoints is computed, in seconds.
MEDIAN_INTERVAL_SECONDS = 1.0


class EndpointHealth:
    """Health of each endpoint and the resulting weights, for one entry.

    Examples
    --------
    >>> health = EndpointHealth()
    >>> names = [EndpointId('e1'), EndpointId('e2'), EndpointId('e3')]
    >>> health.weights(names, now=0)['e1']
    1
    >>> for _ in range(3):
    ...     failed = Observation(kind=ObservationKind.FAILED)
    ...     health.observe(EndpointId('e1'), failed, now=1)
    >>> health.weights(names, now=1)['e1']
    0
    """

    def __init__(self) -> None:
        self.records: dict[EndpointId, HealthRecord] = {}
        self.out_of_service = 0
        self.median_ratio = float(1)
        self._median_updated_at = -math.inf

    def observe(
        self,
        endpoint: EndpointId,
        observation: Observation,
        now: float,
    ) -> None:
        """Record an observation at an endpoint."""
        record = self._record(endpoint)
        record.add_observation(observation, now)
        if record.state == HealthState.PROBING:
            self._record_probe(record, observation, now)
        elif observation.kind == ObservationKind.FAILED:
            # A slow answer is evaluated in `weights`, after an update of the
            # median. Otherwise a slowdown of the whole fleet would look like
            # a fault of one endpoint.
            self._evaluate(record, now)

    def weights(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
    ) -> Mapping[EndpointId, float]:
        """Return the weight of each endpoint, from 0 to 1.

        Call this method about once per second with all endpoints in use. It
        drops the records of all other endpoints.
        """
        names = tuple(endpoints)
        for removed in self.records.keys() - set(names):
            self.forget(removed)
        records = {endpoint: self._record(endpoint) for endpoint in names}
        self._refresh_median(now)
        self._reinstate_excess(now)
        return {
            endpoint: self._weight(record, now)
            for endpoint, record in records.items()
        }

    def state(self, endpoint: EndpointId) -> HealthState:
        """Return the state of an endpoint."""
        return self._record(endpoint).state

    def reason(self, endpoint: EndpointId) -> EjectionReason | None:
        """Return why an endpoint was ejected; None if it is in service."""
        return self._record(endpoint).reason

    def forget(self, endpoint: EndpointId) -> None:
        """Drop the record of an endpoint that has been removed."""
        record = self.records.pop(endpoint, None)
        if record is not None and record.state in _OUT_OF_SERVICE_STATES:
            self.out_of_service -= 1

    def max_out_of_service(self) -> int:
        """Return how many endpoints may be ejected or probed at once.

        With two to six endpoints the number is one. The last endpoint always
        stays in service.
        """
        endpoint_count = len(self.records)
        limit = max(1, math.floor(endpoint_count * MAX_EJECTED_SHARE))
        return max(0, min(endpoint_count - 1, limit))

    def _record(self, endpoint: EndpointId) -> HealthRecord:
        record = self.records.get(endpoint)
        if record is None:
            record = HealthRecord()
            self.records[endpoint] = record
        return record

    def _evaluate(self, record: HealthRecord, now: float) -> None:
        if record.state == HealthState.EJECTED:
            return
        max_ratio = LATENCY_FACTOR * max(1, self.median_ratio)
        reason = record.ejection_reason(max_ratio, now)
        record.is_evaluated = True
        record.is_capped = reason is not None and not self._may_eject(record)
        if reason is not None and not record.is_capped:
            self._eject(record, reason, now)

    def _may_eject(self, record: HealthRecord) -> bool:
        if record.state in _OUT_OF_SERVICE_STATES:
            return True
        return self.out_of_service < self.max_out_of_service()

    def _eject(
        self,
        record: HealthRecord,
        reason: EjectionReason,
        now: float,
    ) -> None:
        if record.state == HealthState.HEALTHY:
            if now - record.since > EJECTION_RESET_SECONDS:
                record.ejections = 0
        record.ejections += 1
        record.reason = reason
        self._change_state(record, HealthState.EJECTED, now)

    def _record_probe(
        self,
        record: HealthRecord,
        observation: Observation,
        now: float,
    ) -> None:
        # Averages need more samples than an ejected endpoint should receive,
        # so each probe is evaluated on its own.
        max_ratio = LATENCY_FACTOR * max(1, self.median_ratio)
        if observation.kind == ObservationKind.FAILED:
            self._eject(record, EjectionReason.FAILURES, now)
        elif observation.latency_ratio > max_ratio:
            self._eject(record, EjectionReason.LATENCY, now)
        elif observation.kind == ObservationKind.ANSWERED:
            record.successful_probes += 1
        if record.successful_probes >= REQUIRED_PROBES:
            self._change_state(record, HealthState.RETURNING, now)

    def _reinstate_excess(self, now: float) -> None:
        # When endpoints leave the fleet, the ejected ones may exceed the cap,
        # and the remaining endpoints would be overloaded.
        excess = self.out_of_service - self.max_out_of_service()
        if excess <= 0:
            return
        out_of_service = [
            record
            for record in self.records.values()
            if record.state in _OUT_OF_SERVICE_STATES
        ]
        out_of_service.sort(key=lambda record: record.since)
        for record in out_of_service[:excess]:
            self._change_state(record, HealthState.RETURNING, now)

    def _change_state(
        self,
        record: HealthRecord,
        state: HealthState,
        now: float,
    ) -> None:
        was_out_of_service = record.state in _OUT_OF_SERVICE_STATES
        if state == HealthState.RETURNING:
            record.reason = None
        record.change_state(state, now)
        self.out_of_service += (
            state in _OUT_OF_SERVICE_STATES
        ) - was_out_of_service

    def _weight(self, record: HealthRecord, now: float) -> float:
        """Update the state of an endpoint and return its weight."""
        if record.is_settled:
            return 1
        self._evaluate(record, now)
        elapsed = now - record.since
        if record.state == HealthState.EJECTED:
            if elapsed < _ejection_seconds(record):
                return 0
            self._change_state(record, HealthState.PROBING, now)
        if record.state == HealthState.PROBING:
            return 0 if record.pending else PROBE_WEIGHT
        is_returning = record.state == HealthState.RETURNING
        if is_returning and elapsed >= RETURN_RAMP_SECONDS:
            self._change_state(record, HealthState.HEALTHY, now)
        return _in_service_weight(record, elapsed)

    def _refresh_median(self, now: float) -> None:
        if now - self._median_updated_at < MEDIAN_INTERVAL_SECONDS:
            return
        self._median_updated_at = now
        ratios = [
            record.latency_ratio
            for record in self.records.values()
            if record.samples >= MIN_SAMPLES
        ]
        # With few endpoints, the high median may be the slow endpoint itself.
        self.median_ratio = statistics.median_low(ratios) if ratios else 1


_OUT_OF_SERVICE_STATES = frozenset((HealthState.EJECTED, HealthState.PROBING))


def _ejection_seconds(record: HealthRecord) -> float:
    return (
        FIRST_EJECTION_SECONDS
        if record.ejections == 1
        else LATER_EJECTION_SECONDS
    )


def _in_service_weight(record: HealthRecord, elapsed: float) -> float:
    if record.is_capped:
        return CAPPED_WEIGHT
    if record.state == HealthState.HEALTHY:
        return 1
    ramp = (1 - RETURN_START_WEIGHT) * elapsed / RETURN_RAMP_SECONDS
    return RETURN_START_WEIGHT + ramp
