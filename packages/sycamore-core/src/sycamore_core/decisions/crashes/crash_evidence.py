"""What one entry knows of crashes of endpoints and of their causes.

Load pattern: endpoints crash one after the other under requests of several
entries, while other requests with the same traits are answered elsewhere.

Without this, each entry judges by what it has sent itself. Crashes that this
entry observed and those that its peers report are merged, and so is what speaks
for a trait: output, answers, and requests that began without a crash.
"""

from collections.abc import Iterable

import msgspec

from ...ids import ContentDigest, PartDigest, TraitDigest
from ...routing import CrashReport, EndpointLifetime
from .abandoned import AbandonedAttempt, AbandonedAttempts
from .beginnings import Beginnings, exonerated_until
from .crash_records import MassCrashDetector
from .crash_registry import CrashRegistry
from .recent_answers import RecentAnswers
from .traits import is_part


class CrashEvidence:
    """Crashes, and what speaks for the traits that are suspected of them.

    Attributes
    ----------
    book
        The crashes that this entry knows of.
    beginnings
        Requests of this entry that have begun without a crash.
    abandoned
        Attempts of this entry that were given up a short time ago.
    answers
        Contents that this entry has answered a short time ago.
    """

    def __init__(self) -> None:
        self.book = CrashRegistry()
        self.beginnings = Beginnings()
        self.abandoned = AbandonedAttempts()
        self.answers = RecentAnswers()
        self._mass_crashes = MassCrashDetector()

    def record_crash(
        self,
        content: ContentDigest,
        endpoint: EndpointLifetime,
        now: float,
        *,
        had_just_begun: bool,
        has_output: bool = False,
        parts: Iterable[PartDigest] = (),
    ) -> bool:
        """Record a crash of an endpoint that ran a request of this entry.

        Parameters
        ----------
        had_just_begun
            Whether the request had run for a moment at most.
        has_output
            Whether the request has had output there.
        parts
            Parts of its prompt, if it had not begun without a crash there.

        Returns
        -------
        bool
            Whether the crash counts against the content. If many endpoints
            crash at the same time, it does not.
        """
        is_mass_crash = self._mass_crashes.record(endpoint, now)
        for part in parts:
            report = CrashReport(part, endpoint, 0, had_just_begun=True)
            self._blame_part(report, now)
        if is_mass_crash:
            return False
        report = CrashReport(
            content,
            endpoint,
            0,
            had_just_begun=had_just_begun,
            has_output=has_output,
        )
        self.merge(report, now)
        return True

    def record_output(self, content: ContentDigest, now: float) -> None:
        """Record that a request has had output at an endpoint."""
        record = self.book.records.get(content)
        if record is not None:
            record.record_output(now)

    def record_beginning(
        self, parts: Iterable[PartDigest], began_at: float, now: float
    ) -> None:
        """Record that a request has begun without a crash.

        Parameters
        ----------
        parts
            Parts of its prompt.
        """
        self.beginnings.record(parts, began_at, now)
        for part in parts:
            self.book.clear(part, now, until=exonerated_until(began_at))

    def record_abandoned(self, attempt: AbandonedAttempt, now: float) -> None:
        """Record an attempt that its endpoint may still run."""
        self.abandoned.record(attempt, now)

    def blame_abandoned(
        self, endpoint: EndpointLifetime, now: float
    ) -> list[AbandonedAttempt]:
        """Record a crash for the requests that were given up at an endpoint.

        Returns
        -------
        list
            The attempts; none if the endpoint has not crashed.
        """
        crashed_at = self.book.crashed.find(endpoint)
        if crashed_at is None:
            return []
        attempts = self.abandoned.take(endpoint, crashed_at)
        for attempt in attempts:
            report = CrashReport(
                attempt.content,
                endpoint,
                now - crashed_at,
                had_just_begun=attempt.had_just_begun,
                is_abandoned=True,
                has_output=attempt.has_output,
            )
            self.merge(report, now)
            for part in attempt.parts:
                report = msgspec.structs.replace(report, trait=part)
                self._blame_part(report, now)
        return attempts

    def record_answer(self, content: ContentDigest, now: float) -> None:
        """Record that a request was answered completely."""
        self.answers.record(content, now)
        self.book.clear(content, now)

    def record_trial(self, trait: TraitDigest, number: int, now: float) -> None:
        """Record a trial of a trait by its number."""
        record = self.book.records.get(trait)
        if record is not None:
            record.record_trials(number, now, now)

    def record_trial_end(
        self, trait: TraitDigest, number: int, now: float
    ) -> None:
        """Record that a trial of a trait, given by its number, has ended."""
        record = self.book.records.get(trait)
        if record is not None:
            record.record_trial_end(number, now)

    def record_refusal(self, trait: TraitDigest, now: float) -> None:
        """Record that a request was refused because of a trait.

        Without this, a part would be forgotten while requests with it still
        come, and would crash as many endpoints again.
        """
        record = self.book.records.get(trait)
        if record is not None and is_part(trait):
            record.demanded_at = now

    def merge(self, report: CrashReport, now: float) -> None:
        """Merge a report, with what this entry knows of its trait.

        Peers learn of it by the next reports of this entry.
        """
        if is_part(report.trait):
            if self._is_exonerated(report, now):
                report = msgspec.structs.replace(report, is_cleared=True)
        elif self.answers.speak_for(report.trait, now - report.age):
            report = msgspec.structs.replace(report, was_answered=True)
        self.book.merge(report, now)

    def _blame_part(self, report: CrashReport, now: float) -> None:
        """Record a crash against a part, unless it is known to be harmless."""
        if not self._is_exonerated(report, now):
            self.book.merge(report, now)

    def _is_exonerated(self, report: CrashReport, now: float) -> bool:
        return self.beginnings.exonerates(report.trait, now - report.age)
