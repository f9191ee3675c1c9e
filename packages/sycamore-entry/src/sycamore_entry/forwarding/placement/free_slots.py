"""The slots of a service that are free, as this entry knows them."""

import itertools
import math
from collections.abc import Collection

from sycamore_core.decisions.direct import count_requests
from sycamore_core.decisions.waiting import StartForecast, forecast_start
from sycamore_core.ids import EndpointId
from sycamore_core.routing import ServiceRecord

from ..calls import AdmittedRequest
from .dispatcher import DirectDispatcher

#: Interval at which all endpoints are searched, in seconds, so that slots are
#: found whose reports were lost or have become too old.
MAX_SEARCH_SECONDS = 0.25


class FreeSlots:
    """Finds the free slots of one service.

    The search takes a small part of the time of a placement, which is tried
    only if a slot is free. Endpoints that had no free slot are not searched
    again until they change, as a service may have hundreds of them and dozens
    of changes per second.

    Attributes
    ----------
    has_accepting
        Whether any endpoint accepted requests at the last complete search.
    opens_at
        When a rate limit or a backoff ends, as of the last complete search, on
        the monotonic clock, in seconds.
    """

    def __init__(
        self,
        service: ServiceRecord,
        dispatcher: DirectDispatcher,
    ) -> None:
        self.service = service
        self.dispatcher = dispatcher
        self.has_accepting = False
        self.opens_at = -math.inf
        # Endpoints that may have free slots, in the order of their changes.
        self._may_be_free: dict[EndpointId, None] = {}
        self._searched_at = -math.inf

    @property
    def next_search_at(self) -> float:
        """Return when all endpoints are searched next.

        The load of a peer that has fallen silent expires without an event.
        """
        return self._searched_at + MAX_SEARCH_SECONDS

    def accepting(self, now: float) -> Collection[EndpointId]:
        """Return the endpoints that accept requests."""
        candidates = self.dispatcher.candidates
        return candidates.accepting(self.service, (), now).keys()

    def record_change(self, endpoint: EndpointId) -> None:
        """Record that an endpoint has less load or that its state changed."""
        self._may_be_free[endpoint] = None
        registered = self.dispatcher.keeper.directory.find(endpoint)
        if registered is None or registered.is_leaving:
            self.search_all()

    def search_all(self) -> None:
        """Search all endpoints the next time."""
        self._searched_at = -math.inf

    def find_free(self, limit: int, now: float) -> list[EndpointId]:
        """Return the endpoints with free slots, each once for each slot.

        Parameters
        ----------
        limit
            Largest number of slots that is of interest.
        """
        has_opened = -math.inf < self.opens_at <= now
        if has_opened or now >= self.next_search_at:
            self._prepare_search(now)
        free: list[EndpointId] = []
        for endpoint in tuple(self._may_be_free):
            slots = self._count_free(endpoint, now)
            if slots <= 0:
                self._may_be_free.pop(endpoint)
            free.extend(itertools.repeat(endpoint, slots))
            if len(free) >= limit:
                return free[:limit]
        return free

    def forecast(self, call: AdmittedRequest, now: float) -> StartForecast:
        """Return the shortest expected times of a request."""
        costs = self.service.engine
        if costs is None:
            return StartForecast(first_event_seconds=0, total_seconds=0)
        return forecast_start(
            costs,
            call.terms.prompt_tokens,
            call.terms.answer_tokens,
            len(self.accepting(now)),
            self.dispatcher.loads.short_requests.slot_seconds,
        )

    def send_update(self) -> None:
        """Send peers an update with the waiting requests without delay.

        Updates are sent about an endpoint; any of the own cell will do.
        """
        endpoint = self._any_own_endpoint()
        if endpoint is not None:
            self.dispatcher.send_update_now(endpoint)

    def _any_own_endpoint(self) -> EndpointId | None:
        """Return an endpoint of the own cell, if there is one."""
        directory = self.dispatcher.keeper.directory
        owned = (
            record.endpoint
            for record in directory.usable(self.service.service)
            if self.dispatcher.cells.owns(record.zone)
        )
        return next(owned, None)

    def _prepare_search(self, now: float) -> None:
        """Prepare the search of all endpoints."""
        self._searched_at = now
        self._may_be_free = dict.fromkeys(self.accepting(now))
        self.has_accepting = bool(self._may_be_free)
        candidates = self.dispatcher.candidates
        self.opens_at = -math.inf
        opening = candidates.seconds_to_opening(self.service, now)
        if opening is not None:
            self._note_opening(opening, now)

    def _note_opening(self, seconds: float, now: float) -> None:
        """Record that a rate limit or a backoff ends after some time."""
        if seconds <= 0:
            return
        known = self.opens_at if self.opens_at > now else math.inf
        self.opens_at = min(known, now + seconds)

    def _count_free(self, endpoint: EndpointId, now: float) -> int:
        record = self.dispatcher.keeper.directory.find(endpoint)
        costs = self.service.engine
        if record is None or costs is None:
            return 0
        candidates = self.dispatcher.candidates
        if not candidates.accepts(self.service, record, now):
            seconds = candidates.seconds_to_accept(self.service, record, now)
            self._note_opening(seconds, now)
            return 0
        return costs.slots - count_requests(
            self.dispatcher.loads, endpoint, now
        )
