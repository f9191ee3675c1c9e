"""Which endpoints are relieved of work because of what callers saw there.

Load pattern: an endpoint that is ten times slower than the others but alive,
one that fails each request at once, and one that accepts work and never
answers.

Without it: the one that fails fast always looks idle and draws most of the
traffic; behind the slow or silent one, every request that lands there waits
until its time limit. Without the cap, a fault that all share, as a bad model
version, would eject one after the other and crush the rest.
"""

import math
import statistics
from collections.abc import Iterable, Mapping

from ..ids import EndpointId
from ..states import HealthState
from .health_record import (
    LEAST_SAMPLES,
    EjectionReason,
    HealthRecord,
    Observation,
    ObservationKind,
)

#: Part of the endpoints that may be ejected or probed at once. At 0.7 load
#: the others can take over what three in ten leave.
LARGEST_EJECTED_SHARE = 0.3
#: Latency in multiples of the median above which an endpoint is ejected.
#: Queues alone make the averages of equal endpoints differ by two.
LATENCY_FACTOR = 3.0
#: First and later time without work, in seconds. Ten seconds outlast a pause or
#: a restart of a process. With up to 160 s the model's callers waited longer
#: for endpoints that were well again than probes cost them at 20 s.
FIRST_EJECTION = 10.0
LATER_EJECTION = 20.0
#: Time in health after which earlier ejections no longer count, in seconds.
FORGIVEN_SECONDS = 120.0
#: Weight while probing; one request at a time bounds what a probe can cost.
PROBE_WEIGHT = 0.5
#: Good answers in a row that end the probing.
GOOD_PROBES = 3
#: Weight at the begin of the return, and its length in seconds. A cold cache
#: makes the first requests slow, which is no reason to eject it again.
FIRST_WEIGHT = 0.1
RETURN_SECONDS = 10.0
#: Weight of an endpoint that ought to be ejected while the cap is reached.
CROWDED_WEIGHT = 0.25
#: Interval at which the median of all endpoints is computed, in seconds.
MEDIAN_SECONDS = 1.0


