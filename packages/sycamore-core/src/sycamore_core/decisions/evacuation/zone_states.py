"""The newest known state of each zone: evacuated or in use.

Load pattern: an operator evacuates a zone, takes it back and evacuates it
again within seconds, while the store is slow or unavailable. Dozens of entries
learn of each change from lists, from watches and from the reports of peers.
Reports arrive late, more than once and out of order, and the store may be
restored from an older copy.

If the latest message were applied, an old report would bring an evacuated zone
back into use, or keep a zone out of use that was taken back. Each state
therefore has the epoch and the revision of the store under which it was
written, and a state is replaced only by a newer one.
"""

from collections.abc import Collection

from ...ids import ZoneId
from ...routing import EvacuationReport

#: Number of zones in use that are remembered, so that older reports of their
#: evacuation are recognized. A fleet has fewer zones than this.
MAX_ZONES_IN_USE = 64
#: Number of zones that are reported to peers, the last changed first. Items of
#: another writer may name any number of zones.
MAX_REPORTS = 64


class ZoneStates:
    """The newest state of each zone, as one entry knows it.

    Attributes
    ----------
    newest
        Newest report of each zone. A zone without a report is in use as of the
        last complete list.
    evacuated
        The zones that are evacuated.

    Examples
    --------
    >>> states = ZoneStates()
    >>> states.apply(EvacuationReport('a', 1, 7, True))
    True
    >>> states.apply(EvacuationReport('a', 1, 6, False))
    False
    >>> sorted(states.evacuated)
    ['a']
    >>> states.apply(EvacuationReport('a', 1, 8, False))
    True
    >>> sorted(states.evacuated)
    []
    """

    def __init__(self) -> None:
        self.newest: dict[ZoneId, EvacuationReport] = {}
        self.evacuated: frozenset[ZoneId] = frozenset()
        self._listed = (0, 0)
        self._unreadable: frozenset[ZoneId] = frozenset()

    def apply(self, report: EvacuationReport) -> bool:
        """Apply a report if it is newer; return whether the state changed."""
        zone = report.zone
        known = self.newest.get(zone)
        if known is None and self._is_listed_since(report):
            self._store(self._listed_state(report))
            return False
        if known is not None and _position(report) <= _position(known):
            return False
        was_evacuated = zone in self.evacuated
        self._store(report)
        return was_evacuated != report.is_evacuated

    def apply_list(
        self,
        epoch: int,
        revision: int,
        reports: Collection[EvacuationReport],
        unreadable: Collection[ZoneId] = (),
        *,
        is_old_copy: bool = False,
    ) -> list[EvacuationReport]:
        """Apply a complete list; return the reports that changed a state.

        Parameters
        ----------
        epoch, revision
            Position of the list in the history of the store.
        reports
            All zones that the list names as evacuated.
        unreadable
            Zones of which the list has an item that cannot be read. They keep
            their state.
        is_old_copy
            Whether the list may come from a copy that has lost items. It then
            brings back only zones whose evacuation is known from the copy's
            own epoch: these were removed since.
        """
        changed = [report for report in reports if self.apply(report)]
        listed = {report.zone for report in reports}.union(unreadable)
        for zone in self.evacuated - listed:
            restored = EvacuationReport(zone, epoch, revision, False)
            may_be_lost = is_old_copy and self.newest[zone].epoch != epoch
            if not may_be_lost and self.apply(restored):
                changed.append(restored)
        if not is_old_copy:
            self._listed = max(self._listed, (epoch, revision))
            self._unreadable = frozenset(unreadable)
        return changed

    def reports(self) -> tuple[EvacuationReport, ...]:
        """Return the newest states of zones that were ever evacuated."""
        return tuple(self.newest.values())[-MAX_REPORTS:]

    def _is_listed_since(self, report: EvacuationReport) -> bool:
        """Return whether a complete list is at least as new as a report."""
        if not report.is_evacuated or report.zone in self._unreadable:
            return False
        return _position(report) <= self._listed

    def _listed_state(self, report: EvacuationReport) -> EvacuationReport:
        """Return the state of a zone that the last complete list lacks.

        The sender of the report has missed the removal of the item, so the
        state is stored and thereby reported to it. An older epoch is left to
        its own list: a copy may lack an item until it has settled.
        """
        epoch, revision = self._listed
        if report.epoch != epoch:
            return EvacuationReport(
                report.zone, report.epoch, report.revision, False
            )
        return EvacuationReport(report.zone, epoch, revision, False)

    def _store(self, report: EvacuationReport) -> None:
        self.newest.pop(report.zone, None)
        self.newest[report.zone] = report
        if report.is_evacuated:
            self.evacuated |= {report.zone}
            return
        self.evacuated -= {report.zone}
        in_use = [zone for zone in self.newest if zone not in self.evacuated]
        if len(in_use) > MAX_ZONES_IN_USE:
            self.newest.pop(in_use[0])


def _position(report: EvacuationReport) -> tuple[int, int]:
    """Return the position of a report in the history of the store."""
    return report.epoch, report.revision
