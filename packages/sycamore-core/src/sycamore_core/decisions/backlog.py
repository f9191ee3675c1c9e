"""All requests waiting at an entry, with their deadlines and retry delays.

Load pattern: time limits that pass while a request waits, and attempts that
are repeated after a delay.

Without these timers, a request whose deadline has passed stays in its queue
until it reaches the head, and its caller receives the refusal late.
"""

import heapq

from ..ids import RequestId, ServiceId
from ..settings import FleetSettings
from .flow import WaitingRequest
from .ordering import target_time
from .service_queue import ServiceQueue
from .usage import UsageTracker

_TimedEntry = tuple[float, RequestId, WaitingRequest]


class Backlog:
    """The queues of all services and the timers of their requests."""

    def __init__(self, settings: FleetSettings) -> None:
        self.settings = settings
        self.services: dict[ServiceId, ServiceQueue] = {}
        self.waiting: dict[RequestId, WaitingRequest] = {}
        self.usage = UsageTracker()
        self._delayed: list[_TimedEntry] = []
        self._deadlines: list[_TimedEntry] = []
        self._targets: list[_TimedEntry] = []

    def service_queue(self, name: ServiceId) -> ServiceQueue:
        """Return the queue of a service."""
        queue = self.services.get(name)
        if queue is None:
            queue = ServiceQueue(self.settings.policy)
            self.services[name] = queue
        return queue

    def update_settings(self, settings: FleetSettings) -> None:
        """Apply a newer settings tree; queued requests keep their places."""
        self.settings = settings
        for queue in self.services.values():
            queue.update_policy(settings.policy)
            for lane in queue.lanes.values():
                lane.queue.drop_idle_flows(settings.workspaces)

    def enqueue(self, waiting: WaitingRequest) -> None:
        """Queue a request for the first time."""
        request = waiting.request
        entry = (request.deadline, request.request_id, waiting)
        heapq.heappush(self._deadlines, entry)
        self._track_target(waiting)
        self._record(waiting)
        self._push(waiting)

    def enqueue_delayed(
        self,
        waiting: WaitingRequest,
        not_before: float,
    ) -> None:
        """Queue a request again at `not_before`."""
        self._record(waiting)
        entry = (not_before, waiting.request.request_id, waiting)
        heapq.heappush(self._delayed, entry)

    def postpone(self, waiting: WaitingRequest, not_before: float) -> None:
        """Remove a request from its queue and add it again at `not_before`."""
        self.remove(waiting.request.request_id)
        self.enqueue_delayed(waiting, not_before)

    def remove(self, request_id: RequestId) -> WaitingRequest | None:
        """Remove and return a waiting request; None if it is not waiting."""
        waiting = self.waiting.pop(request_id, None)
        if waiting is None:
            return None
        request = waiting.request
        self.usage.usage_of(request.workspace).waiting -= 1
        self.service_queue(request.service).lane_of(request).queue.remove(
            waiting,
        )
        return waiting

    def requeue_due(self, now: float) -> None:
        """Queue the delayed requests whose delay has passed."""
        while self._delayed and self._delayed[0][0] <= now:
            waiting = heapq.heappop(self._delayed)[-1]
            if self.waiting.get(waiting.request.request_id) is waiting:
                self._push(waiting)

    def pop_expired(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests whose time limit has passed."""
        expired = self._pop_due(self._deadlines, now)
        for waiting in expired:
            self.remove(waiting.request.request_id)
        return expired

    def pop_late(self, now: float) -> list[WaitingRequest]:
        """Return the requests that have just become late, without duplicates.

        A request is late when it can no longer meet its target. It stays in
        its queue.
        """
        late = self._pop_due(self._targets, now)
        return list({id(waiting): waiting for waiting in late}.values())

    def _track_target(self, waiting: WaitingRequest) -> None:
        request = waiting.request
        promised = target_time(request)
        if promised >= request.deadline:
            return
        prefill = self.service_queue(request.service).prefill_seconds(request)
        # The request is checked twice. At the first time, the request may
        # still be able to meet its target, because the prefill estimate may
        # have decreased meanwhile. At the second time, the target has passed.
        for when in (promised - prefill, promised):
            entry = (when, request.request_id, waiting)
            heapq.heappush(self._targets, entry)

    def _pop_due(
        self,
        timed: list[_TimedEntry],
        now: float,
    ) -> list[WaitingRequest]:
        due: list[WaitingRequest] = []
        while timed and timed[0][0] <= now:
            waiting = heapq.heappop(timed)[-1]
            if self.waiting.get(waiting.request.request_id) is waiting:
                due.append(waiting)
        return due

    def _record(self, waiting: WaitingRequest) -> None:
        request = waiting.request
        self.waiting[request.request_id] = waiting
        self.usage.usage_of(request.workspace).waiting += 1

    def _push(self, waiting: WaitingRequest) -> None:
        request = waiting.request
        self.service_queue(request.service).lane_of(request).push(waiting)
