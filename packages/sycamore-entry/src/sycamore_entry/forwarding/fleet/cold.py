"""Cold endpoints, as registrations, answers and peers report them."""

import math
from collections.abc import Callable, Set

import msgspec
from sycamore_core.clock import Clock
from sycamore_core.decisions.direct import SharedSends
from sycamore_core.decisions.direct.recent_sends import AGE_BUCKET_SECONDS
from sycamore_core.decisions.warmup import ColdPeriods, seconds_from_start
from sycamore_core.decisions.warmup.cold_limits import (
    MAX_JITTER_SECONDS,
    WINDOW_SECONDS,
)
from sycamore_core.ids import EndpointId, PeerId, ZoneId
from sycamore_core.messages import CellSummary, LoadUpdate
from sycamore_core.routing import (
    ColdReport,
    EndpointDirectory,
    EndpointLifetime,
    EndpointRecord,
    RoutingTable,
    ServiceRecord,
)
from sycamore_core.telemetry import Log

from ..mesh.peer_report import PeerReport

_DIGITS = 3
#: Number of cold endpoints in a full update or a summary. A report adds about
#: 30 bytes to an update of 300 to 500, and a whole zone may be cold. Each
#: request to a cold endpoint is reported at once, and the store lists cold
#: endpoints: the reports in full updates replace those that were lost.
MAX_REPORTS = 2
#: Number of age buckets that are reported. Older requests count in no window.
_REPORTED_BUCKETS = math.ceil(
    (WINDOW_SECONDS + MAX_JITTER_SECONDS) / AGE_BUCKET_SECONDS
)


class ColdStarts:
    """Cold periods of endpoints, from all sources.

    Attributes
    ----------
    periods
        Latest cold period of each endpoint that was recently cold.
    """

    def __init__(self, clock: Clock, log: Log) -> None:
        self.clock = clock
        self.log = log
        self.periods = ColdPeriods()

    def apply_record(
        self,
        record: EndpointRecord,
        table: RoutingTable | None,
        *,
        is_first_list: bool,
    ) -> None:
        """Apply a registration by the configuration of its service."""
        service = None if table is None else table.service(record.service)
        self.apply_registration(record, service, is_first_list=is_first_list)

    def apply_registration(
        self,
        record: EndpointRecord,
        service: ServiceRecord | None,
        *,
        is_first_list: bool,
    ) -> None:
        """Apply a registration that was listed or changed.

        Parameters
        ----------
        service
            Service of the endpoint, if it is configured.
        is_first_list
            Whether it is part of the first list of this process. The start of
            the endpoint may then be long ago.
        """
        now = self.clock.monotonic()
        lifetime = record.lifetime
        is_new = not self.periods.has_registered(lifetime)
        is_cold = self.periods.apply_registration(
            lifetime, record.cold_left, now
        )
        is_unstated = record.cold_left is None and service is not None
        if is_new and is_unstated and not is_first_list:
            seconds = seconds_from_start(
                record.started_ms, service.cold_seconds, self.clock.wall()
            )
            is_cold = self.periods.record(lifetime, seconds, now)
        if is_cold:
            self._log_cold(lifetime, 'platform')

    def apply_answer(self, lifetime: EndpointLifetime, seconds: float) -> bool:
        """Apply the cold time in an answer; return whether it became cold."""
        is_cold = self.periods.record(lifetime, seconds, self.clock.monotonic())
        if is_cold:
            self._log_cold(lifetime, 'answer')
        return is_cold

    def apply_peer_report(self, report: ColdReport, source: str) -> bool:
        """Apply the report of a peer; return whether it became cold."""
        # NaN fails both comparisons.
        if not (report.seconds_left >= 0 and report.age >= 0):
            return False
        is_cold = self.periods.apply_peer_report(
            report.endpoint,
            report.seconds_left,
            report.age,
            self.clock.monotonic(),
        )
        if is_cold:
            self._log_cold(report.endpoint, source)
        return is_cold

    def _log_cold(self, lifetime: EndpointLifetime, source: str) -> None:
        now = self.clock.monotonic()
        seconds = self.periods.seconds_left(lifetime, now)
        self.log.info(
            'endpoint_cold',
            endpoint=lifetime.endpoint,
            started_ms=lifetime.started_ms,
            seconds_left=round(seconds, _DIGITS),
            source=source,
        )


