"""All endpoints that an entry knows, with what it has sent to each.

Load pattern: endpoints that come, go, drain, slow down and fail while requests
are on their way to them.

Without it: each of these would be noticed only by the next report, or never.
"""

from collections.abc import Container, Iterable

import msgspec

from ..ids import EndpointId
from ..states import EndpointKind, EndpointPhase, Outcome, RefusalReason
from .health import EndpointHealth, Observation, ObservationKind
from .outstanding import Sent
from .pace import PacedWeights
from .scheduler import Refusal
from .service_queue import ServiceQueue
from .tracked import WINDOW_SECONDS, TrackedCandidate
from .views import EndpointView

#: How often the weights follow the health of the endpoints, in seconds: once a
#: report, which is as often as something new is known.
WEIGHT_SECONDS = 1.0
#: Refusals after which an endpoint takes no work until its next report.
_CLOSING = frozenset(
    (
        RefusalReason.DRAINING,
        RefusalReason.WRONG_INCARNATION,
        RefusalReason.SHUTTING_DOWN,
    ),
)
#: Refusals after which its memory counts as full until its next report.
_FULL = frozenset((RefusalReason.MEMORY_FULL, RefusalReason.BACKLOG_FULL))


class _Entry(msgspec.Struct):
    queue: ServiceQueue
    candidate: TrackedCandidate
    report: EndpointView


