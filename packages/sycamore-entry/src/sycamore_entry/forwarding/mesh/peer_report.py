"""What a component of the entry tells its peers and learns from them."""

import abc

from sycamore_core.ids import PeerId
from sycamore_core.messages import CellSummary, LoadUpdate


class PeerReport(abc.ABC):
    """A part of the updates between entries.

    A component registers its report in `ForwardingContext.peer_reports`.
    Messages may be lost, late or out of order, so each report carries what is
    needed to order it.
    """

    @abc.abstractmethod
    def add_to_update(self, update: LoadUpdate, now: float) -> LoadUpdate:
        """Return an update with this part.

        Parameters
        ----------
        update
            Update to the own cell; see `LoadUpdate.is_full`.
        now
            Monotonic time, in seconds.
        """

    @abc.abstractmethod
    def add_to_summary(
        self,
        summary: CellSummary,
        receiver: PeerId,
        now: float,
    ) -> CellSummary:
        """Return a summary for an entry of another cell with this part."""

    @abc.abstractmethod
    def apply(
        self,
        source: PeerId,
        message: LoadUpdate | CellSummary,
        now: float,
    ) -> None:
        """Apply this part of a message.

        Parameters
        ----------
        source
            Entry of the own cell, or the zone of another cell.
        """

    @abc.abstractmethod
    def remove_peer(self, peer: PeerId) -> None:
        """Drop the reports of a peer that is lost."""

    def pop_urgent(self) -> bool:
        """Return whether peers must be told at once, and reset this."""
        return False