class EndpointHealth:
    """What an entry has seen of each endpoint, and what follows from it.

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
        self.relieved = 0
        self.median_ratio = float(1)
        self._median_at = -math.inf

    def observe(
        self,
        endpoint: EndpointId,
        observation: Observation,
        now: float,
    ) -> None:
        """Take note of what was seen at an endpoint."""
        record = self._record(endpoint)
        record.take(observation, now)
        if record.state == HealthState.PROBING:
            self._count_probe(record, observation, now)
        elif observation.kind == ObservationKind.FAILED:
            # Latency waits for the next median, which a fleet that slows
            # down as a whole has raised by then.
            self._judge(record, now)

    def weights(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
    ) -> Mapping[EndpointId, float]:
        """Return the part of its share that each endpoint should get.

        Call it about once a second with all endpoints in use; those that
        are not named any more are forgotten.
        """
        names = tuple(endpoints)
        for gone in self.records.keys() - set(names):
            self.forget(gone)
        records = {endpoint: self._record(endpoint) for endpoint in names}
        self._refresh_median(now)
        self._return_excess(now)
        return {
            endpoint: self._weight(record, now)
            for endpoint, record in records.items()
        }

    def state(self, endpoint: EndpointId) -> HealthState:
        """Return the state of an endpoint."""
        return self._record(endpoint).state

    def reason(self, endpoint: EndpointId) -> EjectionReason | None:
        """Return why an endpoint is relieved of work; None if it is not."""
        return self._record(endpoint).reason

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what is known of an endpoint that is gone."""
        record = self.records.pop(endpoint, None)
        if record is not None and record.state in _RELIEVED:
            self.relieved -= 1

    def largest_relieved(self) -> int:
        """Return how many endpoints may be relieved of work at once.

        Of two or three, one may be; the last one never is.
        """
        known = len(self.records)
        share = max(1, math.floor(known * LARGEST_EJECTED_SHARE))
        return max(0, min(known - 1, share))

    def _record(self, endpoint: EndpointId) -> HealthRecord:
        record = self.records.get(endpoint)
        if record is None:
            record = HealthRecord()
            self.records[endpoint] = record
        return record

    def _judge(self, record: HealthRecord, now: float) -> None:
        if record.state == HealthState.EJECTED:
            return
        slowest = LATENCY_FACTOR * max(1, self.median_ratio)
        complaint = record.complaint(slowest, now)
        record.is_judged = True
        record.crowded = complaint is not None and not self._may_eject(record)
        if complaint is not None and not record.crowded:
            self._eject(record, complaint, now)

    def _may_eject(self, record: HealthRecord) -> bool:
        if record.state in _RELIEVED:
            return True
        return self.relieved < self.largest_relieved()

    def _eject(
        self,
        record: HealthRecord,
        complaint: EjectionReason,
        now: float,
    ) -> None:
        if record.state == HealthState.HEALTHY:
            if now - record.since > FORGIVEN_SECONDS:
                record.ejections = 0
        record.ejections += 1
        record.reason = complaint
        self._enter(record, HealthState.EJECTED, now)

    def _count_probe(
        self,
        record: HealthRecord,
        observation: Observation,
        now: float,
    ) -> None:
        # Averages need more samples than an ejected endpoint should get, so
        # each probe counts for itself.
        slowest = LATENCY_FACTOR * max(1, self.median_ratio)
        if observation.kind == ObservationKind.FAILED:
            self._eject(record, EjectionReason.FAILURES, now)
        elif observation.latency_ratio > slowest:
            self._eject(record, EjectionReason.LATENCY, now)
        elif observation.kind == ObservationKind.ANSWERED:
            record.good_probes += 1
        if record.good_probes >= GOOD_PROBES:
            self._enter(record, HealthState.RETURNING, now)

    def _return_excess(self, now: float) -> None:
        # Endpoints leave the fleet while others are ejected. What is ejected
        # may then be more than the cap, and the rest would be crushed.
        excess = self.relieved - self.largest_relieved()
        if excess <= 0:
            return
        relieved = [
            record
            for record in self.records.values()
            if record.state in _RELIEVED
        ]
        relieved.sort(key=lambda record: record.since)
        for record in relieved[:excess]:
            self._enter(record, HealthState.RETURNING, now)

    def _enter(
        self,
        record: HealthRecord,
        state: HealthState,
        now: float,
    ) -> None:
        was = record.state in _RELIEVED
        if state == HealthState.RETURNING:
            record.reason = None
        record.enter(state, now)
        self.relieved += (state in _RELIEVED) - was

    def _weight(self, record: HealthRecord, now: float) -> float:
        if record.is_settled:
            return 1
        self._judge(record, now)
        elapsed = now - record.since
        if record.state == HealthState.EJECTED:
            if elapsed < _ejection_seconds(record):
                return 0
            self._enter(record, HealthState.PROBING, now)
        if record.state == HealthState.PROBING:
            return 0 if record.pending else PROBE_WEIGHT
        returned = record.state == HealthState.RETURNING
        if returned and elapsed >= RETURN_SECONDS:
            self._enter(record, HealthState.HEALTHY, now)
        return _working_weight(record, elapsed)

    def _refresh_median(self, now: float) -> None:
        if now - self._median_at < MEDIAN_SECONDS:
            return
        self._median_at = now
        ratios = [
            record.latency_ratio
            for record in self.records.values()
            if record.samples >= LEAST_SAMPLES
        ]
        # With few endpoints the median may be the slow one itself.
        self.median_ratio = statistics.median_low(ratios) if ratios else 1


_RELIEVED = frozenset((HealthState.EJECTED, HealthState.PROBING))


def _ejection_seconds(record: HealthRecord) -> float:
    return FIRST_EJECTION if record.ejections == 1 else LATER_EJECTION


def _working_weight(record: HealthRecord, elapsed: float) -> float:
    if record.crowded:
        return CROWDED_WEIGHT
    if record.state == HealthState.HEALTHY:
        return 1
    ramp = (1 - FIRST_WEIGHT) * elapsed / RETURN_SECONDS
    return FIRST_WEIGHT + ramp
