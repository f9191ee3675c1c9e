"""Exchange of the slowdowns of engines with peers."""

import msgspec
from sycamore_core.decisions.pace import EngineSlowdowns
from sycamore_core.ids import PeerId
from sycamore_core.messages import CellSummary, LoadUpdate
from sycamore_core.telemetry import Log

from .peer_report import PeerReport


class PaceReports(PeerReport):
    """Tells peers which engines this entry measures as slow.

    Reports of different entries need no order: the largest fresh measurement
    is used, and each carries its age.
    """

    def __init__(self, slowdowns: EngineSlowdowns) -> None:
        self.slowdowns = slowdowns
        self.log = Log('mesh')

    def add_to_update(self, update: LoadUpdate, now: float) -> LoadUpdate:
        """Return a full update with the engines that are slow."""
        if not update.is_full:
            return update
        self.slowdowns.expire(now)
        paces = self.slowdowns.reports(now)
        if not paces:
            return update
        return msgspec.structs.replace(update, paces=paces)

    def add_to_summary(
        self,
        summary: CellSummary,
        receiver: PeerId,
        now: float,
    ) -> CellSummary:
        """Return a summary with the engines that are slow."""
        paces = self.slowdowns.reports(now)
        if not paces:
            return summary
        return msgspec.structs.replace(summary, paces=paces)

    def apply(
        self,
        source: PeerId,
        message: LoadUpdate | CellSummary,
        now: float,
    ) -> None:
        """Apply the measurements of a peer."""
        added = self.slowdowns.apply_reports(source, message.paces, now)
        for lifetime in added:
            self.log.info(
                'engine_slow_by_peer',
                endpoint=lifetime.endpoint,
                slowdown=round(self.slowdowns.slowdown(lifetime, now), 2),
                source=source,
            )

    def remove_peer(self, peer: PeerId) -> None:
        """Do nothing; measurements expire by themselves."""

    def pop_urgent(self) -> bool:
        """Return whether an engine has become slow, and reset this."""
        has_unreported = self.slowdowns.has_unreported
        self.slowdowns.has_unreported = False
        return has_unreported
