"""Which entry takes a slot that has become free.

Load pattern: 24 entries have waiting requests. An engine's slot becomes free
170 times a second, and all entries learn of it within 20 to 40 ms.

Without an agreement, the entry that learns of a slot first takes it, whatever
waits elsewhere, and two entries send their requests to the same slot. A
coordinator that grants slots would have to be alive and reachable.

Each entry reports the ranks that wait, and the wait of the first request of
each. An entry leaves a slot to peers whose first requests come before its own,
for a short time only. Reports that did not lead to a request in this time are
ignored from then on, so that a peer that is dead or is not notified of the slot
delays one slot only.
"""

from collections.abc import Iterable, Iterator

import msgspec

from ...ids import PeerId, ServiceId
from ...routing import Rank, WaitingReport

#: Age from which a report is ignored, in seconds. A peer with waiting requests
#: sends a full update every second.
FRESH_SECONDS = 1.0
#: Largest counts of an entry and of a cell, and the longest wait, that are
#: accepted. An entry has at most 200 waiting requests, the largest cell has 64
#: entries, and the time limits of callers are below a minute.
_MAX_COUNT = 200
_MAX_CELL_COUNT = 12_800
_MAX_SECONDS = 60.0
#: Reports of one peer that are kept. There are a few ranks for each service.
_MAX_REPORTS = 64


class Claim(msgspec.Struct, frozen=True, order=True):
    """What decides which of the first requests of entries gets a slot.

    The lowest claim comes first.

    Attributes
    ----------
    is_late
        Whether the request can no longer meet its objective.
    since
        When the request began to wait, on the monotonic clock of this entry,
        in seconds.
    """

    rank: Rank
    is_late: bool
    since: float


class _PeerWaiting(msgspec.Struct, frozen=True):
    """The last reports of one peer."""

    reports: tuple[WaitingReport, ...]
    reported_at: float
    may_take_slots: bool

    def is_fresh(self, now: float) -> bool:
        return now - self.reported_at <= FRESH_SECONDS

    def may_claim(self, now: float) -> bool:
        """Return whether slots are left to the peer."""
        return self.may_take_slots and self.is_fresh(now)

    def claim(self, report: WaitingReport, now: float) -> Claim:
        """Return the claim of the first request of a report."""
        return Claim(
            report.rank,
            is_late=report.late_in < now - self.reported_at,
            since=self.reported_at - report.longest_seconds,
        )


