"""Crashes by trait: by the content of requests and by parts of prompts."""

import math
from collections.abc import Set

from ...hashes import HASH_BYTES
from ...ids import TraitDigest
from ...routing import CrashReport, EndpointLifetime
from .crash_records import CrashRecord
from .crash_reports import (
    build_reports,
    is_rotation_complete,
    recent_reports,
    rotating_reports,
)
from .recent_crashes import RecentCrashes
from .suspects import Suspects
from .traits import is_part

#: Number of crashes above which a content is quarantined, whatever other
#: requests ran at the endpoints.
MAX_CRASHES_ALLOWED = 2
#: Sum of shares in crashes at which a content is quarantined: two crashes with
#: no other suspect, or one such crash and one with another suspect.
_MIN_CRASH_SHARES = 1.5
#: Moments of crashes at which a part is quarantined. A harmless part may be
#: present at two by chance, without output in between.
MIN_PART_MOMENTS = 3
#: Crashes at which a part is suspect even if they happened at fewer moments. A
#: rack that fails is told from a cause by a trial.
MIN_PART_CRASHES = 5
#: How long a crash counts, in seconds. Within this time operators repair or
#: replace the model. If they do not, a further trial after this time crashes
#: one or two endpoints.
QUARANTINE_SECONDS = 900.0
#: Upper bound of the traits that are stored.
MAX_TRAITS = 256
NO_TRAITS: frozenset[TraitDigest] = frozenset()


