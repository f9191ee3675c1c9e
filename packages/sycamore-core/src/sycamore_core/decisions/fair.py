"""The scheduler that the entry process runs.

It puts the other modules together: `admission` decides who is let in,
`fair_share` whose turn it is, `ordering` and `service_queue` who goes first,
`placement` where, `tracked` whether more should go there now, `retries` what
follows a failed attempt, `health` and `pace` which endpoints are relieved.

Load pattern: all of those of these modules at once. Without one place that
runs them in this order, each would undo what another has decided.
"""

from collections.abc import Sequence
from typing import Self

import msgspec

from ..ids import EndpointId, RequestId, ZoneId
from ..settings import FleetSettings
from ..states import Outcome, RefusalReason, RetryReason
from .admission import judge
from .backlog import Backlog
from .dispatching import Decision, Dispatcher
from .endpoint_book import EndpointBook
from .flow import Waiting
from .ordering import long_work_share
from .pinned import refusal_of
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

#: When `dispatch` is due again while requests wait, in seconds: a twentieth of
#: the shortest target in use, 0.49 s.
WAKE_SECONDS = 0.025
#: When it is due again while nothing waits, in seconds.
IDLE_SECONDS = 1.0
#: When to come back if no endpoint takes work, in seconds: the interval of
#: heartbeats, before which none can be heard of.
NO_ENDPOINT_SECONDS = 1.0
#: Zone of an entry that is not told one; every endpoint counts as near.
NO_ZONE = ZoneId('')


class FairScheduler(Scheduler):
    """Serves workspaces by their shares and requests by their targets.

    Parameters
    ----------
    settings
        The tree in force.
    draw
        Returns numbers from 0 to 1.
    placement
        Chooses among endpoints.
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
        self.endpoints = EndpointBook()
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
        placement = PrefixPlacement.from_settings(_narrowed(settings), zone)
        return cls(settings, draw, placement)

    def update_settings(self, settings: FleetSettings, now: float) -> None:
        """Take a newer tree; waiting requests keep their places."""
        self.settings = settings
        self.backlog.update_settings(settings)
        self.dispatcher.placement.update_settings(_narrowed(settings))
        for name in self.endpoints.unknown(settings.endpoints):
            self.endpoints.remove(name)

    def update_endpoint(self, view: EndpointView, now: float) -> None:
        """Take a report of an endpoint."""
        queue = self.backlog.service(view.service)
        self.endpoints.take_report(queue, view)
        self.dispatcher.placement.learn(view, now)

    def remove_endpoint(self, endpoint: EndpointId, now: float) -> None:
        """Forget an endpoint that is silent or gone."""
        self.endpoints.remove(endpoint)

    def submit(self, request: RequestView, now: float) -> Queued | Refusal:
        """Let a request into the queue, or refuse it at once."""
        queue = self.backlog.service(request.service)
        if not queue.pool.live():
            return Refusal(
                request.request_id,
                RefusalReason.NO_ENDPOINT,
                NO_ENDPOINT_SECONDS,
                f'no endpoint of {request.service} takes work',
            )
        refusal = refusal_of(request, queue.pool)
        if refusal is not None:
            return refusal
        waiting = queue.rank(request)
        estimate = queue.estimate(waiting, now)
        verdict = judge(request, estimate, now, self.draw)
        if verdict.reason is not None:
            queue.note_refused(request, now)
            return Refusal(
                request.request_id,
                verdict.reason,
                verdict.retry_after,
                verdict.detail,
            )
        self.retries.first_try(now)
        self.backlog.enter(waiting)
        return Queued(estimate.until_first_token)

    def dispatch(self, now: float) -> Sequence[Decision]:
        """Send what may go now, and give up what can no longer be served."""
        decisions: list[Decision] = [
            _expired(waiting, now) for waiting in self.backlog.expire(now)
        ]
        for waiting in self.backlog.late(now):
            refusal = self.dispatcher.give_up_late(waiting, now)
            decisions.extend([] if refusal is None else [refusal])
        self.backlog.release(now)
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
        """Note that an endpoint runs the request."""
        sent = self.dispatcher.sent.get(request_id)
        if sent is not None:
            self.endpoints.note_accepted(sent, now)

    def declined(self, refusal: Refusal, now: float) -> Requeued | Refusal:
        """Try the request elsewhere, or give it up."""
        sent = self.dispatcher.recall(refusal.request_id)
        if sent is None:
            return _not_known(refusal.request_id)
        self.endpoints.note_declined(sent, refusal)
        return self._try_again(sent.waiting, RetryReason.DECLINED, now)

    def lost(
        self,
        request_id: RequestId,
        reason: RetryReason,
        now: float,
    ) -> Requeued | Refusal:
        """Try the request again, or give it up."""
        sent = self.dispatcher.recall(request_id)
        if sent is None:
            return _not_known(request_id)
        self.endpoints.note_failed(sent, now)
        return self._try_again(sent.waiting, reason, now)

    def first_token(self, request_id: RequestId, now: float) -> None:
        """Note that the prompt has been computed."""
        sent = self.dispatcher.sent.get(request_id)
        if sent is None or sent.first_token_at is not None:
            return
        sent.first_token_at = now
        self.retries.answered(now)
        self.endpoints.note_first_token(sent, now)

    def finished(
        self,
        request_id: RequestId,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Forget the request, wherever it is, and learn from its answer."""
        self.backlog.leave(request_id)
        sent = self.dispatcher.recall(request_id)
        if sent is not None:
            self.endpoints.note_finished(sent, outcome, now)

    def next_wake(self, now: float) -> float:
        """Return when the next thing is due."""
        if self.backlog.waiting:
            return now + WAKE_SECONDS
        return now + IDLE_SECONDS

    def snapshot(self, now: float) -> SchedulerSnapshot:
        """Return shares, queues and endpoints."""
        return SchedulerSnapshot(
            waiting=len(self.backlog.waiting),
            running=len(self.dispatcher.sent),
            workspaces=self.backlog.usage.snapshot(
                self.settings.workspaces,
                now,
            ),
            endpoints=self.endpoints.views(),
        )

    def _try_again(
        self,
        waiting: Waiting,
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
        self.backlog.enter_later(waiting, decision.not_before)
        return Requeued(request.request_id, reason, decision.not_before)


def _narrowed(settings: FleetSettings) -> FleetSettings:
    """Return the tree with the part of long work that is in force."""
    policy = msgspec.structs.replace(
        settings.policy,
        long_work_share=long_work_share(settings.policy),
    )
    return msgspec.structs.replace(settings, policy=policy)


def _expired(waiting: Waiting, now: float) -> Refusal:
    request = waiting.request
    waited = now - request.arrival
    return Refusal(
        request.request_id,
        RefusalReason.DEADLINE_PASSED,
        0,
        f'waited {waited:.2f} s, its whole time limit',
    )


def _not_known(request_id: RequestId) -> Refusal:
    return Refusal(
        request_id,
        RefusalReason.UNKNOWN_REQUEST,
        0,
        'this entry has not sent it or has given it up',
    )
