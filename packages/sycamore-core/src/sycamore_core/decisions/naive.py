"""A naive scheduler, the baseline for measurements of other schedulers.

The scheduler sends requests first in, first out, to the endpoints in rotation,
without any limit. It refuses only requests whose time limit has passed.
"""

from collections import OrderedDict
from collections.abc import Sequence

from ..ids import EndpointId, RequestId
from ..settings import FleetSettings
from ..states import EndpointPhase, Outcome, RefusalReason, RetryReason
from .requests import RequestView
from .scheduler import (
    Dispatch,
    Queued,
    Refusal,
    Requeued,
    Scheduler,
    SchedulerSnapshot,
)
from .views import EndpointView

_RETRY_SECONDS = 0.05
_RETRY_AFTER_SECONDS = 1.0


class NaiveScheduler(Scheduler):
    """Serves requests first in, first out, to the endpoints in rotation."""

    def __init__(self) -> None:
        self.endpoints: dict[EndpointId, EndpointView] = {}
        self.waiting: OrderedDict[RequestId, RequestView] = OrderedDict()
        self.running: dict[RequestId, RequestView] = {}
        self.not_before: dict[RequestId, float] = {}
        self._rotation = 0

    def update_settings(self, settings: FleetSettings, now: float) -> None:
        """Ignore the settings: this scheduler has no policy."""

    def update_endpoint(self, view: EndpointView, now: float) -> None:
        """Apply a report of an endpoint."""
        self.endpoints[view.endpoint] = view

    def remove_endpoint(self, endpoint: EndpointId, now: float) -> None:
        """Remove an endpoint that is silent or gone."""
        self.endpoints.pop(endpoint, None)

    def submit(self, request: RequestView, now: float) -> Queued | Refusal:
        """Queue the request unless its time limit has passed."""
        if request.deadline <= now:
            return _refusal(request.request_id, RefusalReason.DEADLINE_PASSED)
        self.waiting[request.request_id] = request
        return Queued()

    def dispatch(self, now: float) -> Sequence[Dispatch | Refusal]:
        """Offer all waiting requests, in order of arrival."""
        decisions: list[Dispatch | Refusal] = []
        for request in tuple(self.waiting.values()):
            if self.not_before.get(request.request_id, now) > now:
                continue
            decision = self._decide(request, now)
            if decision is None:
                break
            self._dequeue(request, decision)
            decisions.append(decision)
        return decisions

    def accepted(
        self,
        request_id: RequestId,
        endpoint: EndpointId,
        now: float,
    ) -> None:
        """Do nothing."""

    def declined(self, refusal: Refusal, now: float) -> Requeued | Refusal:
        """Queue the request until the retry time given by the endpoint."""
        request_id = refusal.request_id
        wait = max(_RETRY_SECONDS, refusal.retry_after)
        self.not_before[request_id] = now + wait
        return self.lost(request_id, RetryReason.DECLINED, now)

    def lost(
        self,
        request_id: RequestId,
        reason: RetryReason,
        now: float,
    ) -> Requeued | Refusal:
        """Queue the request again after a short delay."""
        request = self.running.pop(request_id, None)
        if request is None:
            return _refusal(request_id, RefusalReason.DEADLINE_PASSED)
        self.waiting[request_id] = request
        soon = now + _RETRY_SECONDS
        later = self.not_before.setdefault(request_id, soon)
        return Requeued(request_id, reason, max(soon, later))

    def first_token(self, request_id: RequestId, now: float) -> None:
        """Do nothing."""

    def finished(
        self,
        request_id: RequestId,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Remove the request."""
        self.running.pop(request_id, None)
        self.waiting.pop(request_id, None)
        self.not_before.pop(request_id, None)

    def next_wake(self, now: float) -> float:
        """Return the end of the short retry interval."""
        return now + _RETRY_SECONDS

    def snapshot(self, now: float) -> SchedulerSnapshot:
        """Return the numbers of waiting and running requests."""
        return SchedulerSnapshot(
            waiting=len(self.waiting),
            running=len(self.running),
            endpoints=tuple(self.endpoints.values()),
        )

    def _decide(
        self,
        request: RequestView,
        now: float,
    ) -> Dispatch | Refusal | None:
        if request.deadline <= now:
            return _refusal(request.request_id, RefusalReason.DEADLINE_PASSED)
        names = [
            view.endpoint
            for view in self.endpoints.values()
            if view.service == request.service
            and view.phase == EndpointPhase.LIVE
            and request.pinned_to in {None, view.endpoint}
        ]
        if not names:
            return None
        self._rotation += 1
        chosen = names[self._rotation % len(names)]
        return Dispatch(request.request_id, chosen, reason='in_turn')

    def _dequeue(
        self,
        request: RequestView,
        decision: Dispatch | Refusal,
    ) -> None:
        self.waiting.pop(request.request_id)
        if isinstance(decision, Dispatch):
            self.running[request.request_id] = request


def _refusal(request_id: RequestId, reason: RefusalReason) -> Refusal:
    return Refusal(request_id, reason, _RETRY_AFTER_SECONDS)
