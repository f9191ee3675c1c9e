"""The scheduler that the entry process runs.

The scheduler combines the other modules:

- `admission` admits or refuses a request,
- `fair_share` selects the workspace that is served next,
- `ordering` and `service_queue` order the requests,
- `placement` selects the endpoint,
- `tracked` decides whether an endpoint gets more requests now,
- `retries` decides what follows a failed attempt,
- `health` and `weight_ramp` reduce the load of endpoints.

Load pattern: the load patterns of all these modules at the same time. Without
one place that calls the modules in a fixed order, a module would undo the
decision of another module.
"""

from collections.abc import Sequence
from typing import Self

import msgspec

from ..ids import EndpointId, RequestId, ZoneId
from ..settings import FleetSettings
from ..states import Outcome, RefusalReason, RetryReason
from .admission import decide_admission
from .backlog import Backlog
from .dispatching import Decision, Dispatcher
from .endpoint_book import EndpointRegistry
from .flow import WaitingRequest
from .ordering import long_work_share
from .pinned import pinned_refusal
from .placement import PrefixPlacement
from .requests import RequestView
from .retries import FailedAttempt, RetryBudget
from .scheduler import (
    Draw,
    Queued,
    Refusal,
    Requeued,
    Scheduler,
    SchedulerSnapshot,
)
from .views import EndpointView

#: Interval of `dispatch` while requests wait, in seconds: about a twentieth of
#: the shortest target in use, which is 0.49 s.
WAKE_SECONDS = 0.025
#: Interval of `dispatch` while no requests wait, in seconds.
IDLE_SECONDS = 1.0
#: Retry delay if no endpoint accepts requests, in seconds: the heartbeat
#: interval, before which no new endpoint can be known.
NO_ENDPOINT_SECONDS = 1.0
#: Zone of an entry without a configured zone; all endpoints count as local.
NO_ZONE = ZoneId('')