class ColdReports(PeerReport):
    """Exchanges cold periods with peers, and what was sent to the endpoints.

    Parameters
    ----------
    sends
        Requests that all entries sent.
    is_enabled
        Returns whether the operator sets a bound for cold endpoints.
    send_update_now
        Sends the peers an update on an endpoint without delay.
    """

    def __init__(
        self,
        starts: ColdStarts,
        directory: EndpointDirectory,
        sends: SharedSends,
        is_enabled: Callable[[], bool],
        send_update_now: Callable[[EndpointId], None],
    ) -> None:
        self.starts = starts
        self.directory = directory
        self.sends = sends
        self.is_enabled = is_enabled
        self.send_update_now = send_update_now

    def add_to_update(self, update: LoadUpdate, now: float) -> LoadUpdate:
        """Return an update with the cold endpoints that it concerns.

        A full update has some of them in turn, first those to which this
        entry sent requests.
        """
        if update.is_full:
            self.starts.periods.drop_ended(now)
            self.sends.drop_expired(now)
        if not self._has_reports:
            return update
        if update.is_full:
            lifetimes = list(self.starts.periods.periods)
        else:
            named = {share.endpoint for share in update.shares}
            lifetimes = self._cold_among(named, now)
        reports = [
            self._report(lifetime, self.sends.own_counts(lifetime, now), now)
            for lifetime in lifetimes
        ]
        if update.is_full:
            reports = _in_turn(reports, now)
        return msgspec.structs.replace(update, cold=tuple(reports))

    def add_to_summary(
        self,
        summary: CellSummary,
        receiver: PeerId,
        now: float,
    ) -> CellSummary:
        """Return a summary with some of the cold endpoints of the cell."""
        if not self._has_reports:
            return summary
        lifetimes = [
            lifetime
            for lifetime in self.starts.periods.periods
            if self._zone_of(lifetime) == summary.zone
        ]
        reports = [
            self._report(
                lifetime,
                self.sends.total_counts(lifetime, now, receiver),
                now,
            )
            for lifetime in lifetimes
        ]
        return msgspec.structs.replace(
            summary, cold=tuple(_in_turn(reports, now))
        )

    def apply(
        self,
        source: PeerId,
        message: LoadUpdate | CellSummary,
        now: float,
    ) -> None:
        """Apply the cold periods and the sends that a peer reports."""
        if not self.is_enabled():
            return
        for report in message.cold:
            lifetime = report.endpoint
            self.sends.apply_report(source, lifetime, report.sends, now)
            is_cold = self.starts.apply_peer_report(report, message.entry)
            if is_cold and any(self.sends.own_counts(lifetime, now)):
                # Peers do not know yet what this entry sent there before.
                self.send_update_now(lifetime.endpoint)

    def remove_peer(self, peer: PeerId) -> None:
        """Keep the sends of a lost peer: they are dropped by their age."""

    @property
    def _has_reports(self) -> bool:
        return self.is_enabled() and not self.starts.periods.is_empty

    def _cold_among(
        self, endpoints: Set[EndpointId], now: float
    ) -> list[EndpointLifetime]:
        periods = self.starts.periods
        return [
            lifetime
            for lifetime in periods.periods
            if lifetime.endpoint in endpoints and periods.is_cold(lifetime, now)
        ]

    def _report(
        self,
        lifetime: EndpointLifetime,
        counts: list[int],
        now: float,
    ) -> ColdReport:
        period = self.starts.periods.periods[lifetime]
        seconds = self.starts.periods.seconds_left(lifetime, now)
        recent = counts[:_REPORTED_BUCKETS]
        while recent and not recent[-1]:
            recent.pop()
        return ColdReport(
            lifetime,
            round(seconds, _DIGITS),
            round(now - period.measured_at, _DIGITS),
            tuple(recent),
        )

    def _zone_of(self, lifetime: EndpointLifetime) -> ZoneId | None:
        record = self.directory.find(lifetime.endpoint)
        return None if record is None else record.zone


def _in_turn(reports: list[ColdReport], now: float) -> list[ColdReport]:
    """Return reports in turn by the second, first those with requests."""
    with_sends = [report for report in reports if report.sends]
    others = [report for report in reports if not report.sends]
    ordered = [*_rotated(with_sends, now), *_rotated(others, now)]
    return ordered[:MAX_REPORTS]


def _rotated(reports: list[ColdReport], now: float) -> list[ColdReport]:
    """Return reports with another one first in each second."""
    if not reports:
        return reports
    first = int(now) * MAX_REPORTS % len(reports)
    return [*reports[first:], *reports[:first]]
