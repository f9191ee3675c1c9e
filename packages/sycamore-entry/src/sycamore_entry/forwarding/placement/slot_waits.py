"""How the requests of each service wait for a slot."""

from sycamore_core.decisions.waiting import PeerClaims, SlotYield
from sycamore_core.ids import EndpointId, ServiceId
from sycamore_core.routing import ServiceRecord
from sycamore_core.telemetry import Log

from ..metrics import ForwardingMetrics
from .dispatcher import DirectDispatcher
from .free_slots import FreeSlots
from .queue_log import QueueLog
from .queued_wait import QueuedSlotWait
from .slot_wait import (
    ImmediateSlotWait,
    PolledSlotWait,
    ResumptionSlotWait,
    SlotWait,
)
from .wait_policy import WaitPolicy
from .waiting_report import WaitingPeerReport


class SlotWaits:
    """The waits of one entry, by service.

    Attributes
    ----------
    queued
        Queues of the ranked services that had requests.
    claims
        Requests that wait at peers.
    resumption
        How streams that have begun wait for an endpoint that resumes them.
    immediate
        How streams are placed that can go on where they are.
    policy
        Decides how long and in which order requests wait.
    report
        What peers are told about waiting requests.
    """

    def __init__(
        self,
        dispatcher: DirectDispatcher,
        metrics: ForwardingMetrics,
        log: Log,
    ) -> None:
        self.dispatcher = dispatcher
        self.metrics = metrics
        self.log = log
        self.polled = PolledSlotWait(dispatcher.clock)
        self.resumption = ResumptionSlotWait(dispatcher.clock)
        self.immediate = ImmediateSlotWait()
        self.queued: dict[ServiceId, QueuedSlotWait] = {}
        self.claims = PeerClaims()
        self.policy = WaitPolicy()
        self.report = WaitingPeerReport(dispatcher, self.queued, self.claims)
        dispatcher.loads.observers.callbacks.append(self._handle_change)
        dispatcher.loads.observers.is_needed = self._has_queues
        dispatcher.keeper.directory.observers.append(self._handle_change)
        dispatcher.keeper.evacuation.observers.append(self._handle_zones)
        metrics.count_waiting = self.count_waiting

    def for_service(self, service: ServiceRecord) -> SlotWait:
        """Return how requests of a service wait for a slot."""
        table = self.dispatcher.keeper.table
        if table is None or not table.is_ranked(service.service):
            return self.polled
        queued = self.queued.get(service.service)
        if queued is None:
            queued = self._make_queue(service)
            self.queued[service.service] = queued
        queued.slots.service = service
        return queued

    def refuse_waiting(self) -> int:
        """Refuse all requests that wait in queues; return their number.

        The process stops. A request that is cancelled instead would leave its
        caller in doubt whether it has run.
        """
        return sum(queued.refuse_all() for queued in self.queued.values())

    def count_waiting(self) -> int:
        """Return the number of requests that wait in queues."""
        return sum(len(queued.queue) for queued in self.queued.values())

    def _make_queue(self, service: ServiceRecord) -> QueuedSlotWait:
        return QueuedSlotWait(
            FreeSlots(service, self.dispatcher),
            SlotYield(service.service, self.claims),
            self.policy,
            QueueLog(
                service.service,
                self.metrics,
                self.log,
                self.dispatcher.clock,
            ),
        )

    def _has_queues(self) -> bool:
        return bool(self.queued)

    def _handle_zones(self) -> None:
        """Wake all queues: a zone was evacuated or restored."""
        for queued in self.queued.values():
            queued.slots.search_all()
            queued.tasks.refuse_without_endpoint()
            queued.schedule()

    def _handle_change(self, endpoint: EndpointId) -> None:
        """Wake the queues that an endpoint may serve.

        A removed endpoint is no longer registered under its service.
        """
        record = self.dispatcher.keeper.directory.find(endpoint)
        for service, queued in self.queued.items():
            if record is None or record.service == service:
                queued.handle_change(endpoint)
