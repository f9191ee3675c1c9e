"""Registry of the endpoints of an entry and of the work sent to each.

Load pattern: endpoints join, leave, drain, slow down and fail while requests
are in flight to them.

Without this registry, the entry would notice such a change only at the next
load report, or not at all.
"""

from collections.abc import Container, Iterable

import msgspec

from ..ids import EndpointId
from ..states import EndpointKind, EndpointPhase, Outcome, RefusalReason
from .health import EndpointHealth, Observation, ObservationKind
from .outstanding import SentRequest
from .scheduler import Refusal
from .service_queue import ServiceQueue
from .tracked import PREFILL_WINDOW_SECONDS, TrackedCandidate
from .views import EndpointView
from .weight_ramp import WeightRamp

#: Interval at which the weights are updated from the health of the endpoints,
#: in seconds: the interval of load reports.
WEIGHT_INTERVAL_SECONDS = 1.0
#: Refusals after which an endpoint receives no work until its next report.
_CLOSING_REASONS = frozenset(
    (
        RefusalReason.DRAINING,
        RefusalReason.WRONG_INCARNATION,
        RefusalReason.SHUTTING_DOWN,
    ),
)
#: Refusals after which the memory of an endpoint counts as full until its next
#: report.
_FULL_REASONS = frozenset(
    (RefusalReason.MEMORY_FULL, RefusalReason.BACKLOG_FULL)
)


class _EndpointRecord(msgspec.Struct):
    queue: ServiceQueue
    candidate: TrackedCandidate
    report: EndpointView