class EndpointBook:
    """The endpoints of all services."""

    def __init__(self) -> None:
        self.entries: dict[EndpointId, _Entry] = {}
        self.health = EndpointHealth()
        self.pace = PacedWeights()
        self._weighed_at = -WEIGHT_SECONDS

    def views(self) -> tuple[EndpointView, ...]:
        """Return the last report of each endpoint."""
        return tuple(entry.report for entry in self.entries.values())

    def unknown(self, names: Container[EndpointId]) -> list[EndpointId]:
        """Return the endpoints that are not among `names`."""
        return [name for name in self.entries if name not in names]

    def take_report(self, queue: ServiceQueue, view: EndpointView) -> None:
        """Take a report of an endpoint."""
        entry = self.entries.get(view.endpoint)
        if entry is not None and entry.queue is not queue:
            self.remove(view.endpoint)
            entry = None
        if entry is None:
            entry = _Entry(queue, TrackedCandidate(view=view), view)
            self.entries[view.endpoint] = entry
            queue.pool.put(entry.candidate)
        queue.speed.take_report(view)
        entry.report = view
        entry.candidate.take_report(view)
        self._refresh(entry)
        queue.pool.forget_live()

    def remove(self, endpoint: EndpointId) -> None:
        """Forget an endpoint; what was sent there is told by `lost`."""
        entry = self.entries.pop(endpoint, None)
        if entry is None:
            return
        entry.queue.pool.forget(endpoint)
        self.health.forget(endpoint)

    def refresh_weights(self, now: float) -> None:
        """Let the weights follow the health of the endpoints, if it is time."""
        if now - self._weighed_at < WEIGHT_SECONDS:
            return
        self._weighed_at = now
        targets = self.health.weights(self.entries, now)
        weights = self.pace.update(targets, now)
        for name, entry in self.entries.items():
            entry.candidate.weight = weights.get(name, 1)
            self._refresh(entry)
            entry.queue.pool.forget_live()

    def note_sent(self, sent: Sent) -> None:
        """Note that a request is offered to an endpoint or a group."""
        charged = self._of(sent)
        sent.holders = tuple(entry.candidate for entry in charged)
        for entry in charged:
            band = sent.waiting.request.band
            ahead = entry.candidate.tokens_ahead(band)
            sent.tokens_ahead = ahead + sent.new_tokens
            entry.candidate.add(
                sent.waiting.request,
                sent.lease_tokens,
                sent.new_tokens,
            )
            self._refresh(entry)

    def note_accepted(self, sent: Sent, now: float) -> None:
        """Note that the endpoint has taken the request."""
        expected = WINDOW_SECONDS
        entry = self.entries.get(sent.endpoint)
        if entry is not None:
            expected += sent.new_tokens / entry.candidate.rate
        self._observe(
            sent,
            Observation(
                kind=ObservationKind.ACCEPTED,
                expected_seconds=expected,
            ),
            now,
        )

    def note_declined(self, sent: Sent, refusal: Refusal) -> None:
        """Believe an endpoint that says it is full or closing."""
        for entry in self._of(sent):
            view = entry.candidate.view
            if refusal.reason in _CLOSING:
                view.phase = EndpointPhase.DRAINING
                entry.queue.pool.forget_live()
            elif refusal.reason in _FULL and view.capacity_tokens:
                view.free_tokens = 0
            self._refresh(entry)

    def note_failed(self, sent: Sent, now: float) -> None:
        """Note that an endpoint has failed a request."""
        self._observe(sent, Observation(kind=ObservationKind.FAILED), now)

    def note_first_token(self, sent: Sent, now: float) -> None:
        """Note that a prompt has been computed."""
        for holder in self._charged(sent):
            holder.candidate.clear_pending(
                sent.waiting.request,
                sent.new_tokens,
            )
            self._refresh(holder)
        seconds = now - sent.sent_at
        entry = self.entries.get(sent.endpoint)
        if entry is None:
            return
        if not sent.members:
            entry.candidate.note_first_token(seconds, sent.tokens_ahead)
        expected = WINDOW_SECONDS + sent.new_tokens / entry.candidate.rate
        self._observe(
            sent,
            Observation(
                kind=ObservationKind.ANSWERED,
                latency_ratio=seconds / expected,
            ),
            now,
        )

    def note_gone(self, sent: Sent) -> None:
        """Note that a request is no longer at its endpoints."""
        request = sent.waiting.request
        for entry in self._charged(sent):
            if sent.first_token_at is None:
                entry.candidate.clear_pending(request, sent.new_tokens)
            entry.candidate.drop(request, sent.lease_tokens)
            self._refresh(entry)

    def note_finished(self, sent: Sent, outcome: Outcome, now: float) -> None:
        """Learn from the end of an answer."""
        entry = self.entries.get(sent.endpoint)
        if sent.first_token_at is None or outcome == Outcome.FAILED:
            failed = outcome == Outcome.FAILED
            kind = (
                ObservationKind.FAILED if failed else ObservationKind.ABANDONED
            )
            self._observe(sent, Observation(kind=kind), now)
            return
        if entry is None or outcome != Outcome.COMPLETE:
            return
        view = entry.candidate.view
        seconds = now - sent.first_token_at
        if view.kind == EndpointKind.PLAIN:
            entry.queue.speed.take_call(now - sent.sent_at)
        elif view.step_seconds > 0:
            tokens = 1 + seconds / view.step_seconds
            entry.queue.speed.take_output(sent.waiting.request, tokens)

    def _charged(self, sent: Sent) -> Iterable[_Entry]:
        """Return the endpoints that were charged and are still the same.

        What goes wrong otherwise: an endpoint falls silent, comes back, and
        what was sent before is taken off the new one; its counts go below
        zero, and it looks emptier than it is for as long as it lives.
        """
        return [
            entry
            for entry in self._of(sent)
            if any(entry.candidate is holder for holder in sent.holders)
        ]

    def _of(self, sent: Sent) -> Iterable[_Entry]:
        found = (self.entries.get(name) for name in sent.endpoints)
        return [entry for entry in found if entry is not None]

    def _observe(self, sent: Sent, seen: Observation, now: float) -> None:
        if sent.endpoint in self.entries:
            self.health.observe(sent.endpoint, seen, now)

    def _refresh(self, entry: _Entry) -> None:
        entry.queue.pool.refresh(entry.candidate)
        entry.queue.pool.version += 1
