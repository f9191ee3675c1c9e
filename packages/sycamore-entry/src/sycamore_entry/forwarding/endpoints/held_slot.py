"""A free slot that is kept for the next attempt of a request.

Without this, streams that pause at the same moment are all given up for one
free slot. One of them takes it, and the others have no engine to go on at.
"""

from collections.abc import Set

from sycamore_core.ids import EndpointId, RequestId

from ..calls import AdmittedRequest
from ..context import ForwardingContext
from ..placement.dispatcher import Placement
from ..placement.read_requests import make_assignments, make_read_request


class HeldSlot:
    """The slot of one request, from the end of an attempt to the next one.

    It counts as load of its engines, for this entry and for its peers. Replicas
    of services without a cost model queue calls, so that nothing is held there.

    Attributes
    ----------
    placement
        The engines whose slots are held; None if there are none.
    """

    def __init__(
        self, context: ForwardingContext, call: AdmittedRequest
    ) -> None:
        self.dispatcher = context.dispatcher
        self.clock = context.clock
        self.call = call
        self.placement: Placement | None = None
        self._request_id = RequestId(f'{call.request_id} next')

    def acquire(self, excluded: Set[EndpointId]) -> bool:
        """Hold a free slot; return whether the request may be placed."""
        if self.placement is not None:
            return True
        costs = self.call.service.engine
        if costs is None:
            return True
        now = self.clock.monotonic()
        placement = self.dispatcher.place_model(
            self.call.service,
            costs,
            make_read_request(self.call, now),
            excluded,
            self.call.allowed_zones,
        )
        if placement is None:
            return False
        self.placement = placement
        assignments = make_assignments(self.call, placement.plan, now)
        self.dispatcher.begin(self._request_id, assignments)
        return True

    def release(self) -> None:
        """Give the slot back, because the request is placed now or is over."""
        placement = self.placement
        if placement is not None:
            self.placement = None
            self.dispatcher.end(self._request_id, placement)
