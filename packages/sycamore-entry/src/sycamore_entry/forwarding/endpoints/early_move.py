"""Whether a long prompt leaves endpoints that peers report as failing."""

import math

from sycamore_core.decisions.lifetimes import MIN_REPORTERS, may_move_early
from sycamore_core.routing import EndpointRecord

from ..calls import AdmittedRequest
from ..context import ForwardingContext
from ..placement.dispatcher import Placement
from ..placement.read_requests import make_read_request

_MS = 1000.0


class EarlyMove:
    """Checks the reports on the endpoints of one long prompt.

    Without this, the prompt waits for a share of its time limit, and the memory
    that its helpers reserve is of no use meanwhile.

    Attributes
    ----------
    faulty_address
        Address of the helper because of which the prompt moves; otherwise
        empty.
    """

    def __init__(
        self,
        context: ForwardingContext,
        call: AdmittedRequest,
        placement: Placement,
    ) -> None:
        self.context = context
        self.call = call
        self.placement = placement
        self.faulty_address = ''

    def is_due(self) -> bool:
        """Return whether the prompt should move now."""
        reported = self._most_reported()
        if reported is None or self._reporters(reported) < MIN_REPORTERS:
            return False
        is_due = may_move_early(
            self._reporters(reported),
            self._reported_together(),
            self._alternative_seconds(reported),
            self.call.deadline - self._now(),
        )
        if is_due and reported != self.placement.primary:
            self.faulty_address = reported.address
        return is_due

    def _most_reported(self) -> EndpointRecord | None:
        """Return the endpoint that fails for most peers.

        An endpoint that sent this entry something recently does not count.
        """
        failures = self.context.dispatcher.failures
        silent = [
            record
            for record in (self.placement.primary, *self.placement.helpers)
            if not failures.is_active(record.endpoint, self._now())
        ]
        return max(silent, key=self._reporters, default=None)

    def _reporters(self, record: EndpointRecord) -> int:
        reports = self.context.keeper.ended.peer_failures
        return reports.count(record.endpoint, self._now())

    def _reported_together(self) -> int:
        reports = self.context.keeper.ended.peer_failures
        return reports.count_reported(MIN_REPORTERS, self._now())

    def _alternative_seconds(self, reported: EndpointRecord) -> float:
        """Return the time to the first event without the endpoint."""
        costs = self.call.service.engine
        assert costs is not None
        other = self.context.dispatcher.place_model(
            self.call.service,
            costs,
            make_read_request(self.call, self._now()),
            {reported.endpoint},
            self.call.allowed_zones,
        )
        return math.inf if other is None else other.plan.expected_ms / _MS

    def _now(self) -> float:
        return self.context.clock.monotonic()
