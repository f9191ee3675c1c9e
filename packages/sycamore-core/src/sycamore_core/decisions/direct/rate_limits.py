"""Rate limits that endpoints request, enforced by all entries together.

Load pattern: an endpoint that cannot serve its usual rate requests a limit of
about one request per second, and repeats the limit in each answer. Dozens of
entries place requests by load.

Without this, an endpoint that requests a lower rate looks idle and gets more
requests.

The limit applies to all entries together. Divided among dozens of entries, it
is less than one request in ten seconds for each. Equal shares would leave
nearly all of the rate unused, because callers arrive at different entries over
time. Entries therefore report to their peers what they have sent, and each
entry sends while the sum is below the limit. An entry that receives reports
from only a part of the fleet uses only the corresponding part of the rate.

If all entries have more requests than the rate permits, all of them would send
as soon as there is capacity again, before they receive each other's reports.
Each entry therefore adds a jitter of its own, which changes periodically.
"""

import math
from collections.abc import Container, Iterable

import msgspec

from ...ids import EndpointId, EntryId, PeerId
from ...routing import EndpointLifetime, LimitReport
from .recent_sends import AGE_BUCKET_SECONDS, AGE_BUCKETS
from .shared_sends import SharedSends, send_jitter

#: How long a limit is valid without a further answer that repeats it, in
#: seconds. An endpoint in use repeats the limit in each answer.
LIMIT_VALID_SECONDS = 30.0
#: Windows over which the rate is enforced, in seconds. The longer window alone
#: would let all its requests come at once; the shorter one prevents this.
WINDOWS = (2.0, 4.0)
#: Upper bound of the jitter, in seconds.
MAX_JITTER_SECONDS = 1.0
#: Increase of the largest jitter for each further entry, in seconds: about the
#: time until an entry receives another entry's report.
JITTER_PER_ENTRY_SECONDS = 0.03
#: Rate above which a limit has no effect, in requests per second.
_MAX_RATE = 1e6
#: Age up to which a limit without recent sends is part of full updates, in
#: seconds. At least one full update is sent within this time.
_RECENT_SECONDS = 1.2


class ReportedLimit(msgspec.Struct, frozen=True):
    """The limit in the latest answer of an endpoint.

    Attributes
    ----------
    per_second
        Requests per second from all entries together; None if the endpoint
        has ended its limit.
    reported_at
        Time of the answer, on the monotonic clock, in seconds.
    """

    per_second: float | None
    reported_at: float