class FairScheduler(Scheduler):
    """Serves workspaces by their shares and requests by their targets.

    Parameters
    ----------
    settings
        The settings tree in force.
    draw
        Returns random numbers from 0 to 1.
    placement
        Chooses among the endpoints.
    """

    def __init__(
        self,
        settings: FleetSettings,
        draw: Draw,
        placement: PrefixPlacement,
    ) -> None:
        self.settings = settings
        self.draw = draw
        self.backlog = Backlog(settings)
        self.endpoints = EndpointRegistry()
        self.dispatcher = Dispatcher(
            self.backlog,
            self.endpoints,
            placement,
            draw,
        )
        self.retries = RetryBudget()

    @classmethod
    def from_settings(
        cls,
        settings: FleetSettings,
        draw: Draw,
        zone: ZoneId = NO_ZONE,
    ) -> Self:
        """Build the scheduler of an entry in `zone`."""
        placement = PrefixPlacement.from_settings(
            _with_effective_share(settings),
            zone,
        )
        return cls(settings, draw, placement)

    def update_settings(self, settings: FleetSettings, now: float) -> None:
        """Apply a newer settings tree; waiting requests keep their places."""
        self.settings = settings
        self.backlog.update_settings(settings)
        self.dispatcher.placement.update_settings(
            _with_effective_share(settings),
        )
        for name in self.endpoints.unlisted(settings.endpoints):
            self.endpoints.remove(name)

    def update_endpoint(self, view: EndpointView, now: float) -> None:
        """Apply a report of an endpoint."""
        queue = self.backlog.service_queue(view.service)
        self.endpoints.apply_report(queue, view)
        self.dispatcher.placement.record_cached_blocks(view, now)

    def remove_endpoint(self, endpoint: EndpointId, now: float) -> None:
        """Remove an endpoint that is silent or gone."""
        self.endpoints.remove(endpoint)

    def submit(self, request: RequestView, now: float) -> Queued | Refusal:
        """Admit a request to the queue, or refuse it at once."""
        queue = self.backlog.service_queue(request.service)
        if not queue.pool.total_weight():
            return Refusal(
                request.request_id,
                RefusalReason.NO_ENDPOINT,
                NO_ENDPOINT_SECONDS,
                f'no endpoint of {request.service} takes work',
            )
        refusal = pinned_refusal(request, queue.pool)
        if refusal is not None:
            return refusal
        waiting = queue.build_waiting(request)
        estimate = queue.estimate(waiting, now)
        admission = decide_admission(request, estimate, now, self.draw)
        if admission.reason is not None:
            queue.record_refused(request, now)
            return Refusal(
                request.request_id,
                admission.reason,
                admission.retry_after,
                admission.detail,
            )
        self.retries.record_first_attempt(now)
        self.backlog.enqueue(waiting)
        return Queued(estimate.until_first_token)

    def dispatch(self, now: float) -> Sequence[Decision]:
        """Choose requests to send now, and refuse expired and late requests.

        A request is expired when its time limit has passed, and late when it
        can no longer meet its target.
        """
        decisions: list[Decision] = [
            _expired(waiting, now) for waiting in self.backlog.pop_expired(now)
        ]
        for waiting in self.backlog.pop_late(now):
            refusal = self.dispatcher.refuse_late(waiting, now)
            decisions.extend([] if refusal is None else [refusal])
        self.backlog.requeue_due(now)
        self.endpoints.refresh_weights(now)
        for queue in self.backlog.services.values():
            if queue.waiting:
                decisions.extend(self.dispatcher.drain(queue, now))
            queue.observe(now)
        return decisions

    def accepted(
        self,
        request_id: RequestId,
        endpoint: EndpointId,
        now: float,
    ) -> None:
        """Record that an endpoint runs the request."""
        sent = self.dispatcher.sent.get(request_id)
        if sent is not None:
            self.endpoints.record_accepted(sent, now)

    def declined(self, refusal: Refusal, now: float) -> Requeued | Refusal:
        """Queue a request again after an endpoint declined it, or refuse it."""
        sent = self.dispatcher.pop_sent(refusal.request_id)
        if sent is None:
            return _unknown_request(refusal.request_id)
        self.endpoints.record_declined(sent, refusal)
        return self._retry(sent.waiting, RetryReason.DECLINED, now)

    def lost(
        self,
        request_id: RequestId,
        reason: RetryReason,
        now: float,
    ) -> Requeued | Refusal:
        """Queue a request again after a failed attempt, or refuse it."""
        sent = self.dispatcher.pop_sent(request_id)
        if sent is None:
            return _unknown_request(request_id)
        self.endpoints.record_failed(sent, now)
        return self._retry(sent.waiting, reason, now)

    def first_token(self, request_id: RequestId, now: float) -> None:
        """Record that the first token has arrived and the prefill ended."""
        sent = self.dispatcher.sent.get(request_id)
        if sent is None or sent.first_token_at is not None:
            return
        sent.first_token_at = now
        self.retries.record_answer(now)
        self.endpoints.record_first_token(sent, now)

    def finished(
        self,
        request_id: RequestId,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Remove the request and update the estimates from its answer."""
        self.backlog.remove(request_id)
        sent = self.dispatcher.pop_sent(request_id)
        if sent is not None:
            self.endpoints.record_finished(sent, outcome, now)

    def next_wake(self, now: float) -> float:
        """Return when `dispatch` is due next."""
        if self.backlog.waiting:
            return now + WAKE_SECONDS
        return now + IDLE_SECONDS

    def snapshot(self, now: float) -> SchedulerSnapshot:
        """Return the state of workspaces, queues and endpoints."""
        return SchedulerSnapshot(
            waiting=len(self.backlog.waiting),
            running=len(self.dispatcher.sent),
            workspaces=self.backlog.usage.snapshot(
                self.settings.workspaces,
                now,
            ),
            endpoints=self.endpoints.views(),
        )

    def _retry(
        self,
        waiting: WaitingRequest,
        reason: RetryReason,
        now: float,
    ) -> Requeued | Refusal:
        request = waiting.request
        decision = self.retries.decide(
            FailedAttempt(
                request=request,
                reason=reason,
                attempt=waiting.attempt,
            ),
            now,
            self.draw,
        )
        verdict = decision.verdict.value
        if decision.refusal is not None:
            return Refusal(
                request.request_id,
                decision.refusal,
                decision.retry_after,
                f'attempt {waiting.attempt}: {verdict}',
            )
        waiting.attempt += 1
        self.backlog.enqueue_delayed(waiting, decision.not_before)
        return Requeued(request.request_id, reason, decision.not_before)


def _with_effective_share(settings: FleetSettings) -> FleetSettings:
    """Return the settings with the share of long work that is in effect.

    See `ordering.long_work_share`.
    """
    policy = msgspec.structs.replace(
        settings.policy,
        long_work_share=long_work_share(settings.policy),
    )
    return msgspec.structs.replace(settings, policy=policy)


def _expired(waiting: WaitingRequest, now: float) -> Refusal:
    request = waiting.request
    waited = now - request.arrival
    return Refusal(
        request.request_id,
        RefusalReason.DEADLINE_PASSED,
        0,
        f'waited {waited:.2f} s, its whole time limit',
    )


def _unknown_request(request_id: RequestId) -> Refusal:
    return Refusal(
        request_id,
        RefusalReason.UNKNOWN_REQUEST,
        0,
        'this entry has not sent it or has given it up',
    )