class PeerClaims:
    """Requests that wait at peers.

    Examples
    --------
    >>> claims = PeerClaims()
    >>> report = WaitingReport('chat', Rank(0, 0), 3, 0.5, 9)
    >>> claims.apply('entry-2', (report,), now=10)
    >>> [
    ...     claims.count_before('chat', Claim(Rank(0, 0), False, since), 10)
    ...     for since in (9.8, 9.2)
    ... ]
    [1, 0]
    >>> claims.count_before('chat', Claim(Rank(0, 1), False, 8), now=10)
    3
    """

    def __init__(self) -> None:
        self._peers: dict[PeerId, _PeerWaiting] = {}
        self._ignored: set[tuple[PeerId, ServiceId]] = set()

    def apply(
        self,
        peer: PeerId,
        reports: Iterable[WaitingReport],
        now: float,
        *,
        may_take_slots: bool = True,
    ) -> None:
        """Replace the reports of a peer.

        Parameters
        ----------
        may_take_slots
            Whether slots are left to the peer. A cell is notified of a slot
            only by the next summary, long after `YIELD_SECONDS`.
        """
        self._ignored = {one for one in self._ignored if one[0] != peer}
        max_count = _MAX_COUNT if may_take_slots else _MAX_CELL_COUNT
        kept = tuple(
            _clamped(report, max_count)
            for report in tuple(reports)[:_MAX_REPORTS]
        )
        if kept:
            self._peers[peer] = _PeerWaiting(kept, now, may_take_slots)
        else:
            self._peers.pop(peer, None)

    def remove_peer(self, peer: PeerId) -> None:
        """Drop the reports of a peer that is lost."""
        self._peers.pop(peer, None)

    def count_before(
        self,
        service: ServiceId,
        own: Claim,
        now: float,
    ) -> int:
        """Return how many requests at peers come before an own one.

        Of the requests of the same rank at one peer, only the first counts:
        the waits of the others are not known.
        """
        return sum(
            _count_before(report, claim, own)
            for _, report, claim in self._claims(service, now)
        )

    def count_ahead(self, service: ServiceId, rank: Rank, now: float) -> int:
        """Return how many requests of a rank or a more urgent one wait.

        Other cells are included.
        """
        return sum(
            report.count
            for peer in self._fresh(now)
            for report in peer.reports
            if report.service == service and report.rank <= rank
        )

    def reports(
        self,
        service: ServiceId,
        now: float,
    ) -> list[WaitingReport]:
        """Return the fresh reports of all peers and cells."""
        return [
            report
            for peer in self._fresh(now)
            for report in peer.reports
            if report.service == service
        ]

    def has_any(self, service: ServiceId, now: float) -> bool:
        """Return whether requests for a service wait at peers."""
        return any(
            report.service == service
            for peer in self._fresh(now)
            if peer.may_take_slots
            for report in peer.reports
        )

    def ignore_first(
        self,
        service: ServiceId,
        own: Claim,
        count: int,
        now: float,
    ) -> None:
        """Ignore the first peers until they report again.

        They had the time to take a slot, and did not.
        """
        ahead = sorted(
            (claim, name)
            for name, _, claim in self._claims(service, now)
            if claim < own
        )
        names = [name for _, name in ahead[:count]]
        self._ignored.update((name, service) for name in names)

    def totals(
        self,
        now: float,
        excluded: PeerId,
    ) -> tuple[WaitingReport, ...]:
        """Return the reports of the own cell, added up by service and rank.

        Parameters
        ----------
        excluded
            Peer whose reports are left out.
        """
        peers = [
            peer
            for name, peer in self._peers.items()
            if name != excluded and peer.may_claim(now)
        ]
        return merged(
            _aged(report, now - peer.reported_at)
            for peer in peers
            for report in peer.reports
        )

    def _claims(
        self,
        service: ServiceId,
        now: float,
    ) -> Iterator[tuple[PeerId, WaitingReport, Claim]]:
        """Yield the reports to whose requests slots are left."""
        for name, peer in self._peers.items():
            if not peer.may_claim(now) or (name, service) in self._ignored:
                continue
            for report in peer.reports:
                if report.service == service:
                    yield name, report, peer.claim(report, now)

    def _fresh(self, now: float) -> list[_PeerWaiting]:
        return [peer for peer in self._peers.values() if peer.is_fresh(now)]


def merged(reports: Iterable[WaitingReport]) -> tuple[WaitingReport, ...]:
    """Return reports added up by service and rank.

    Examples
    --------
    >>> one = WaitingReport('chat', Rank(0, 0), 3, 0.5)
    >>> two = WaitingReport('chat', Rank(0, 0), 1, 0.7)
    >>> [(total.count, total.longest_seconds) for total in merged((one, two))]
    [(4, 0.7)]
    """
    totals: dict[tuple[ServiceId, Rank], WaitingReport] = {}
    for report in reports:
        name = (report.service, report.rank)
        known = totals.get(name)
        if known is not None:
            report = msgspec.structs.replace(
                report,
                count=report.count + known.count,
                longest_seconds=max(
                    report.longest_seconds, known.longest_seconds
                ),
                late_in=max(report.late_in, known.late_in),
            )
        totals[name] = report
    return tuple(totals.values())


def _count_before(report: WaitingReport, first: Claim, own: Claim) -> int:
    if report.rank < own.rank:
        return report.count
    return int(report.count > 0 and first < own)


def _clamped(report: WaitingReport, max_count: int) -> WaitingReport:
    """Return a report within the accepted bounds."""
    seconds = report.longest_seconds
    late_in = report.late_in
    return msgspec.structs.replace(
        report,
        count=max(0, min(max_count, report.count)),
        # A time that is not a number fails each comparison and counts as 0.
        longest_seconds=min(_MAX_SECONDS, seconds) if seconds > 0 else 0,
        late_in=min(_MAX_SECONDS, late_in) if late_in > 0 else -1,
    )


def _aged(report: WaitingReport, age: float) -> WaitingReport:
    """Return a report as of some seconds later."""
    return msgspec.structs.replace(
        report,
        longest_seconds=report.longest_seconds + age,
        late_in=report.late_in - age,
    )
