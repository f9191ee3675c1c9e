"""Records of crashes, by request content and by endpoint."""

from collections.abc import Iterable, Mapping

import msgspec

from ...ids import ContentDigest
from ...routing import CrashReport, EndpointLifetime

#: If more than `MAX_SIMULTANEOUS_CRASHES` endpoints crash within this time, in
#: seconds, no single request is assumed to be the cause.
_MASS_CRASH_SECONDS = 0.5
MAX_SIMULTANEOUS_CRASHES = 5
#: Upper bound of the crashes that are stored for one content. Further crashes
#: change no decision.
_MAX_CRASHES = 6


class Crash(msgspec.Struct):
    """One crash of an endpoint that was running a request.

    Attributes
    ----------
    at
        Time of the crash, on the monotonic clock, in seconds.
    had_just_begun
        Whether the request had run for a moment at most.
    is_cleared
        Whether the request was answered after the crash, which shows that it
        was not the cause.
    is_abandoned
        Whether the request had been given up before the crash, so that it may
        have ended there earlier.
    """

    at: float
    had_just_begun: bool
    is_cleared: bool = False
    is_abandoned: bool = False

    @property
    def is_suspicious(self) -> bool:
        """Whether the request is likely to be the cause."""
        return self.had_just_begun and not self.is_cleared


class CrashRecord(msgspec.Struct):
    """The crashes of endpoints that ran requests with one content.

    Attributes
    ----------
    content
        Digest of the content.
    crashes
        By the endpoint lifetime that crashed.
    changed_at
        When this record last changed, on the monotonic clock, in seconds.
    learned_at
        When this entry last learned of a further crash, on the monotonic
        clock, in seconds.
    tries
        Number of trials of the content after its quarantine.
    has_output
        Whether the content has had output, at an endpoint that crashed or at
        any other since the first crash. A request that crashes each endpoint
        that begins to run it has none.
    last_trial_at
        When the last trial began, on the monotonic clock, in seconds; None if
        there was none.
    """

    content: ContentDigest
    crashes: dict[EndpointLifetime, Crash] = msgspec.field(
        default_factory=dict,
    )
    changed_at: float = 0
    learned_at: float = 0
    tries: int = 0
    has_output: bool = False
    last_trial_at: float | None = None

    @property
    def last_crash_at(self) -> float:
        """When an endpoint last crashed, on the monotonic clock, in seconds."""
        return max(crash.at for crash in self.crashes.values())

    @property
    def crash_count(self) -> int:
        """Number of crashes that count against the content."""
        return sum(not crash.is_cleared for crash in self.crashes.values())

    @property
    def suspected_endpoints(self) -> list[EndpointLifetime]:
        """Endpoints that the content is likely to have crashed."""
        return [
            endpoint
            for endpoint, crash in self.crashes.items()
            if crash.is_suspicious
        ]

    def add(self, report: CrashReport, now: float) -> None:
        """Add a new crash, if there is capacity for it.

        If the record is full, a new crash replaces the oldest cleared one. If
        no crash is cleared, the new crash is dropped. Without the replacement,
        a popular request that was cleared of `_MAX_CRASHES` crashes would not
        be suspected of any later crash.
        """
        if len(self.crashes) >= _MAX_CRASHES and not self._drop_cleared():
            return
        self.crashes[report.endpoint] = Crash(
            at=now - report.age,
            had_just_begun=report.had_just_begun,
            is_cleared=report.is_cleared,
            is_abandoned=report.is_abandoned,
        )
        self.learned_at = now
        self.changed_at = now

    def clear(self, endpoint: EndpointLifetime, now: float) -> None:
        """Record that the content was not the cause of a crash."""
        self.crashes[endpoint].is_cleared = True
        self.changed_at = now

    def record_output(self, now: float) -> None:
        """Record that the content has had output."""
        if not self.has_output:
            self.has_output = True
            self.changed_at = now

    def record_trials(
        self, trials: int, last_trial_at: float, now: float
    ) -> None:
        """Record the number of trials, if it is higher than before."""
        if trials > self.tries:
            self.tries = trials
            self.last_trial_at = last_trial_at
            self.changed_at = now

    def _drop_cleared(self) -> bool:
        """Drop the oldest cleared crash; return whether there was one."""
        cleared = [
            endpoint
            for endpoint, crash in self.crashes.items()
            if crash.is_cleared
        ]
        if not cleared:
            return False
        self.crashes.pop(min(cleared, key=self._crashed_at))
        return True

    def _crashed_at(self, endpoint: EndpointLifetime) -> float:
        return self.crashes[endpoint].at


