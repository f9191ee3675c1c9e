"""Exchanges the ends of lifetimes with peers."""

from collections.abc import Callable

import msgspec
from sycamore_core.ids import PeerId
from sycamore_core.messages import CellSummary, LoadUpdate

from ..fleet.ended import EndedEndpoints
from .peer_report import PeerReport


class EndedReport(PeerReport):
    """Reports ended lifetimes, and applies what peers report of endpoints.

    Parameters
    ----------
    is_isolated
        Returns whether this entry is separated from the fleet.
    """

    def __init__(
        self,
        ended: EndedEndpoints,
        is_isolated: Callable[[], bool],
    ) -> None:
        self.ended = ended
        self.is_isolated = is_isolated

    def add_to_update(self, update: LoadUpdate, now: float) -> LoadUpdate:
        """Return an update with the recent ends, if it is a full one."""
        if not update.is_full:
            return update
        ended = self.ended.to_report(now, is_isolated=self.is_isolated())
        return msgspec.structs.replace(update, ended=ended)

    def add_to_summary(
        self,
        summary: CellSummary,
        receiver: PeerId,
        now: float,
    ) -> CellSummary:
        """Return a summary with the recent ends."""
        ended = self.ended.to_report(now, is_isolated=self.is_isolated())
        return msgspec.structs.replace(summary, ended=ended)

    def apply(
        self,
        source: PeerId,
        message: LoadUpdate | CellSummary,
        now: float,
    ) -> None:
        """Apply the ends and the failing endpoints in a message."""
        if isinstance(message, LoadUpdate):
            self.ended.peer_failures.record(source, message.failing, now)
        self.ended.apply_peer_report(message.ended, source)

    def remove_peer(self, peer: PeerId) -> None:
        """Drop the failing endpoints of a peer that is lost."""
        self.ended.peer_failures.remove_peer(peer)

    def pop_urgent(self) -> bool:
        """Return whether there are new ends."""
        return self.ended.pop_news()
