"""A request that waits for a slot."""

import math
from collections.abc import Collection

import msgspec

from ...ids import EndpointId, RequestId, WorkspaceId, ZoneId
from ...routing import Rank


class OrderKey(msgspec.Struct, frozen=True, order=True):
    """Order of a request within its queue; lower comes first.

    Attributes
    ----------
    is_over_share
        Whether the workspace is at or above its share. Its requests wait
        behind the others of the same rank. Otherwise a workspace that sends
        most of the requests would get most of the slots, as its objectives
        are the earliest.
    objective_start
        As in `WaitingRequest`; 0 for late requests.
    """

    rank: Rank
    is_late: bool
    is_over_share: bool
    objective_start: float
    position: float
    queued_at: float
    number: int


class WaitingRequest(msgspec.Struct, kw_only=True, eq=False):
    """A request that waits for a slot.

    Two requests with the same id are different: callers may reuse ids.

    Attributes
    ----------
    queued_at
        When the request began to wait, on the monotonic clock, in seconds.
    objective_start
        Latest start with which the request meets its objective, on the
        monotonic clock, in seconds.
    latest_start
        Latest start with which the request can be served within its time
        limit, on the monotonic clock, in seconds.
    tokens
        Memory that the request needs, in tokens.
    excluded
        Endpoints that the request must not use.
    zones
        Zones whose endpoints may run the request; None for all.
    position
        Usage of the workspace divided by its fair share; below 1 the
        workspace is under its share.
    is_late
        Whether the request can no longer meet its objective.
    number
        Number in the order of arrival at the queue.
    """

    request_id: RequestId
    rank: Rank
    workspace: WorkspaceId | None
    queued_at: float
    objective_start: float = math.inf
    latest_start: float = math.inf
    tokens: int = 0
    excluded: frozenset[EndpointId] = frozenset()
    zones: frozenset[ZoneId] | None = None
    position: float = 0
    is_late: bool = False
    number: int = 0

    @property
    def key(self) -> OrderKey:
        """Return the order of the request within its queue."""
        return OrderKey(
            rank=self.rank,
            is_late=self.is_late,
            is_over_share=self.position >= 1,
            objective_start=0 if self.is_late else self.objective_start,
            position=self.position,
            queued_at=self.queued_at,
            number=self.number,
        )

    def needs_as_much_as(self, other: 'WaitingRequest') -> bool:
        """Return whether the request cannot be placed if the other cannot."""
        if other.zones is not None and self.zones != other.zones:
            return False
        return self.tokens >= other.tokens and self.excluded >= other.excluded

    def may_fit(self, failed: 'Collection[WaitingRequest]') -> bool:
        """Return whether the request may fit though others did not."""
        return not any(self.needs_as_much_as(other) for other in failed)
