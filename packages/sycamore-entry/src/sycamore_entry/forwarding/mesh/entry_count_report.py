"""Exchange of the number of entries with peers."""

import msgspec
from sycamore_core.ids import PeerId
from sycamore_core.messages import CellSummary, LoadUpdate

from .entry_count import EntryCount
from .peer_report import PeerReport


class EntryCountReport(PeerReport):
    """Tells peers how many entries this entry knows.

    An entry that starts while the network is partitioned does not find the
    entries on the other side. Without this, it would divide the limits of the
    fleet by the entries on its own side.
    """

    def __init__(self, entry_count: EntryCount) -> None:
        self.entry_count = entry_count

    def add_to_update(self, update: LoadUpdate, now: float) -> LoadUpdate:
        """Return a full update with the number."""
        if not update.is_full:
            return update
        known = self.entry_count.known
        return msgspec.structs.replace(update, known_entries=known)

    def add_to_summary(
        self,
        summary: CellSummary,
        receiver: PeerId,
        now: float,
    ) -> CellSummary:
        """Return a summary with the number."""
        known = self.entry_count.known
        return msgspec.structs.replace(summary, known_entries=known)

    def apply(
        self,
        source: PeerId,
        message: LoadUpdate | CellSummary,
        now: float,
    ) -> None:
        """Apply the number that a peer knows."""
        self.entry_count.apply_report(message.known_entries)

    def remove_peer(self, peer: PeerId) -> None:
        """Do nothing; a lost entry may still be active."""
