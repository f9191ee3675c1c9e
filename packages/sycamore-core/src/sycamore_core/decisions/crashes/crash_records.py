"""Records of crashes, by trait and by endpoint."""

import math

import msgspec

from ...ids import TraitDigest
from ...routing import CrashReport, EndpointLifetime

#: If more than `MAX_SIMULTANEOUS_CRASHES` endpoints crash within this time, in
#: seconds, no single request is assumed to be the cause.
_MASS_CRASH_SECONDS = 0.5
MAX_SIMULTANEOUS_CRASHES = 5
#: Upper bound of the crashes that are stored for one trait: the newest.
_MAX_CRASHES = 6
#: Shortest time between two crashes that count as two moments, in seconds. All
#: endpoints of a rack crash at one moment, those under a trait one after the
#: other.
_MOMENT_SECONDS = 0.1


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
    was_answered
        Whether the content was answered shortly before the crash, which makes
        it an unlikely cause.
    """

    at: float
    had_just_begun: bool
    is_cleared: bool = False
    is_abandoned: bool = False
    was_answered: bool = False

    @property
    def is_suspicious(self) -> bool:
        """Whether the request is likely to be the cause."""
        return self.had_just_begun and not self.is_cleared


class CrashRecord(msgspec.Struct):
    """The crashes of endpoints that ran requests with one trait.

    Attributes
    ----------
    trait
        Digest of the trait.
    crashes
        By the endpoint lifetime that crashed.
    changed_at
        When this record last changed, on the monotonic clock, in seconds.
    learned_at
        When this entry last learned of a further crash, on the monotonic
        clock, in seconds.
    tries
        Number of trials of the trait after its quarantine.
    has_output
        Whether the content has had output, at an endpoint that crashed or at
        any other since the first crash. A request that crashes each endpoint
        that begins to run it has none.
    last_trial_at
        When the last trial began, on the monotonic clock, in seconds; None if
        there was none.
    ended_tries
        Number of the last trial that is known to have ended.
    trial_ended_at
        When this entry learned of this end, on the monotonic clock, in
        seconds.
    demanded_at
        When a request with the trait was last refused, on the monotonic
        clock, in seconds.
    cleared_until
        Time of the newest crash that a beginning has ruled out, on the
        monotonic clock, in seconds. All earlier ones are ruled out as well.
    """

    trait: TraitDigest
    crashes: dict[EndpointLifetime, Crash] = msgspec.field(
        default_factory=dict,
    )
    changed_at: float = 0
    learned_at: float = 0
    tries: int = 0
    has_output: bool = False
    last_trial_at: float | None = None
    ended_tries: int = 0
    trial_ended_at: float = 0
    demanded_at: float = -math.inf
    cleared_until: float = -math.inf

    @property
    def last_crash_at(self) -> float:
        """When an endpoint last crashed, on the monotonic clock, in seconds."""
        return max(crash.at for crash in self.crashes.values())

    @property
    def is_trial_in_progress(self) -> bool:
        """Whether the end of the last trial is not known."""
        return self.ended_tries < self.tries

    @property
    def last_needed_at(self) -> float:
        """When an endpoint last crashed or a request was last refused."""
        return max(self.last_crash_at, self.demanded_at)

    @property
    def crash_count(self) -> int:
        """Number of crashes that count against the trait."""
        return sum(not crash.is_cleared for crash in self.crashes.values())

    @property
    def moment_count(self) -> int:
        """Number of moments at which crashes that count have happened."""
        counted = 0
        last_at = -math.inf
        for at in sorted(self._counted_times()):
            if at - last_at >= _MOMENT_SECONDS:
                counted += 1
                last_at = at
        return counted

    @property
    def suspected_endpoints(self) -> list[EndpointLifetime]:
        """Endpoints that the trait is likely to have crashed."""
        return [
            endpoint
            for endpoint, crash in self.crashes.items()
            if crash.is_suspicious
        ]

    @property
    def counted_endpoints(self) -> list[EndpointLifetime]:
        """Endpoints whose crashes count against the trait."""
        return [
            endpoint
            for endpoint, crash in self.crashes.items()
            if not crash.is_cleared
        ]

    def merge(self, report: CrashReport, now: float) -> EndpointLifetime | None:
        """Merge a report; return the endpoint whose crash it replaces, if any.

        `is_cleared` of a report is left to the caller.
        """
        replaced = None
        if report.endpoint not in self.crashes:
            replaced = self._add(report, now)
        crash = self.crashes.get(report.endpoint)
        if crash is not None:
            crash.had_just_begun = crash.had_just_begun or report.had_just_begun
            crash.is_abandoned = crash.is_abandoned and report.is_abandoned
            if report.was_answered and not crash.was_answered:
                crash.was_answered = True
                self.changed_at = now
        self.record_trials(report.tries, now - report.try_age, now)
        self.record_trial_end(report.ended_tries, now)
        self.demanded_at = max(self.demanded_at, now - report.demand_age)
        if report.has_output:
            self.record_output(now)
        return replaced

    def clear(self, endpoint: EndpointLifetime, now: float) -> None:
        """Record that the trait was not the cause of a crash."""
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

    def record_trial_end(self, number: int, now: float) -> None:
        """Record that a trial, given by its number, has ended."""
        if number > self.ended_tries:
            self.ended_tries = number
            self.trial_ended_at = now
            self.changed_at = now

    def _add(self, report: CrashReport, now: float) -> EndpointLifetime | None:
        """Add a new crash; return the endpoint whose crash it replaces, if any.

        If the record is full, the oldest cleared crash is replaced, or the
        oldest one if none is cleared. Without the replacement, a popular
        request that was cleared of `_MAX_CRASHES` crashes would not be
        suspected of any later crash. A crash that is older than all others of
        a full record is not added.
        """
        crashed_at = now - report.age
        replaced = None
        if len(self.crashes) >= _MAX_CRASHES:
            replaced = self._oldest()
            crash = self.crashes[replaced]
            if crash.at > crashed_at and not crash.is_cleared:
                return None
            self.crashes.pop(replaced)
        self.crashes[report.endpoint] = Crash(
            at=crashed_at,
            had_just_begun=report.had_just_begun,
            is_cleared=crashed_at <= self.cleared_until,
            is_abandoned=report.is_abandoned,
        )
        self.learned_at = now
        self.changed_at = now
        return replaced

    def _oldest(self) -> EndpointLifetime:
        """Return the endpoint of the oldest crash, of a cleared one if any."""
        return min(self.crashes, key=self._replacement_priority)

    def _replacement_priority(
        self, endpoint: EndpointLifetime
    ) -> tuple[bool, float]:
        crash = self.crashes[endpoint]
        return not crash.is_cleared, crash.at

    def _counted_times(self) -> list[float]:
        return [self.crashes[one].at for one in self.counted_endpoints]


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
