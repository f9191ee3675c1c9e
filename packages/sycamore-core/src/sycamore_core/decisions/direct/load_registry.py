"""The load of each engine: this entry's own work and the reports of peers.

Without the reports of peers, each entry places requests by its own load alone.
Two entries choose the same idle engine, and a short request waits behind
another entry's long prompt while other engines are idle.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

import msgspec

from ...ids import EndpointId, PeerId, RequestId, ZoneId
from ...routing import EngineLoad, EngineShare
from .engine_work import Assignment, EngineWork
from .load_observers import LoadObservers
from .pressure import PredictedDemand, ShortRequestMeter

#: Time between two full updates of an entry, in seconds.
FULL_UPDATE_SECONDS = 1.0
#: Age from which a peer's report is ignored, in seconds. A peer sends a full
#: update every second. If three in a row are missing, the peer is gone or cut
#: off, and its requests have ended or end soon.
STALE_SECONDS = 3.2
_NO_REPORTS: Mapping[PeerId, 'ReportedLoad'] = MappingProxyType({})


class ReportedLoad(msgspec.Struct, frozen=True):
    """A reported load of one engine.

    Attributes
    ----------
    reported_at
        Time at which the report arrived, on the monotonic clock.
    """

    load: EngineLoad
    reported_at: float


class PeerRecord(msgspec.Struct):
    """The last report of a peer and the engines at which it has work.

    Attributes
    ----------
    reported_at
        Time at which the last report arrived, on the monotonic clock.
    short_requests_per_s
        Short requests that arrive at the peer per second.
    """

    reported_at: float
    short_requests_per_s: float = 0
    engines: set[EndpointId] = msgspec.field(default_factory=set)


class CellRecord(msgspec.Struct, frozen=True):
    """The last summary of another cell and its busy engines.

    Attributes
    ----------
    reported_at
        Time at which the summary arrived, on the monotonic clock.
    short_requests_per_s
        Short requests that arrive in the cell per second.
    """

    reported_at: float
    short_requests_per_s: float = 0
    engines: frozenset[EndpointId] = frozenset()


class LoadRegistry:
    """Loads of engines, by endpoint.

    Reports of peers are stored by engine. The cost of a decision thus depends
    on the work at the engines that it compares, not on the number of peers.

    Attributes
    ----------
    short_requests
        Arrivals and residence times of this entry's short requests.
    changed
        Endpoints at which this entry's work has changed since the last call
        of `pop_changed`.
    peer_loads
        Load that each peer reports for an engine.
    cell_loads
        Load of all other entries at an engine, as the cell of the engine
        reports it.
    observers
        Notified of each endpoint whose load has decreased.
    """

    def __init__(self) -> None:
        self.own: dict[EndpointId, EngineWork] = {}
        self.peers: dict[PeerId, PeerRecord] = {}
        self.peer_loads: dict[EndpointId, dict[PeerId, ReportedLoad]] = {}
        self.cell_loads: dict[EndpointId, ReportedLoad] = {}
        self.cells: dict[ZoneId, CellRecord] = {}
        self.changed: set[EndpointId] = set()
        self.short_requests = ShortRequestMeter()
        self.observers = LoadObservers()

    def begin(
        self,
        request_id: RequestId,
        assignments: dict[EndpointId, Assignment],
        now: float,
    ) -> None:
        """Record the engines to which a request was sent."""
        for endpoint, assignment in assignments.items():
            work = self.own.setdefault(endpoint, EngineWork())
            work.add(request_id, assignment, now)
            self.changed.add(endpoint)

    def record_first_token(
        self,
        request_id: RequestId,
        endpoints: Iterable[EndpointId],
    ) -> None:
        """Record that the prompt of a request has been read."""
        for endpoint in endpoints:
            work = self.own.get(endpoint)
            if work is not None:
                work.record_first_token(request_id)
                self.changed.add(endpoint)

    def end(
        self,
        request_id: RequestId,
        endpoints: Iterable[EndpointId],
    ) -> None:
        """Remove a request that has ended."""
        for endpoint in endpoints:
            work = self.own.get(endpoint)
            if work is None:
                continue
            work.end(request_id)
            self.changed.add(endpoint)
            if not work.assignments:
                self.own.pop(endpoint)
            self.observers.notify(endpoint)

    def load(self, endpoint: EndpointId, now: float) -> EngineLoad:
        """Return the load of an engine."""
        total = self.cell_loads.get(endpoint)
        if total is not None and now - total.reported_at < STALE_SECONDS:
            load = self._own_load(endpoint, now)
            load.add(total.load, now - total.reported_at)
            return load
        return self._load_from_cell(endpoint, now)

    def report_age(self, endpoint: EndpointId, now: float) -> float | None:
        """Return the age of the oldest report of an engine, in seconds.

        Reports of silent peers are included, although `load` ignores them.
        None if there is no report of the engine.
        """
        total = self.cell_loads.get(endpoint)
        if total is not None and now - total.reported_at < STALE_SECONDS:
            return now - total.reported_at
        reports = self.peer_loads.get(endpoint, _NO_REPORTS).values()
        ages = [now - report.reported_at for report in reports]
        return max(ages, default=None)

    def apply_update(
        self,
        peer: PeerId,
        shares: Iterable[EngineShare],
        now: float,
        *,
        is_full: bool,
        short_requests_per_s: float = 0,
    ) -> None:
        """Apply a peer's report of its work.

        Parameters
        ----------
        is_full
            Whether the update is full; otherwise it has only the engines at
            which the work changed.
        short_requests_per_s
            Short requests that arrive at the peer per second.
        """
        before = _compared_loads(self, peer)
        if is_full:
            self._forget_peer(peer)
        record = self.peers.setdefault(peer, PeerRecord(now))
        record.reported_at = now
        record.short_requests_per_s = short_requests_per_s
        for share in shares:
            self._apply_share(peer, record, share, now)
        self.observers.notify_decreases(before, _compared_loads(self, peer))

    def apply_cell_summary(
        self,
        zone: ZoneId,
        shares: Iterable[EngineShare],
        now: float,
        short_requests_per_s: float = 0,
    ) -> None:
        """Apply a report of the engines of another cell.

        Parameters
        ----------
        shares
            Load of all entries except this one; idle engines are left out.
        short_requests_per_s
            Short requests that arrive in that cell per second.
        """
        previous = self.cells.get(zone, CellRecord(now))
        busy = {
            share.endpoint: ReportedLoad(share.load, now) for share in shares
        }
        before = {
            endpoint: self.cell_loads[endpoint].load
            for endpoint in previous.engines
            if endpoint in self.cell_loads
        }
        for engine in previous.engines:
            self.cell_loads.pop(engine, None)
        self.cell_loads.update(busy)
        self.cells[zone] = CellRecord(
            now, short_requests_per_s, frozenset(busy)
        )
        self.observers.notify_decreases(
            before,
            {endpoint: report.load for endpoint, report in busy.items()},
        )

    def predicted_demand(
        self, now: float, *, everywhere: bool = False
    ) -> PredictedDemand:
        """Return the short requests that are expected to arrive.

        Parameters
        ----------
        everywhere
            Whether to include the short requests of other cells.
        """
        sources: list[PeerRecord | CellRecord] = list(self.peers.values())
        if everywhere:
            sources.extend(self.cells.values())
        reported_rates = [
            source.short_requests_per_s
            for source in sources
            if now - source.reported_at < STALE_SECONDS
        ]
        return PredictedDemand(
            short_requests_per_s=self.short_requests.rate(now)
            + sum(reported_rates),
            slot_seconds=self.short_requests.slot_seconds,
        )

    def remove_peer(self, peer: PeerId) -> None:
        """Remove all reports of a peer.

        The peer is gone or has restarted.
        """
        before = _compared_loads(self, peer)
        self._forget_peer(peer)
        self.observers.notify_decreases(before, {})

    def own_shares(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
    ) -> tuple[EngineShare, ...]:
        """Return the work of this entry at some engines."""
        return tuple(
            EngineShare(endpoint, self._own_load(endpoint, now))
            for endpoint in endpoints
        )

    def pop_changed(self) -> set[EndpointId]:
        """Return the endpoints at which own work changed and clear the set."""
        changed = self.changed
        self.changed = set()
        return changed

    def cell_shares(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
        receiver: PeerId,
    ) -> tuple[EngineShare, ...]:
        """Return the work of this entry and its peers at some engines.

        The receiver's own work is left out, because the receiver adds it from
        its own newer figures, see `load`. Otherwise these requests would be
        counted twice.

        Idle engines are left out too. An engine can be idle although a silent
        peer has reported work there, because such reports are ignored.
        """
        loads = {
            endpoint: self._load_from_cell(endpoint, now, receiver)
            for endpoint in endpoints
        }
        return tuple(
            EngineShare(endpoint, load.with_merged_objectives())
            for endpoint, load in loads.items()
            if not load.is_idle
        )

    def _forget_peer(self, peer: PeerId) -> None:
        record = self.peers.pop(peer, None)
        if record is None:
            return
        for endpoint in record.engines:
            self._remove_load(peer, endpoint)

    def _load_from_cell(
        self,
        endpoint: EndpointId,
        now: float,
        excluded: PeerId | None = None,
    ) -> EngineLoad:
        """Return the load that this entry and its peers put on an engine."""
        load = self._own_load(endpoint, now)
        for peer, report in self.peer_loads.get(endpoint, _NO_REPORTS).items():
            is_fresh = now - self.peers[peer].reported_at < STALE_SECONDS
            if is_fresh and peer != excluded:
                load.add(report.load, now - report.reported_at)
        return load

    def _own_load(self, endpoint: EndpointId, now: float) -> EngineLoad:
        work = self.own.get(endpoint)
        return EngineLoad() if work is None else work.load(now)

    def _apply_share(
        self,
        peer: PeerId,
        record: PeerRecord,
        share: EngineShare,
        now: float,
    ) -> None:
        if share.load.is_idle:
            record.engines.discard(share.endpoint)
            self._remove_load(peer, share.endpoint)
            return
        record.engines.add(share.endpoint)
        reports = self.peer_loads.setdefault(share.endpoint, {})
        reports[peer] = ReportedLoad(share.load, now)

    def _remove_load(self, peer: PeerId, endpoint: EndpointId) -> None:
        reports = self.peer_loads.get(endpoint, {})
        reports.pop(peer, None)
        if not reports:
            self.peer_loads.pop(endpoint, None)


def reported_loads(
    registry: LoadRegistry,
    peer: PeerId,
) -> dict[EndpointId, EngineLoad]:
    """Return the loads that a peer has reported, by engine."""
    record = registry.peers.get(peer)
    if record is None:
        return {}
    return {
        endpoint: registry.peer_loads[endpoint][peer].load
        for endpoint in record.engines
    }


def count_requests(
    registry: LoadRegistry,
    endpoint: EndpointId,
    now: float,
) -> int:
    """Return the number of requests at an engine, as its load has it.

    It takes a small part of the time of `LoadRegistry.load`, so that all
    engines can be checked for a free slot at each event.
    """
    work = registry.own.get(endpoint)
    count = 0 if work is None else work.request_count
    total = registry.cell_loads.get(endpoint)
    if total is not None and now - total.reported_at < STALE_SECONDS:
        return count + total.load.requests
    reports = registry.peer_loads.get(endpoint, _NO_REPORTS)
    return count + sum(
        report.load.requests
        for peer, report in reports.items()
        if now - registry.peers[peer].reported_at < STALE_SECONDS
    )


def _compared_loads(
    registry: LoadRegistry,
    peer: PeerId,
) -> dict[EndpointId, EngineLoad]:
    """Return the loads that a peer has reported, if anyone needs them."""
    if registry.observers.is_needed():
        return reported_loads(registry, peer)
    return {}
