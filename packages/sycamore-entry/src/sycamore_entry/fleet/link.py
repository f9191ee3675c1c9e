"""The link to one endpoint process."""

import asyncio
import dataclasses

from sycamore_core.decisions import EndpointView
from sycamore_core.ids import EndpointId, Incarnation
from sycamore_core.messages import LoadReport, Message
from sycamore_core.states import EndpointPhase
from sycamore_core.transport import Peer


@dataclasses.dataclass
class EndpointLink:
    """One endpoint of the settings and its latest report.

    Attributes
    ----------
    report
        None while the endpoint is silent.
    keep_until
        Monotonic time until which a link beyond the subset is kept, in
        seconds; 0 for a link of the subset.
    report_received
        Set by each report; cleared when the endpoint falls silent.
    """

    endpoint: EndpointId
    address: str
    peer: Peer
    incarnation: Incarnation = Incarnation(0)
    report: LoadReport | None = None
    reported_at: float = 0
    keep_until: float = 0
    report_received: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )

    @property
    def is_reporting(self) -> bool:
        """Whether the endpoint has reported and is not silent."""
        return self.report is not None

    def post(self, message: Message, *, urgent: bool = True) -> bool:
        """Queue a message for the endpoint process."""
        return self.peer.post(message, urgent=urgent)

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Store the latest report."""
        self.incarnation = report.incarnation
        self.report = report
        self.reported_at = now
        self.report_received.set()

    def mark_silent(self) -> None:
        """Mark the endpoint as silent."""
        self.report = None
        self.report_received.clear()

    def is_outdated(self, report: LoadReport) -> bool:
        """Return whether a report comes from a replaced process.

        A suspended process that was replaced may resume. A replacement on an
        instance whose clock is behind also has a lower incarnation. Its
        reports are accepted once the earlier process is silent.
        """
        return self.is_reporting and report.incarnation < self.incarnation

    def shows_restart(self, report: LoadReport) -> bool:
        """Return whether a report comes from another incarnation."""
        return self.incarnation not in {0, report.incarnation}


def make_view(report: LoadReport, reported_at: float) -> EndpointView:
    """Return the view of an endpoint that the decisions use."""
    return EndpointView(
        endpoint=report.endpoint,
        service=report.service,
        zone=report.zone,
        incarnation=report.incarnation,
        phase=EndpointPhase(report.phase),
        reported_at=reported_at,
        free_tokens=report.free_tokens,
        capacity_tokens=report.capacity_tokens,
        running=report.running,
        waiting=report.waiting,
        backlog_tokens=report.backlog_tokens,
        long_tokens=report.long_tokens,
        service_rate=report.service_rate,
        step_seconds=report.step_seconds,
        cached_blocks=frozenset(report.cached_blocks),
    )
