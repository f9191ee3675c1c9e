"""The queue of one entry for the slots of one service.

Load pattern: see the package. Requests are ordered by rank, then by whether
they can meet their objective, then by whether their workspace is below its
share, then by objective or, if late, by share and arrival.
"""

import bisect
from collections.abc import Collection, Iterator

from ...ids import ServiceId
from ...routing import Rank, WaitingReport
from .order import RequestOrder
from .quota import QUOTA_SLOTS, ServedShares
from .requests import WaitingRequest

#: Waiting requests of one service at one entry. They are more than an entry of
#: the largest deployment receives while a burst lasts.
MAX_WAITING = 200
#: Longest reported time until a request is late, in seconds.
MAX_LATE_IN_SECONDS = 60.0
#: Steps per second of reported times. As a power of two, it leaves most bytes
#: of a number zero, so that reports compress well.
_STEPS_PER_S = 256


class WaitingQueue:
    """Requests that wait at one entry for a slot of one service.

    Iteration is in the order of arrival.

    Attributes
    ----------
    order
        The requests in the order in which they are placed.
    served
        Parts of the requests that were served, by rank.

    Examples
    --------
    >>> queue = WaitingQueue()
    >>> late = WaitingRequest(
    ...     request_id='r1', rank=Rank(0, 0), workspace=None, queued_at=1,
    ...     objective_start=1.1,
    ... )
    >>> new = WaitingRequest(
    ...     request_id='r2', rank=Rank(0, 0), workspace=None, queued_at=2,
    ...     objective_start=2.2,
    ... )
    >>> queue.add(late), queue.add(new)
    (None, None)
    >>> queue.next_to_place((), now=1.5).request_id
    'r2'
    """

    def __init__(self, capacity: int = MAX_WAITING) -> None:
        self.capacity = capacity
        self.order = RequestOrder()
        self.served = ServedShares()
        self._by_rank: dict[Rank, dict[WaitingRequest, None]] = {}
        self._expiries: list[tuple[float, int, WaitingRequest]] = []
        self._next_number = 0
        self._slots_since_quota = 0

    def __len__(self) -> int:
        return len(self.order)

    def __contains__(self, request: object) -> bool:
        return request in self.order

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(self.order)

    def add(self, request: WaitingRequest) -> WaitingRequest | None:
        """Add a request; return the request that has no place, if any.

        If the queue is full, the last request gives way to one of a more
        urgent rank. Otherwise the new request has no place.
        """
        displaced = None
        if len(self) >= self.capacity:
            displaced = self.order.last()
            if displaced is None or request.rank >= displaced.rank:
                return request
            self.remove(displaced)
        request.number = self._next_number
        self._next_number += 1
        self.order.insert(request)
        self._by_rank.setdefault(request.rank, {})[request] = None
        bisect.insort(
            self._expiries, (request.latest_start, request.number, request)
        )
        return displaced

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request, if it is in the queue."""
        if not self.order.remove(request):
            return
        same_rank = self._by_rank[request.rank]
        same_rank.pop(request)
        if not same_rank:
            self._by_rank.pop(request.rank)
        expiry = (request.latest_start, request.number)
        self._expiries.pop(bisect.bisect_left(self._expiries, expiry))

    def expired(self, now: float) -> list[WaitingRequest]:
        """Return the requests that cannot be served within their limit."""
        end = bisect.bisect_left(self._expiries, (now,))
        return [request for _, _, request in self._expiries[:end]]

    def next_expiry(self) -> float | None:
        """Return the first latest start of the requests; None if empty."""
        return self._expiries[0][0] if self._expiries else None

    def next_to_place(
        self,
        failed: Collection[WaitingRequest],
        now: float,
    ) -> WaitingRequest | None:
        """Return the request that is tried next at a free slot.

        Requests that need at least as much as one that could not be placed
        are passed over: a long prompt that does not fit must not block short
        requests behind it.

        Parameters
        ----------
        failed
            Requests that could not be placed at present.
        """
        first = self.order.first(now)
        if first is None:
            return None
        behind = self._quota_request(first, now)
        if behind is not None and behind.may_fit(failed):
            return behind
        return self.order.first_fitting(failed) if failed else first

    def uses_quota(self, request: WaitingRequest, now: float) -> bool:
        """Return whether a request would be placed by the quota."""
        first = self.order.first(now)
        return first is not None and request is self._quota_request(first, now)

    def record_placed(self, request: WaitingRequest, now: float) -> None:
        """Remove a request that has been placed, and count its slot."""
        first = self.order.first(now)
        self.remove(request)
        self.served.record(request.rank, now, is_served=True)
        if first is None or _is_same_class(request, first, now):
            self._slots_since_quota += 1
        else:
            self._slots_since_quota = 0

    def record_refused(self, request: WaitingRequest, now: float) -> None:
        """Remove a request that has been refused."""
        self.remove(request)
        self.served.record(request.rank, now, is_served=False)

    def reports(
        self,
        service: ServiceId,
        now: float,
    ) -> tuple[WaitingReport, ...]:
        """Return the reports to peers, one for each rank."""
        self.order.first(now)
        return tuple(
            self._report(service, rank, now) for rank in sorted(self._by_rank)
        )

    def counts(self) -> dict[Rank, int]:
        """Return the number of waiting requests, by rank."""
        return {rank: len(found) for rank, found in self._by_rank.items()}

    def _report(
        self,
        service: ServiceId,
        rank: Rank,
        now: float,
    ) -> WaitingReport:
        first = self.order.first_of_rank(rank) or self._oldest(rank)
        return WaitingReport(
            service,
            rank,
            len(self._by_rank[rank]),
            _in_steps(now - first.queued_at),
            late_in=_in_steps(
                min(MAX_LATE_IN_SECONDS, first.objective_start - now)
            ),
        )

    def _oldest(self, rank: Rank) -> WaitingRequest:
        return next(iter(self._by_rank[rank]))

    def _quota_request(
        self,
        first: WaitingRequest,
        now: float,
    ) -> WaitingRequest | None:
        """Return the request that the quota serves now, if any."""
        if self._slots_since_quota < QUOTA_SLOTS - 1:
            return None
        behind = [
            request
            for request in map(self._oldest, self._by_rank)
            if not _is_same_class(request, first, now)
            and self.served.may_pass(request.rank, first.rank, now)
        ]
        return min(behind, key=_arrival, default=None)


def _is_same_class(
    request: WaitingRequest,
    first: WaitingRequest,
    now: float,
) -> bool:
    """Return whether a request has the rank and lateness of the first one."""
    is_late = now > request.objective_start
    return request.rank == first.rank and is_late == first.is_late


def _in_steps(seconds: float) -> float:
    return round(seconds * _STEPS_PER_S) / _STEPS_PER_S


def _arrival(request: WaitingRequest) -> tuple[float, int]:
    return request.queued_at, request.number
