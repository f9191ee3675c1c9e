"""The view of the fleet by one entry process, for operators."""

import msgspec
from sycamore_core.decisions import SchedulerSnapshot
from sycamore_core.ids import EndpointId, Incarnation
from sycamore_core.messages import LoadReport

from .exchanges import EntryContext


class LinkOverview(msgspec.Struct, frozen=True):
    """The link to one endpoint; a silent endpoint has no report.

    Attributes
    ----------
    report_age
        Time since the latest report, in seconds.
    """

    endpoint: EndpointId
    address: str
    incarnation: Incarnation
    report_age: float
    report: LoadReport | None


class Overview(msgspec.Struct, frozen=True):
    """The complete view."""

    settings_version: int
    exchanges: int
    stray_events: int
    scheduler: SchedulerSnapshot
    links: tuple[LinkOverview, ...]


def make_overview(context: EntryContext) -> Overview:
    """Return the current view."""
    now = context.now()
    links = context.links.links.values()
    return Overview(
        settings_version=context.links.claim().rank.version,
        exchanges=len(context.registry),
        stray_events=context.registry.stray_events,
        scheduler=context.scheduler.snapshot(now),
        links=tuple(
            LinkOverview(
                endpoint=link.endpoint,
                address=link.address,
                incarnation=link.incarnation,
                report_age=now - link.reported_at,
                report=link.report,
            )
            for link in links
        ),
    )
