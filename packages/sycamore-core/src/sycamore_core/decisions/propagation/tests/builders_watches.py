"""Replays of entries whose answers are all lost in one moment.

Each way to watch is a class. The cells of the replay are alike and know nothing
of each other: each must help itself.
"""

import abc

import msgspec

from ..watch_times import CellPlace, watch_seconds

#: Time within which a change must be in force, in seconds.
CHANGE_SECONDS = 2.0
#: Time after the loss after which entries are in contact again, in seconds.
CONTACT_SECONDS = 3.0
#: Time after the end of a watch until its answer counts as lost, in seconds.
ANSWER_SECONDS = 0.8
#: Pause before the next read, and the time that a read takes, in seconds.
PAUSE_SECONDS = 0.1
READ_SECONDS = 0.05
#: Time from a version in force to the next read of a peer: its report, and the
#: delay until a peer looks for itself, in seconds.
REPORT_SECONDS = 0.2
#: Entries of a cell at most.
LARGEST_CELL = 32
CELLS = 3


class Way(abc.ABC):
    """A way to watch the platform.

    Attributes
    ----------
    entries
        Number of entries in the cell.
    """

    def __init__(self, entries: int) -> None:
        self.entries = entries

    @abc.abstractmethod
    def ends(self, rank: int, until: float) -> list[float]:
        """Return when the calls of an entry end, from a change at 0 on."""

    def spread(self, first: float) -> float:
        """Return when all entries have what the first one has."""
        others = first + REPORT_SECONDS + READ_SECONDS
        return first if self.entries == 1 else others

    def calls(self, seconds: float) -> int:
        """Return the calls of the cell in some seconds after a change."""
        return sum(
            len([end for end in self.ends(rank, seconds) if end <= seconds])
            for rank in range(self.entries)
        )

    def blind_seconds(self, lost_at: float) -> float:
        """Return the time from a loss of all answers until all have read."""
        until = lost_at + CONTACT_SECONDS
        next_ends = [
            min(end for end in self.ends(rank, until) if end > lost_at)
            for rank in range(self.entries)
        ]
        found_at = min(next_ends) + ANSWER_SECONDS
        first = found_at + PAUSE_SECONDS + READ_SECONDS
        alone = max(next_ends) + ANSWER_SECONDS + PAUSE_SECONDS + READ_SECONDS
        return min(self.spread(first), alone) - lost_at

    def worst_blind_seconds(self) -> float:
        """Return the longest such time over moments of the loss."""
        moments = [step / 100 for step in range(1, 600)]
        return max(self.blind_seconds(moment) for moment in moments)


class _Regular(Way):
    """Watches of one length, the first of which may be shorter."""

    @abc.abstractmethod
    def length(self, rank: int, *, is_first: bool) -> float:
        """Return the length of a watch, in seconds."""

    def ends(self, rank: int, until: float) -> list[float]:
        """Return when the calls of an entry end."""
        ends = [self.length(rank, is_first=True)]
        while ends[-1] <= until:
            ends.append(ends[-1] + self.length(rank, is_first=False))
        return ends


class InStep(_Regular):
    """All watch for as long as a change may take, all from the same moment."""

    def length(self, rank: int, *, is_first: bool) -> float:
        return CHANGE_SECONDS


class Staggered(_Regular):
    """Watches that end one after the other."""

    def length(self, rank: int, *, is_first: bool) -> float:
        place = CellPlace(rank, self.entries)
        return watch_seconds(place, CHANGE_SECONDS, is_first=is_first)


class ShorterForAll(_Regular):
    """All watch for a quarter of the time, all from the same moment."""

    def length(self, rank: int, *, is_first: bool) -> float:
        return CHANGE_SECONDS / 4


class Probed(InStep):
    """One entry of the cell also reads on a new connection now and then."""

    def ends(self, rank: int, until: float) -> list[float]:
        """Return when the calls of an entry end."""
        ends = super().ends(rank, until)
        if rank == 0:
            step = CHANGE_SECONDS / 4
            ends += [step * count for count in range(1, int(until / step) + 2)]
        return sorted(ends)

    def blind_seconds(self, lost_at: float) -> float:
        # A probe begins after the loss, and is answered at once.
        step = CHANGE_SECONDS / 4
        first = (lost_at // step + 1) * step + READ_SECONDS
        return self.spread(first) - lost_at


class FleetFigures(msgspec.Struct, frozen=True):
    """What a way costs a fleet, and how long it is blind."""

    calls_per_s: float
    blind_seconds: float


def figures(way: type[Way], entries: int) -> FleetFigures:
    """Return the figures of a fleet, whose large cells are its zones."""
    cells = 1 if entries <= LARGEST_CELL else CELLS
    cell = way(-(-entries // cells))
    seconds = 60
    return FleetFigures(
        calls_per_s=round(cells * cell.calls(seconds) / seconds, 1),
        blind_seconds=round(cell.worst_blind_seconds(), 2),
    )
