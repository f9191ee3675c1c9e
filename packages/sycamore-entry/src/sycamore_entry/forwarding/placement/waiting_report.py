"""What entries tell one another about waiting requests."""

from collections.abc import Mapping

import msgspec
from sycamore_core.decisions.waiting import PeerClaims, merged
from sycamore_core.ids import PeerId, ServiceId
from sycamore_core.messages import CellSummary, LoadUpdate
from sycamore_core.routing import WaitingReport

from ..mesh.peer_report import PeerReport
from .dispatcher import DirectDispatcher
from .queued_wait import QueuedSlotWait


class WaitingPeerReport(PeerReport):
    """Reports the requests that wait at this entry, by service and rank.

    Each update has the complete state, so that a lost update does no harm.
    """

    def __init__(
        self,
        dispatcher: DirectDispatcher,
        queued: Mapping[ServiceId, QueuedSlotWait],
        claims: PeerClaims,
    ) -> None:
        self.dispatcher = dispatcher
        self.queued = queued
        self.claims = claims

    def add_to_update(self, update: LoadUpdate, now: float) -> LoadUpdate:
        """Return an update with the requests that wait at this entry."""
        own = self._own(now)
        if not own:
            return update
        return msgspec.structs.replace(update, waiting=own)

    def add_to_summary(
        self,
        summary: CellSummary,
        receiver: PeerId,
        now: float,
    ) -> CellSummary:
        """Return a summary with the requests that wait in the own cell."""
        peers = self.claims.totals(now, receiver)
        waiting = merged((*self._own(now), *peers))
        if not waiting:
            return summary
        return msgspec.structs.replace(summary, waiting=waiting)

    def apply(
        self,
        source: PeerId,
        message: LoadUpdate | CellSummary,
        now: float,
    ) -> None:
        """Replace what is known of the requests that wait at a peer.

        Updates of entries of other cells are left out: the summaries of their
        cells contain these requests.
        """
        is_own_cell = self.dispatcher.cells.owns(message.zone)
        is_summary = isinstance(message, CellSummary)
        if is_own_cell is is_summary:
            return
        self.claims.apply(
            source,
            message.waiting,
            now,
            may_take_slots=is_own_cell,
        )

    def remove_peer(self, peer: PeerId) -> None:
        """Drop the reports of a peer that is lost."""
        self.claims.remove_peer(peer)

    def _own(self, now: float) -> tuple[WaitingReport, ...]:
        return tuple(
            report
            for service, queued in self.queued.items()
            for report in queued.queue.reports(service, now)
        )