class RateLimits:
    """Limits that endpoints requested, as one entry knows them.

    Attributes
    ----------
    reported
        Latest limit of each endpoint that requested one.
    sends
        Requests that all entries sent.
    entry_count
        Number of entries that send to the same endpoints, including this one.
    reporting_fraction
        Fraction of the entries whose reports are received, from 0 to 1.

    Examples
    --------
    >>> limits = RateLimits('entry-1')
    >>> limits.said('e1', 0.5, now=10)
    True
    >>> limits.has_room('e1', now=10)
    True
    >>> limits.sent('e1', now=10)
    >>> limits.has_room('e1', now=11), limits.has_room('e1', now=14.1)
    (False, True)
    """

    def __init__(self, entry: EntryId) -> None:
        self.entry = entry
        self.entry_count = 1
        self.reported: dict[EndpointLifetime, ReportedLimit] = {}
        self.reporting_fraction: float = 1
        self.sends = SharedSends()

    @property
    def is_empty(self) -> bool:
        """Whether no limit is stored."""
        return not self.reported

    def said(
        self,
        endpoint: EndpointLifetime,
        per_second: float | None,
        now: float,
    ) -> bool:
        """Record the limit in an answer; return whether it is a change.

        Parameters
        ----------
        per_second
            Requests per second; None if the answer has no limit.
        """
        previous = self.limit(endpoint, now)
        if per_second is not None or endpoint in self.reported:
            self.reported[endpoint] = ReportedLimit(per_second, now)
        return per_second != previous

    def sent(self, endpoint: EndpointLifetime, now: float) -> None:
        """Record a request of this entry to any endpoint.

        Endpoints without a limit are included, because the next answer of any
        endpoint may contain one.
        """
        self.sends.record(endpoint, now)

    def limit(self, endpoint: EndpointLifetime, now: float) -> float | None:
        """Return the limit in force, in requests per second, or None."""
        reported = self.reported.get(endpoint)
        if reported is None or now - reported.reported_at > LIMIT_VALID_SECONDS:
            return None
        return reported.per_second

    def has_room(self, endpoint: EndpointLifetime, now: float) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        limit = self.limit(endpoint, now)
        if limit is None:
            return True
        rate = limit * self.reporting_fraction
        max_jitter = min(
            MAX_JITTER_SECONDS,
            JITTER_PER_ENTRY_SECONDS * (self.entry_count - 1),
        )
        jitter = send_jitter(self.entry, endpoint, max_jitter, now)
        return all(
            self.sends.count(endpoint, window + jitter, now)
            < _max_requests(rate, window)
            for window in WINDOWS
        )

    def seconds_to_room(self, endpoint: EndpointLifetime, now: float) -> float:
        """Return the time until a request may be sent, in seconds.

        Other requests in the meantime are not taken into account.
        """
        delays = (AGE_BUCKET_SECONDS * step for step in range(AGE_BUCKETS))
        possible = (
            delay for delay in delays if self.has_room(endpoint, now + delay)
        )
        return next(possible, max(WINDOWS))

    def hear(
        self,
        peer: PeerId,
        reports: Iterable[LimitReport],
        now: float,
    ) -> list[EndpointLifetime]:
        """Handle a peer's reports of limits and sends.

        Returns
        -------
        list
            The endpoints whose limit changed.
        """
        changed = []
        for report in reports:
            previous = self.limit(report.endpoint, now)
            self._update_limit(report, now)
            if self.limit(report.endpoint, now) != previous:
                changed.append(report.endpoint)
            self.sends.apply_report(peer, report.endpoint, report.sends, now)
        return changed

    def reports(
        self,
        endpoints: Container[EndpointId],
        now: float,
    ) -> tuple[LimitReport, ...]:
        """Return the reports to peers about some endpoints."""
        return tuple(
            self._build_report(
                lifetime, now, self.sends.own_counts(lifetime, now)
            )
            for lifetime in self.reported
            if lifetime.endpoint in endpoints
        )

    def all_reports(self, now: float) -> tuple[LimitReport, ...]:
        """Return the reports to peers about all endpoints.

        Endpoints with an older limit and no recent sends are left out, because
        peers have received that limit.
        """
        self._drop_expired(now)
        found = []
        for lifetime, reported in self.reported.items():
            counts = self.sends.own_counts(lifetime, now)
            if any(counts) or now - reported.reported_at < _RECENT_SECONDS:
                found.append(self._build_report(lifetime, now, counts))
        return tuple(found)

    def summary(
        self,
        endpoints: Container[EndpointId],
        now: float,
        receiver: PeerId,
    ) -> tuple[LimitReport, ...]:
        """Return the limits, with the sends of all entries but the receiver.

        Parameters
        ----------
        endpoints
            Endpoints to report about.
        receiver
            Peer to which the reports are sent.
        """
        return tuple(
            self._build_report(
                lifetime, now, self.sends.total_counts(lifetime, now, receiver)
            )
            for lifetime in self.reported
            if lifetime.endpoint in endpoints
        )

    def _update_limit(self, report: LimitReport, now: float) -> None:
        known = self.reported.get(report.endpoint)
        reported_at = now - report.age
        if known is None or reported_at > known.reported_at:
            self.reported[report.endpoint] = ReportedLimit(
                report.per_second, reported_at
            )

    def _build_report(
        self,
        endpoint: EndpointLifetime,
        now: float,
        counts: list[int],
    ) -> LimitReport:
        reported = self.reported[endpoint]
        age = round(now - reported.reported_at, 3)
        return LimitReport(endpoint, reported.per_second, age, tuple(counts))

    def _drop_expired(self, now: float) -> None:
        """Drop the limits that no answer repeated, and old sends of peers."""
        expired = [
            endpoint
            for endpoint, reported in self.reported.items()
            if now - reported.reported_at > LIMIT_VALID_SECONDS
        ]
        for endpoint in expired:
            self.reported.pop(endpoint)
        self.sends.drop_expired(now)


def _max_requests(rate: float, window: float) -> int:
    """Return how many requests a rate permits in a window.

    At least one request is always permitted, because its answer shows whether
    the limit has ended.
    """
    return max(1, math.floor(min(_MAX_RATE, rate) * window))
