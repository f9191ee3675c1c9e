"""The parts of the updates that an entry and its peers exchange."""

from collections.abc import Callable

from .fleet.cold import ColdReports
from .fleet.evacuation import EvacuationReports
from .fleet.keeper import FleetKeeper
from .mesh.ended_report import EndedReport
from .mesh.pace_reports import PaceReports
from .mesh.peer_report import PeerReport
from .placement.dispatcher import DirectDispatcher
from .placement.slot_waits import SlotWaits
from .shares import EntryShares, UsageReport


def make_peer_reports(
    keeper: FleetKeeper,
    dispatcher: DirectDispatcher,
    slot_waits: SlotWaits,
    shares: EntryShares,
    is_isolated: Callable[[], bool],
) -> list[PeerReport]:
    """Return the reports of all components of an entry.

    Parameters
    ----------
    is_isolated
        Returns whether the entry is cut off from its peers and the platform.
    """
    return [
        slot_waits.report,
        PaceReports(dispatcher.slowdowns),
        EvacuationReports(keeper.evacuation),
        ColdReports(
            keeper.cold,
            keeper.directory,
            dispatcher.limits.sends,
            is_enabled=lambda: dispatcher.cold.is_enabled,
            send_update_now=dispatcher.send_update_now,
        ),
        EndedReport(keeper.ended, is_isolated),
        UsageReport(shares, dispatcher),
    ]
