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
    """One endpoint of the settings and its last report.

    Attributes
    ----------
    report
        None while the endpoint is silent.
    wanted_until
        Monotonic time until which a link beyond the subset is kept, in
        seconds.
    heard
        Set by each report.
    """

    endpoint: EndpointId
    address: str
    peer: Peer
    incarnation: Incarnation = Incarnation(0)
    report: LoadReport | None = None
    reported_at: float = 0
    wanted_until: float = 0
    heard: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def is_heard(self) -> bool:
        """Whether the endpoint has reported and was not found silent since."""
        return self.report is not None

    def post(self, message: Message, *, urgent: bool = True) -> bool:
        """Queue a message for the endpoint process."""
        return self.peer.post(message, urgent=urgent)

    def take(self, report: LoadReport, now: float) -> None:
        """Keep a report."""
        self.incarnation = report.incarnation
        self.report = report
        self.reported_at = now
        self.heard.set()

    def fall_silent(self) -> None:
        """Note that the endpoint has not reported for too long."""
        self.report = None
        self.heard.clear()

    def is_older(self, report: LoadReport) -> bool:
        """Whether a report is of a process that was replaced.

        A process that was paused and replaced may wake up. A replacement on
        an instance whose clock is behind has a lower number as well; it is
        taken once the one before it has fallen silent.
        """
        return self.is_heard and report.incarnation < self.incarnation

    def shows_restart(self, report: LoadReport) -> bool:
        """Whether a report is of another process than those before."""
        return self.incarnation not in {0, report.incarnation}


def view_of(report: LoadReport, reported_at: float) -> EndpointView:
    """Return a report as the decisions see it."""
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
