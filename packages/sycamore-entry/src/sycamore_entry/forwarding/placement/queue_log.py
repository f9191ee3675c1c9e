"""Logs and counts what happens to waiting requests."""

import enum

from sycamore_core.clock import Clock
from sycamore_core.decisions.waiting import (
    StartForecast,
    WaitingQueue,
    WaitingRequest,
)
from sycamore_core.ids import ServiceId
from sycamore_core.routing import Rank
from sycamore_core.telemetry import Log

from ..metrics import ForwardingMetrics

_MS = 1000.0


class DequeueReason(enum.StrEnum):
    """Why a request has left the queue."""

    PLACED = 'placed'
    #: It can no longer be served within its time limit.
    TOO_LATE = 'too_late'
    #: The queue is full, and a more urgent request has arrived.
    DISPLACED = 'displaced'
    #: It lacks more than a free slot.
    REFUSED = 'refused'
    #: A defect in the entry.
    FAILED = 'failed'
    STOPPING = 'stopping'
    CALLER_LEFT = 'caller_left'


class QueueLog:
    """Logs the requests that enter and leave the queue of a service."""

    def __init__(
        self,
        service: ServiceId,
        metrics: ForwardingMetrics,
        log: Log,
        clock: Clock,
    ) -> None:
        self.service = service
        self.metrics = metrics
        self.log = log
        self.clock = clock

    def log_queued(
        self,
        waiting: WaitingRequest,
        forecast: StartForecast,
        queue: WaitingQueue,
    ) -> None:
        """Log that a request waits, and the figures behind it."""
        may_wait = waiting.latest_start - waiting.queued_at
        self.log.info(
            'request_queued',
            request_id=waiting.request_id,
            service=self.service,
            rank=_rank_name(waiting.rank),
            position=queue.order.position(waiting),
            first_event_ms=round(forecast.first_event_seconds * _MS, 1),
            total_ms=round(forecast.total_seconds * _MS, 1),
            may_wait_ms=round(may_wait * _MS, 1),
            is_late=waiting.queued_at > waiting.objective_start,
            waiting={
                _rank_name(rank): count
                for rank, count in queue.counts().items()
            },
        )

    def log_dequeued(
        self,
        waiting: WaitingRequest,
        reason: DequeueReason,
    ) -> None:
        """Log and count that a request has left the queue."""
        waited = self.clock.monotonic() - waiting.queued_at
        self.metrics.dequeued.add(reason)
        self.log.info(
            'request_dequeued',
            request_id=waiting.request_id,
            service=self.service,
            rank=_rank_name(waiting.rank),
            waited_ms=round(waited * _MS, 1),
            reason=reason,
        )

    def log_yield(self, waiting: WaitingRequest, claims: int) -> None:
        """Log that a slot is left to peers."""
        waited = self.clock.monotonic() - waiting.queued_at
        self.log.info(
            'slot_left_to_peer',
            service=self.service,
            request_id=waiting.request_id,
            rank=_rank_name(waiting.rank),
            waited_ms=round(waited * _MS, 1),
            waiting_at_peers=claims,
        )


def _rank_name(rank: Rank) -> str:
    return f'{rank.workspace}.{rank.route}'