class EndpointRegistry:
    """State of the endpoints of all services."""

    def __init__(self) -> None:
        self.records: dict[EndpointId, _EndpointRecord] = {}
        self.health = EndpointHealth()
        self.weight_ramp = WeightRamp()
        self._weights_updated_at = -WEIGHT_INTERVAL_SECONDS

    def views(self) -> tuple[EndpointView, ...]:
        """Return the last report of each endpoint."""
        return tuple(record.report for record in self.records.values())

    def unlisted(self, names: Container[EndpointId]) -> list[EndpointId]:
        """Return the endpoints that are not among `names`."""
        return [name for name in self.records if name not in names]

    def apply_report(self, queue: ServiceQueue, view: EndpointView) -> None:
        """Apply a load report of an endpoint."""
        record = self.records.get(view.endpoint)
        if record is not None and record.queue is not queue:
            self.remove(view.endpoint)
            record = None
        if record is None:
            record = _EndpointRecord(queue, TrackedCandidate(view=view), view)
            self.records[view.endpoint] = record
            queue.pool.put(record.candidate)
        queue.speed.apply_report(view)
        record.report = view
        record.candidate.apply_report(view)
        self._refresh(record)
        queue.pool.invalidate_live_weight()

    def remove(self, endpoint: EndpointId) -> None:
        """Remove an endpoint; the caller handles the requests sent there."""
        record = self.records.pop(endpoint, None)
        if record is None:
            return
        record.queue.pool.remove_everywhere(endpoint)
        self.health.forget(endpoint)

    def refresh_weights(self, now: float) -> None:
        """Update the weights from the endpoints' health if the time is due."""
        if now - self._weights_updated_at < WEIGHT_INTERVAL_SECONDS:
            return
        self._weights_updated_at = now
        targets = self.health.weights(self.records, now)
        weights = self.weight_ramp.update(targets, now)
        for name, record in self.records.items():
            record.candidate.weight = weights.get(name, 1)
            self._refresh(record)
            record.queue.pool.invalidate_live_weight()

    def record_sent(self, sent: SentRequest) -> None:
        """Record that a request is offered to an endpoint or a group."""
        charged = self._records_of(sent)
        sent.charged_candidates = tuple(record.candidate for record in charged)
        for record in charged:
            band = sent.waiting.request.band
            ahead = record.candidate.tokens_ahead(band)
            sent.tokens_ahead = ahead + sent.new_tokens
            record.candidate.add_request(
                sent.waiting.request,
                sent.lease_tokens,
                sent.new_tokens,
            )
            self._refresh(record)

    def record_accepted(self, sent: SentRequest, now: float) -> None:
        """Record that the endpoint has accepted the request."""
        expected = PREFILL_WINDOW_SECONDS
        record = self.records.get(sent.endpoint)
        if record is not None:
            expected += sent.new_tokens / record.candidate.rate
        self._observe(
            sent,
            Observation(
                kind=ObservationKind.ACCEPTED,
                expected_seconds=expected,
            ),
            now,
        )

    def record_declined(self, sent: SentRequest, refusal: Refusal) -> None:
        """Stop sending to endpoints that report being full or draining."""
        for record in self._records_of(sent):
            view = record.candidate.view
            if refusal.reason in _CLOSING_REASONS:
                view.phase = EndpointPhase.DRAINING
                record.queue.pool.invalidate_live_weight()
            elif refusal.reason in _FULL_REASONS and view.capacity_tokens:
                view.free_tokens = 0
            self._refresh(record)

    def record_failed(self, sent: SentRequest, now: float) -> None:
        """Record that a request has failed at an endpoint."""
        self._observe(sent, Observation(kind=ObservationKind.FAILED), now)

    def record_first_token(self, sent: SentRequest, now: float) -> None:
        """Record that the first token has arrived and the prefill ended."""
        for holder in self._charged_records(sent):
            holder.candidate.clear_pending(
                sent.waiting.request,
                sent.new_tokens,
            )
            self._refresh(holder)
        seconds = now - sent.sent_at
        record = self.records.get(sent.endpoint)
        if record is None:
            return
        if not sent.members:
            record.candidate.record_first_token(seconds, sent.tokens_ahead)
        expected = (
            PREFILL_WINDOW_SECONDS + sent.new_tokens / record.candidate.rate
        )
        self._observe(
            sent,
            Observation(
                kind=ObservationKind.ANSWERED,
                latency_ratio=seconds / expected,
            ),
            now,
        )

    def record_removed(self, sent: SentRequest) -> None:
        """Record that a request no longer occupies its endpoints."""
        request = sent.waiting.request
        for record in self._charged_records(sent):
            if sent.first_token_at is None:
                record.candidate.clear_pending(request, sent.new_tokens)
            record.candidate.remove_request(request, sent.lease_tokens)
            self._refresh(record)

    def record_finished(
        self, sent: SentRequest, outcome: Outcome, now: float
    ) -> None:
        """Update health and speed estimates from the end of an answer."""
        record = self.records.get(sent.endpoint)
        if sent.first_token_at is None or outcome == Outcome.FAILED:
            failed = outcome == Outcome.FAILED
            kind = (
                ObservationKind.FAILED if failed else ObservationKind.ABANDONED
            )
            self._observe(sent, Observation(kind=kind), now)
            return
        if record is None or outcome != Outcome.COMPLETE:
            return
        view = record.candidate.view
        seconds = now - sent.first_token_at
        if view.kind == EndpointKind.PLAIN:
            record.queue.speed.record_call(now - sent.sent_at)
        elif view.step_seconds > 0:
            tokens = 1 + seconds / view.step_seconds
            record.queue.speed.record_output(sent.waiting.request, tokens)

    def _charged_records(self, sent: SentRequest) -> Iterable[_EndpointRecord]:
        """Return the charged endpoints that have not been replaced since.

        Without this check, work sent before an endpoint was lost is deducted
        from its successor after it returns. The counts of the successor then
        become negative, and its load is underestimated permanently.
        """
        return [
            record
            for record in self._records_of(sent)
            if any(
                record.candidate is holder for holder in sent.charged_candidates
            )
        ]

    def _records_of(self, sent: SentRequest) -> Iterable[_EndpointRecord]:
        found = (self.records.get(name) for name in sent.endpoints)
        return [record for record in found if record is not None]

    def _observe(
        self, sent: SentRequest, observation: Observation, now: float
    ) -> None:
        if sent.endpoint in self.records:
            self.health.observe(sent.endpoint, observation, now)

    def _refresh(self, record: _EndpointRecord) -> None:
        record.queue.pool.refresh(record.candidate)
        record.queue.pool.version += 1
