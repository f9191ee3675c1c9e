"""Zones that are evacuated, as the platform and peers report them.

Nothing more is sent to the endpoints of an evacuated zone, but the requests
that run there are completed. While the platform is unreachable, the last known
state remains in effect, and a peer that still reads the platform reports each
change.
"""

import contextlib
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping

import msgspec
from sycamore_core.decisions.evacuation import ZoneStates
from sycamore_core.ids import PeerId, ZoneId
from sycamore_core.messages import CellSummary, LoadUpdate
from sycamore_core.routing import EvacuationReport
from sycamore_core.telemetry import Log

from ..mesh.peer_report import PeerReport
from .feed import Epoch, EvacuationChanged, FleetSnapshot

_PLATFORM = 'platform'


class EvacuatedZones:
    """The evacuated zones, from all sources.

    Parameters
    ----------
    confirmed_age
        Returns the seconds since the platform last confirmed the state of
        this entry; None before that.

    Attributes
    ----------
    states
        Newest known state of each zone.
    is_urgent
        Whether peers must be told of a change at once.
    observers
        Called when a zone has been evacuated or restored.
    """

    def __init__(
        self,
        log: Log,
        confirmed_age: Callable[[], float | None],
    ) -> None:
        self.log = log
        self.confirmed_age = confirmed_age
        self.states = ZoneStates()
        self.is_urgent = False
        self.observers: list[Callable[[], None]] = []

    @property
    def zones(self) -> frozenset[ZoneId]:
        """Return the zones that are evacuated."""
        return self.states.evacuated

    def apply_change(self, change: EvacuationChanged, epoch: Epoch) -> None:
        """Apply a change that the platform reported."""
        report = _report(change, epoch)
        if self.states.apply(report):
            self._record_change(report, _PLATFORM, tell_peers=True)

    def apply_list(
        self,
        snapshot: FleetSnapshot,
        epoch: Epoch,
        *,
        is_old_copy: bool,
    ) -> None:
        """Apply a complete list of the platform.

        Parameters
        ----------
        epoch
            Epoch of the latest answer of the platform that named one.
        is_old_copy
            Whether the list may be out of date.
        """
        changed = self.states.apply_list(
            epoch,
            snapshot.revision,
            [_report(change, epoch) for change in snapshot.evacuations],
            snapshot.unreadable_evacuations,
            is_old_copy=is_old_copy,
        )
        for report in changed:
            self._record_change(report, _PLATFORM, tell_peers=True)

    def apply_reports(
        self,
        reports: Iterable[EvacuationReport],
        source: str,
        *,
        tell_peers: bool,
    ) -> None:
        """Apply the reports of a peer.

        Parameters
        ----------
        tell_peers
            Whether the other entries of the cell may not know of them.
        """
        for report in reports:
            if self.states.apply(report):
                self._record_change(report, source, tell_peers=tell_peers)

    def _record_change(
        self,
        report: EvacuationReport,
        source: str,
        *,
        tell_peers: bool,
    ) -> None:
        self.is_urgent = self.is_urgent or tell_peers
        for observer in self.observers:
            observer()
        fields = {
            'zone': report.zone,
            'revision': report.revision,
            'epoch': report.epoch,
            'source': source,
            'age': self.confirmed_age(),
        }
        if report.is_evacuated:
            self.log.warning('zone_evacuated', **fields)
        else:
            self.log.warning('zone_restored', **fields)


class EvacuationReports(PeerReport):
    """Exchanges the states of zones with peers.

    Full updates have them all: an entry that is partitioned from the platform
    may miss any number of messages.
    """

    def __init__(self, evacuation: EvacuatedZones) -> None:
        self.evacuation = evacuation

    def add_to_update(self, update: LoadUpdate, now: float) -> LoadUpdate:
        """Return a full update with the states of all zones."""
        reports = self.evacuation.states.reports()
        if not (update.is_full and reports):
            return update
        return msgspec.structs.replace(update, evacuations=reports)

    def add_to_summary(
        self,
        summary: CellSummary,
        receiver: PeerId,
        now: float,
    ) -> CellSummary:
        """Return a summary with the states of all zones."""
        reports = self.evacuation.states.reports()
        return msgspec.structs.replace(summary, evacuations=reports)

    def apply(
        self,
        source: PeerId,
        message: LoadUpdate | CellSummary,
        now: float,
    ) -> None:
        """Apply the states that a peer reports.

        The peer has sent an update to the whole cell, but a summary only to
        this entry.
        """
        self.evacuation.apply_reports(
            message.evacuations,
            message.entry,
            tell_peers=isinstance(message, CellSummary),
        )

    def remove_peer(self, peer: PeerId) -> None:
        """Keep the states: they do not depend on who reported them."""

    def pop_urgent(self) -> bool:
        """Return whether a zone has changed since the last call."""
        is_urgent = self.evacuation.is_urgent
        self.evacuation.is_urgent = False
        return is_urgent


class RunningRequests:
    """Counts the running requests of this entry by zone.

    The counts show how far an evacuated zone is drained.
    """

    def __init__(self, evacuation: EvacuatedZones) -> None:
        self.evacuation = evacuation
        self.by_zone: Counter[ZoneId] = Counter()

    @contextlib.contextmanager
    def track(self, zones: frozenset[ZoneId]) -> Iterator[None]:
        """Count a request that runs in some zones."""
        self.by_zone.update(zones)
        try:
            yield
        finally:
            self.by_zone.subtract(zones)
            self._log_drained(zones & self.evacuation.zones)

    def in_evacuated_zones(self) -> Mapping[str, int]:
        """Return the requests that still run, for each evacuated zone."""
        zones = sorted(self.evacuation.zones)
        return {zone: self.by_zone[zone] for zone in zones}

    def _log_drained(self, zones: frozenset[ZoneId]) -> None:
        for zone in zones:
            if not self.by_zone[zone]:
                self.evacuation.log.info('zone_drained', zone=zone)


def _report(change: EvacuationChanged, epoch: Epoch) -> EvacuationReport:
    return EvacuationReport(
        change.zone, epoch, change.revision, change.is_evacuated
    )