class Suspects:
    """Contents that are likely to have crashed each endpoint.

    A request that was given up before the crash may have ended there earlier.
    It takes a part of the shares only of those that are less likely to be the
    cause: contents that have had output.
    """

    def __init__(self) -> None:
        self._present: dict[EndpointLifetime, set[ContentDigest]] = {}
        self._abandoned: dict[EndpointLifetime, set[ContentDigest]] = {}

    def add(
        self,
        content: ContentDigest,
        endpoint: EndpointLifetime,
        *,
        is_abandoned: bool = False,
    ) -> None:
        """Add a content to the suspects of a crash."""
        self.discard(content, endpoint)
        suspects = self._abandoned if is_abandoned else self._present
        suspects.setdefault(endpoint, set()).add(content)

    def discard(
        self,
        content: ContentDigest,
        endpoint: EndpointLifetime,
    ) -> None:
        """Remove a content from the suspects of a crash."""
        for by_endpoint in (self._present, self._abandoned):
            suspects = by_endpoint.get(endpoint, set())
            suspects.discard(content)
            if not suspects:
                by_endpoint.pop(endpoint, None)

    def others_at(
        self,
        content: ContentDigest,
        endpoints: Iterable[EndpointLifetime],
    ) -> set[ContentDigest]:
        """Return the other contents that are suspected of these crashes."""
        found: set[ContentDigest] = set()
        for endpoint in endpoints:
            found.update(self._present.get(endpoint, ()))
            found.update(self._abandoned.get(endpoint, ()))
        return found - {content}

    def share(self, record: CrashRecord, endpoint: EndpointLifetime) -> float:
        """Return the share with which a crash counts against a content.

        The share is 1 divided by the number of suspects.
        """
        suspects = self._present.get(endpoint, set()) | {record.content}
        if record.has_output:
            suspects |= self._abandoned.get(endpoint, set())
        return 1 / len(suspects)


class MassCrashDetector:
    """Detects that many endpoints crash at the same time."""

    def __init__(self) -> None:
        self._recent: dict[EndpointLifetime, float] = {}

    def record(self, endpoint: EndpointLifetime, now: float) -> bool:
        """Record a crash; return whether too many crashes coincide with it."""
        start = now - _MASS_CRASH_SECONDS
        self._recent = {
            crashed_endpoint: at
            for crashed_endpoint, at in self._recent.items()
            if at >= start
        }
        self._recent[endpoint] = now
        return len(self._recent) > MAX_SIMULTANEOUS_CRASHES


def build_reports(
    records: Mapping[ContentDigest, CrashRecord],
    digests: Iterable[ContentDigest],
    now: float,
) -> tuple[CrashReport, ...]:
    """Return the reports to peers about some contents."""
    return tuple(
        CrashReport(
            content=content,
            endpoint=endpoint,
            age=round(now - crash.at, 3),
            had_just_begun=crash.had_just_begun,
            is_cleared=crash.is_cleared,
            tries=records[content].tries,
            try_age=round(now - (records[content].last_trial_at or now), 3),
            is_abandoned=crash.is_abandoned,
            has_output=records[content].has_output,
        )
        for content in digests
        for endpoint, crash in records[content].crashes.items()
    )
