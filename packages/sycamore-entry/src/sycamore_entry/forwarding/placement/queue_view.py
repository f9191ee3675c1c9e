"""The requests that wait in queues, as admission control counts them."""

from collections.abc import Iterable

import msgspec
from sycamore_core.ids import ServiceId
from sycamore_core.routing import WaitingReport

from .overload_state import WaitingView
from .slot_waits import SlotWaits


class QueueView(WaitingView):
    """Requests that wait in the queues of this entry and its peers."""

    def __init__(self, slot_waits: SlotWaits) -> None:
        self.slot_waits = slot_waits

    def reports(self, service: ServiceId) -> Iterable[WaitingReport]:
        """Return the waiting requests of a service, by entry and rank.

        The own queue counts one request less for each rank: the request for
        which a forecast is made is one of them, and the others of its rank
        are before it at most.
        """
        now = self.slot_waits.dispatcher.clock.monotonic()
        yield from self.slot_waits.claims.reports(service, now)
        queued = self.slot_waits.queued.get(service)
        if queued is not None:
            for report in queued.queue.reports(service, now):
                yield msgspec.structs.replace(report, count=report.count - 1)
