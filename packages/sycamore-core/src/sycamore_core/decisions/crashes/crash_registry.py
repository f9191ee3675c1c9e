"""Crashes by request content, and the reports of crashes to peers."""

from collections.abc import Iterable

from ...hashes import HASH_BYTES
from ...ids import ContentDigest
from ...routing import CrashReport
from .crash_records import CrashRecord, Suspects, build_reports
from .recent_crashes import RecentCrashes

#: Number of crashes above which a content is quarantined, whatever other
#: requests ran at the endpoints.
MAX_CRASHES_ALLOWED = 2
#: Sum of shares in crashes at which a content is quarantined: two crashes with
#: no other suspect, or one such crash and one with another suspect.
_MIN_CRASH_SHARES = 1.5
#: How long a crash counts, in seconds. Within this time operators repair or
#: replace the model. If they do not, a further trial after this time crashes
#: one or two endpoints.
QUARANTINE_SECONDS = 900.0
#: Upper bound of the contents that are stored.
MAX_CONTENTS = 256
#: How long a change is part of every message to peers, in seconds. At least one
#: message in this time is a full update.
_RECENT_SECONDS = 1.2
#: Upper bound of the changed contents in one message, which must stay small
#: while many endpoints crash.
_MAX_RECENT_CONTENTS = 16
#: Quarantined contents that are reported again each second, in rotation. An
#: entry that was partitioned or suspended receives all of them in this way.
_REPEATED_CONTENTS = 4


class CrashRegistry:
    """Contents that endpoints were running when they crashed.

    Attributes
    ----------
    records
        Crash records by content, the oldest first.
    suspects
        Suspected contents of each crash.
    crashed
        Endpoints that crashed lately, whatever they ran.
    """

    def __init__(self) -> None:
        self.records: dict[ContentDigest, CrashRecord] = {}
        self.suspects = Suspects()
        self.crashed = RecentCrashes()
        self._by_prefix: dict[bytes, set[ContentDigest]] = {}

    @property
    def is_rotation_complete(self) -> bool:
        """Whether the rotating reports always cover all suspect contents."""
        suspects = map(self.has_enough_crashes, self.records.values())
        return sum(suspects) <= _REPEATED_CONTENTS

    def may_contain(self, digest_prefix: bytes) -> bool:
        """Return whether some stored content has this half of the digest.

        Parameters
        ----------
        digest_prefix
            First half of the digest.
        """
        return digest_prefix in self._by_prefix

    def find(self, content: ContentDigest, now: float) -> CrashRecord | None:
        """Return the record of a content; drop it if it is too old."""
        record = self.records.get(content)
        if (
            record is not None
            and now - record.last_crash_at >= QUARANTINE_SECONDS
        ):
            self._drop(content)
            return None
        return record

    def find_suspect(
        self,
        content: ContentDigest,
        now: float,
    ) -> CrashRecord | None:
        """Return the record of a content if it has enough crashes."""
        record = self.find(content, now)
        if record is None or not self.has_enough_crashes(record):
            return None
        return record

    def has_enough_crashes(self, record: CrashRecord) -> bool:
        """Return whether a content has enough crashes to be quarantined."""
        if record.crash_count > MAX_CRASHES_ALLOWED:
            return True
        return sum(self.shares(record)) >= _MIN_CRASH_SHARES

    def shares(self, record: CrashRecord) -> list[float]:
        """Return the shares with which crashes count against a content."""
        return [
            self.suspects.share(record, endpoint)
            for endpoint in record.suspected_endpoints
        ]

    def merge(self, report: CrashReport, now: float) -> None:
        """Add a report of a crash.

        A report never makes `had_just_begun` or `is_cleared` of a known crash
        false again, nor `is_abandoned` true.
        """
        if report.age >= QUARANTINE_SECONDS:
            return
        content, endpoint = report.content, report.endpoint
        self.crashed.record(endpoint, now - report.age, now)
        record = self.find(content, now) or self._add(content)
        if endpoint not in record.crashes:
            record.add(report, now)
        record.record_trials(report.tries, now - report.try_age, now)
        if report.has_output:
            record.record_output(now)
        crash = record.crashes.get(endpoint)
        if crash is None:
            return
        crash.had_just_begun = crash.had_just_begun or report.had_just_begun
        crash.is_abandoned = crash.is_abandoned and report.is_abandoned
        if report.is_cleared and not crash.is_cleared:
            record.clear(endpoint, now)
            self.suspects.discard(content, endpoint)
        if crash.is_suspicious:
            self.suspects.add(
                content, endpoint, is_abandoned=crash.is_abandoned
            )

    def clear(self, content: ContentDigest, now: float) -> None:
        """Record that a content was not the cause of its crashes so far."""
        record = self.records.get(content)
        if record is None:
            return
        for endpoint, crash in record.crashes.items():
            if not crash.is_cleared:
                record.clear(endpoint, now)
                self.suspects.discard(content, endpoint)

    def has_output(self, content: ContentDigest) -> bool:
        """Return whether a content has had output since its first crash."""
        record = self.records.get(content)
        return record is not None and record.has_output

    def is_explained(self, record: CrashRecord) -> bool:
        """Return whether another content explains all crashes of a content.

        The content has had output, and another one that has had none is a
        suspect of each of its crashes.
        """
        if not record.has_output:
            return False
        suspects = [
            self.suspects.others_at(record.content, (endpoint,))
            for endpoint, crash in record.crashes.items()
            if not crash.is_cleared
        ]
        common = set.intersection(*suspects) if suspects else set()
        return not all(map(self.has_output, common))

    def recent_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return reports of recent changes, for every message to peers."""
        start = now - _RECENT_SECONDS
        recent = [
            content
            for content, record in self.records.items()
            if record.changed_at >= start
        ]
        return self._build_reports(recent[-_MAX_RECENT_CONTENTS:], now)

    def rotating_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return reports of recent changes and some quarantined contents."""
        quarantined = [
            content
            for content, record in self.records.items()
            if self.has_enough_crashes(record)
        ]
        start = int(now) * _REPEATED_CONTENTS % max(1, len(quarantined))
        repeated = self._build_reports(
            quarantined[start : start + _REPEATED_CONTENTS], now
        )
        return tuple(dict.fromkeys((*self.recent_reports(now), *repeated)))

    def all_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the reports of all crashes, for a peer that joins."""
        return self._build_reports(self.records, now)

    def _build_reports(
        self,
        digests: Iterable[ContentDigest],
        now: float,
    ) -> tuple[CrashReport, ...]:
        return build_reports(self.records, digests, now)

    def _add(self, content: ContentDigest) -> CrashRecord:
        if len(self.records) >= MAX_CONTENTS:
            self._drop(min(self.records, key=self._retention_priority))
        record = CrashRecord(content)
        self.records[content] = record
        digest_prefix = content[:HASH_BYTES]
        self._by_prefix.setdefault(digest_prefix, set()).add(content)
        return record

    def _retention_priority(self, content: ContentDigest) -> tuple[bool, float]:
        record = self.records[content]
        return self.has_enough_crashes(record), record.last_crash_at

    def _drop(self, content: ContentDigest) -> None:
        record = self.records.pop(content)
        for endpoint in record.crashes:
            self.suspects.discard(content, endpoint)
        digest_prefix = content[:HASH_BYTES]
        same_prefix = self._by_prefix[digest_prefix]
        same_prefix.discard(content)
        if not same_prefix:
            self._by_prefix.pop(digest_prefix)
