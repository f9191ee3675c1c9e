"""All requests that wait at an entry, and when each must be given up.

Load pattern: time limits that pass while a request waits, and attempts that
are to be made again after a pause.

Without it: a request whose time is over stays in its queue until its turn, and
its caller hears of it late.
"""

import heapq

from ..ids import RequestId, ServiceId
from ..settings import FleetSettings
from .flow import Waiting
from .ordering import target_time
from .service_queue import ServiceQueue
from .usage import UsageBook

_Timed = tuple[float, RequestId, Waiting]


class Backlog:
    """The queues of all services."""

    def __init__(self, settings: FleetSettings) -> None:
        self.settings = settings
        self.services: dict[ServiceId, ServiceQueue] = {}
        self.waiting: dict[RequestId, Waiting] = {}
        self.usage = UsageBook()
        self._delayed: list[_Timed] = []
        self._limits: list[_Timed] = []
        self._promises: list[_Timed] = []

    def service(self, name: ServiceId) -> ServiceQueue:
        """Return the queue of a service."""
        queue = self.services.get(name)
        if queue is None:
            queue = ServiceQueue(self.settings.policy)
            self.services[name] = queue
        return queue

    def update_settings(self, settings: FleetSettings) -> None:
        """Take a newer tree; what waits keeps its place."""
        self.settings = settings
        for queue in self.services.values():
            queue.update_policy(settings.policy)
            for lane in queue.lanes.values():
                lane.queue.forget_idle(settings.workspaces)

    def enter(self, waiting: Waiting) -> None:
        """Queue a request for the first time."""
        request = waiting.request
        entry = (request.deadline, request.request_id, waiting)
        heapq.heappush(self._limits, entry)
        self._watch_promise(waiting)
        self._note(waiting)
        self._queue(waiting)

    def enter_later(self, waiting: Waiting, not_before: float) -> None:
        """Queue a request again, but not at once."""
        self._note(waiting)
        entry = (not_before, waiting.request.request_id, waiting)
        heapq.heappush(self._delayed, entry)

    def postpone(self, waiting: Waiting, not_before: float) -> None:
        """Take a request out of its queue and put it back later."""
        self.leave(waiting.request.request_id)
        self.enter_later(waiting, not_before)

    def leave(self, request_id: RequestId) -> Waiting | None:
        """Take a request out, wherever it waits; None if it does not."""
        waiting = self.waiting.pop(request_id, None)
        if waiting is None:
            return None
        request = waiting.request
        self.usage.of(request.workspace).waiting -= 1
        self.service(request.service).lane_of(request).queue.remove(waiting)
        return waiting

    def release(self, now: float) -> None:
        """Queue what has waited for its next attempt long enough."""
        while self._delayed and self._delayed[0][0] <= now:
            waiting = heapq.heappop(self._delayed)[-1]
            if self.waiting.get(waiting.request.request_id) is waiting:
                self._queue(waiting)

    def expire(self, now: float) -> list[Waiting]:
        """Take out and return what is past its time limit."""
        expired = self._passed(self._limits, now)
        for waiting in expired:
            self.leave(waiting.request.request_id)
        return expired

    def late(self, now: float) -> list[Waiting]:
        """Return what has just become too late for its target, each once."""
        passed = self._passed(self._promises, now)
        return list({id(waiting): waiting for waiting in passed}.values())

    def _watch_promise(self, waiting: Waiting) -> None:
        request = waiting.request
        promised = target_time(request)
        if promised >= request.deadline:
            return
        prefill = self.service(request.service).prefill_seconds(request)
        # The estimate of the prefill may fall while the request waits: at the
        # first time it could then still be served in time, so it is looked at
        # again when its target is over.
        for when in (promised - prefill, promised):
            entry = (when, request.request_id, waiting)
            heapq.heappush(self._promises, entry)

    def _passed(self, timed: list[_Timed], now: float) -> list[Waiting]:
        passed: list[Waiting] = []
        while timed and timed[0][0] <= now:
            waiting = heapq.heappop(timed)[-1]
            if self.waiting.get(waiting.request.request_id) is waiting:
                passed.append(waiting)
        return passed

    def _note(self, waiting: Waiting) -> None:
        request = waiting.request
        self.waiting[request.request_id] = waiting
        self.usage.of(request.workspace).waiting += 1

    def _queue(self, waiting: Waiting) -> None:
        request = waiting.request
        self.service(request.service).lane_of(request).push(waiting)
