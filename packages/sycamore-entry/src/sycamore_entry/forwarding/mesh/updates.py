"""Builds the messages of an entry to its peers."""

from collections.abc import Iterable

import msgspec
from sycamore_core.decisions.direct import LoadRegistry, RateLimits
from sycamore_core.ids import EndpointId, PeerId, ZoneId
from sycamore_core.membership import Membership
from sycamore_core.messages import CellMembers, CellSummary, LoadUpdate
from sycamore_core.routing import LimitReport

from ..context import ForwardingContext


class UpdateWriter:
    """Builds the updates and summaries of one entry."""

    def __init__(
        self,
        context: ForwardingContext,
        membership: Membership,
    ) -> None:
        self.context = context
        self.membership = membership
        self.registry: LoadRegistry = context.dispatcher.loads
        self.limits: RateLimits = context.dispatcher.limits
        self.crashes = context.suspects.quarantine.book

    def changes(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
    ) -> LoadUpdate:
        """Return an update with the load of this entry at some engines."""
        return self._with_reports(self._base(endpoints, now), now)

    def full(self, now: float) -> LoadUpdate:
        """Return a full update."""
        update = msgspec.structs.replace(
            self._base(self.registry.own, now),
            is_full=True,
            members=self._all_living(own_cell=True),
            leaving=self.context.keeper.leaving.recent(),
            crashes=self.crashes.rotating_reports(now),
            reports_all_suspects=self.crashes.is_rotation_complete,
            limits=self.limits.all_reports(now),
        )
        return self._with_reports(update, now)

    def introduction(self, now: float) -> LoadUpdate:
        """Return a full update that names all entries, for a new member."""
        return msgspec.structs.replace(
            self.full(now),
            peers=tuple(self.membership.members),
            members=self._all_living(own_cell=False),
            leaving=self.context.keeper.leaving.all_known(),
            crashes=self.crashes.all_reports(now),
            reports_all_suspects=True,
        )

    def summary(self, receiver: str, now: float) -> CellSummary:
        """Return the load of the own cell, for an entry of another cell.

        Parameters
        ----------
        receiver
            Address of that entry. The requests of that entry in this cell are
            left out: it adds them itself, from newer figures.
        """
        name = self.membership.members[receiver].name
        context = self.context
        zone = self.membership.zone
        own = self._living(zone)
        summary = CellSummary(
            entry=context.entry,
            zone=zone,
            settings_version=context.keeper.version,
            shares=self.registry.cell_shares(self._busy_in(zone), now, name),
            members=(*own.addresses, self.membership.address),
            contacts=tuple(self._contacts()),
            leaving=context.keeper.leaving.recent(),
            short_requests_per_s=self.registry.predicted_demand(
                now
            ).short_requests_per_s,
            crashes=self.crashes.rotating_reports(now),
            reports_all_suspects=self.crashes.is_rotation_complete,
            limits=self._limits_in(zone, now, name),
        )
        for report in context.peer_reports:
            summary = report.add_to_summary(summary, name, now)
        return summary

    def by_owner(
        self,
        endpoints: Iterable[EndpointId],
    ) -> dict[ZoneId, set[EndpointId]]:
        """Return those endpoints that belong to other cells, by zone."""
        owned: dict[ZoneId, set[EndpointId]] = {}
        cells = self.context.dispatcher.cells
        for endpoint in endpoints:
            zone = self._zone_of(endpoint)
            if zone is not None and not cells.owns(zone):
                owned.setdefault(zone, set()).add(endpoint)
        return owned

    def _base(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
    ) -> LoadUpdate:
        context = self.context
        return LoadUpdate(
            entry=context.entry,
            zone=context.settings.zone,
            settings_version=context.keeper.version,
            is_full=False,
            shares=self.registry.own_shares(endpoints, now),
            short_requests_per_s=self.registry.short_requests.rate(now),
            failing=context.dispatcher.failures.endpoints_to_report(now),
            crashes=self.crashes.recent_reports(now),
            limits=self.limits.reports(set(endpoints), now),
        )

    def _with_reports(self, update: LoadUpdate, now: float) -> LoadUpdate:
        for report in self.context.peer_reports:
            update = report.add_to_update(update, now)
        return update

    def _busy_in(self, zone: ZoneId) -> list[EndpointId]:
        busy = self.registry.own.keys() | self.registry.peer_loads.keys()
        return sorted(name for name in busy if self._zone_of(name) == zone)

    def _limits_in(
        self,
        zone: ZoneId,
        now: float,
        receiver: PeerId,
    ) -> tuple[LimitReport, ...]:
        directory = self.context.keeper.directory
        records = directory.records.values()
        endpoints = {
            record.endpoint for record in records if record.zone == zone
        }
        return self.limits.summary(endpoints, now, receiver)

    def _zone_of(self, endpoint: EndpointId) -> ZoneId | None:
        record = self.context.keeper.directory.find(endpoint)
        return None if record is None else record.zone

    def _all_living(self, *, own_cell: bool) -> tuple[CellMembers, ...]:
        """Return the entries alive in the own cell or in all cells, by zone."""
        known = self.membership
        zones = {member.zone for member in known.members.values()}
        if own_cell:
            zones = {zone for zone in zones if known.is_own_cell(zone)}
        return tuple(self._living(zone) for zone in sorted(zones))

    def _living(self, zone: ZoneId) -> CellMembers:
        return CellMembers(zone, tuple(self.membership.alive_in(zone)))

    def _contacts(self) -> Iterable[CellMembers]:
        for zone in sorted(self.membership.cells - {self.membership.zone}):
            alive = self._living(zone)
            yield CellMembers(zone, alive.addresses[:1])