class CrashRegistry:
    """Traits of the requests that endpoints were running as they crashed.

    Attributes
    ----------
    records
        Crash records by trait, the oldest first.
    suspects
        Suspected traits of each crash.
    crashed
        Endpoints that crashed lately, whatever they ran.
    """

    def __init__(self) -> None:
        self.records: dict[TraitDigest, CrashRecord] = {}
        self.suspects = Suspects()
        self.crashed = RecentCrashes()
        self._by_prefix: dict[bytes, set[TraitDigest]] = {}

    def may_contain(self, digest_prefix: bytes) -> bool:
        """Return whether some stored trait may have this digest.

        Parameters
        ----------
        digest_prefix
            First half of the digest of a content, or the digest of a part.
        """
        return digest_prefix in self._by_prefix

    def find(self, trait: TraitDigest, now: float) -> CrashRecord | None:
        """Return the record of a trait; drop it if it is too old."""
        record = self.records.get(trait)
        if (
            record is not None
            and now - record.last_needed_at >= QUARANTINE_SECONDS
        ):
            self._drop(trait)
            return None
        return record

    def find_suspect(
        self,
        trait: TraitDigest,
        now: float,
    ) -> CrashRecord | None:
        """Return the record of a trait if it has enough crashes."""
        record = self.find(trait, now)
        if record is None or not self.has_enough_crashes(record):
            return None
        return record

    def has_enough_crashes(self, record: CrashRecord) -> bool:
        """Return whether a trait has enough crashes to be quarantined."""
        if is_part(record.trait):
            is_in_series = record.moment_count >= MIN_PART_MOMENTS
            return is_in_series or record.crash_count >= MIN_PART_CRASHES
        if record.crash_count > MAX_CRASHES_ALLOWED:
            return True
        return sum(self.shares(record)) >= _MIN_CRASH_SHARES

    def shares(self, record: CrashRecord) -> list[float]:
        """Return the shares with which crashes count against a trait.

        A crash shortly after an answer of the content has none, and counts as
        one of `MAX_CRASHES_ALLOWED` only.
        """
        return [
            self.suspects.share(record, endpoint)
            for endpoint in record.suspected_endpoints
            if not record.crashes[endpoint].was_answered
        ]

    def merge(self, report: CrashReport, now: float) -> None:
        """Add a report of a crash.

        A report never makes `had_just_begun`, `is_cleared` or `was_answered` of
        a known crash false again, nor `is_abandoned` true.
        """
        if min(report.age, report.demand_age) >= QUARANTINE_SECONDS:
            return
        trait, endpoint = report.trait, report.endpoint
        self.crashed.record(endpoint, now - report.age, now)
        record = self.find(trait, now) or self._add(trait)
        replaced = record.merge(report, now)
        if replaced is not None:
            self.suspects.discard(trait, replaced)
        crash = record.crashes.get(endpoint)
        if crash is None:
            return
        if report.is_cleared:
            self._clear_crash(record, endpoint, now)
        if crash.is_suspicious:
            self.suspects.add(trait, endpoint, is_abandoned=crash.is_abandoned)

    def clear(
        self, trait: TraitDigest, now: float, until: float = math.inf
    ) -> None:
        """Record that a trait was not the cause of its crashes.

        Parameters
        ----------
        until
            Time of the last crash for which this is known.
        """
        record = self.records.get(trait)
        if record is None:
            return
        for endpoint in record.counted_endpoints:
            if record.crashes[endpoint].at <= until:
                self._clear_crash(record, endpoint, now)

    def has_output(self, trait: TraitDigest) -> bool:
        """Return whether a content has had output since its first crash."""
        record = self.records.get(trait)
        return record is not None and record.has_output

    def is_explained(
        self,
        record: CrashRecord,
        beside: Set[TraitDigest] = NO_TRAITS,
    ) -> bool:
        """Return whether another trait explains all crashes of a trait.

        The other one has had no output and is a suspect of each of these
        crashes. A content can be explained only if it has had output.

        Parameters
        ----------
        beside
            Traits that explain nothing, because the request has them as well.
        """
        is_harmless = is_part(record.trait) or record.has_output
        if not is_harmless:
            return False
        suspects = [
            self.suspects.others_at(record.trait, (endpoint,))
            for endpoint in record.counted_endpoints
        ]
        common = set.intersection(*suspects) if suspects else set()
        return not all(map(self.has_output, common - beside))

    @property
    def is_rotation_complete(self) -> bool:
        """Whether the rotating reports always cover all suspect traits."""
        suspects = filter(self.has_enough_crashes, self.records.values())
        return is_rotation_complete(suspects)

    def recent_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return reports of recent changes, for every message to peers."""
        return recent_reports(self.records.values(), now)

    def rotating_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return reports of recent changes and some quarantined traits."""
        suspects = filter(self.has_enough_crashes, self.records.values())
        repeated = rotating_reports(suspects, now)
        return tuple(dict.fromkeys((*self.recent_reports(now), *repeated)))

    def all_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the reports of all crashes, for a peer that joins."""
        return build_reports(self.records.values(), now)

    def _clear_crash(
        self, record: CrashRecord, endpoint: EndpointLifetime, now: float
    ) -> None:
        """Record that a trait was not the cause of a crash.

        A beginning that rules out a part as the cause of one crash rules it
        out for all earlier ones.
        """
        crash = record.crashes[endpoint]
        if not crash.is_cleared:
            record.clear(endpoint, now)
        self.suspects.discard(record.trait, endpoint)
        if is_part(record.trait) and crash.at > record.cleared_until:
            record.cleared_until = crash.at
            self.clear(record.trait, now, until=crash.at)

    def _add(self, trait: TraitDigest) -> CrashRecord:
        if len(self.records) >= MAX_TRAITS:
            self._drop(min(self.records, key=self._retention_priority))
        record = CrashRecord(trait)
        self.records[trait] = record
        digest_prefix = trait[:HASH_BYTES]
        self._by_prefix.setdefault(digest_prefix, set()).add(trait)
        return record

    def _retention_priority(
        self, trait: TraitDigest
    ) -> tuple[bool, int, float]:
        """Return what is compared to find the record that is dropped first.

        A part that has crashed two endpoints is kept before the contents of
        unlike requests, each of which has crashed one.
        """
        record = self.records[trait]
        crashes = record.crash_count
        is_suspect = crashes > 1 and self.has_enough_crashes(record)
        return is_suspect, crashes, record.last_needed_at

    def _drop(self, trait: TraitDigest) -> None:
        record = self.records.pop(trait)
        for endpoint in record.crashes:
            self.suspects.discard(trait, endpoint)
        digest_prefix = trait[:HASH_BYTES]
        same_prefix = self._by_prefix[digest_prefix]
        same_prefix.discard(trait)
        if not same_prefix:
            self._by_prefix.pop(digest_prefix)
