"""The order in which the waiting requests of one entry are placed."""

import bisect
import math
from collections.abc import Callable, Collection, Iterator

from ...ids import WorkspaceId
from ...routing import Rank
from .requests import OrderKey, WaitingRequest


class RequestOrder:
    """Waiting requests, sorted by `WaitingRequest.key`.

    Iteration is in the order of arrival.
    """

    def __init__(self) -> None:
        # In the order of arrival, with the keys under which they are sorted.
        self._keys: dict[WaitingRequest, OrderKey] = {}
        self._sorted: list[tuple[OrderKey, WaitingRequest]] = []

    def __len__(self) -> int:
        return len(self._sorted)

    def __contains__(self, request: object) -> bool:
        return request in self._keys

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(tuple(self._keys))

    def insert(self, request: WaitingRequest) -> None:
        """Add a request, or sort it again under its present key."""
        key = request.key
        self._keys[request] = key
        bisect.insort(self._sorted, (key, request))

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request; return whether it was contained."""
        key = self._keys.pop(request, None)
        if key is None:
            return False
        self._sorted.pop(bisect.bisect_left(self._sorted, (key,)))
        return True

    def position(self, request: WaitingRequest) -> int:
        """Return the number of requests before one."""
        return bisect.bisect_left(self._sorted, (self._keys[request],))

    def first(self, now: float) -> WaitingRequest | None:
        """Return the most urgent request."""
        while self._sorted:
            _, request = self._sorted[0]
            if request.is_late or now <= request.objective_start:
                return request
            # It moves behind those that can meet their objective.
            self._sorted.pop(0)
            request.is_late = True
            self.insert(request)
        return None

    def last(self) -> WaitingRequest | None:
        """Return the least urgent request."""
        return self._sorted[-1][1] if self._sorted else None

    def first_of_rank(self, rank: Rank) -> WaitingRequest | None:
        """Return the first request of a rank, by the last known lateness."""
        place = bisect.bisect_left(self._sorted, (_first_key(rank),))
        if place == len(self._sorted):
            return None
        _, request = self._sorted[place]
        return request if request.rank == rank else None

    def first_fitting(
        self,
        failed: Collection[WaitingRequest],
    ) -> WaitingRequest | None:
        """Return the first request that may fit though others did not."""
        # Most requests are sorted out by this number alone.
        tokens = min(
            (other.tokens for other in failed if not other.excluded),
            default=math.inf,
        )
        fitting = (
            request
            for _, request in self._sorted
            if request.tokens < tokens and request.may_fit(failed)
        )
        return next(fitting, None)

    def refresh(
        self,
        position_of: Callable[[WorkspaceId | None], float],
        now: float,
    ) -> None:
        """Update the shares of the workspaces and the lateness of all."""
        workspaces = {request.workspace for request in self._keys}
        positions = {name: position_of(name) for name in workspaces}
        has_changed = False
        for waiting in self._keys:
            position = positions[waiting.workspace]
            is_late = now > waiting.objective_start
            if waiting.position != position or waiting.is_late != is_late:
                waiting.position = position
                waiting.is_late = is_late
                self._keys[waiting] = waiting.key
                has_changed = True
        if has_changed:
            self._sorted = sorted(
                (key, request) for request, key in self._keys.items()
            )


def _first_key(rank: Rank) -> OrderKey:
    """Return a key before those of all requests of a rank."""
    return OrderKey(
        rank=rank,
        is_late=False,
        is_over_share=False,
        objective_start=-math.inf,
        position=0,
        queued_at=0,
        number=0,
    )
