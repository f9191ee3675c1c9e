"""Crashes by request, as one entry knows them, and what peers are told."""

from collections.abc import Iterable

from ...hashes import HASH_BYTES
from ...ids import ContentDigest
from ...routing import CrashReport
from .crash_records import CrashRecord, Suspects, reports_of

#: Crashes that hold a request back, whatever else ran there.
MOST_CRASHES_ALLOWED = 2
#: Sum of shares in crashes that does: two that are its own, or one that is and
#: one that it shares with another.
_ENOUGH_SHARES = 1.5
#: How long a crash counts, in seconds: until then operators have mended or
#: replaced the model, and a further try costs one endpoint or two.
HELD_SECONDS = 900.0
#: Contents that are remembered at most.
MOST_CONTENTS = 256
#: How long peers are told of news in every message, in seconds: at least one
#: of these names everything.
_NEWS_SECONDS = 1.2
#: Contents at most of which one message tells: it must stay small while many
#: endpoints crash.
_MOST_TOLD = 16
#: Contents that are held back of which peers are told once a second, in turn.
#: An entry that was cut off, or was frozen, learns of all that way.
_RETOLD = 4


class CrashBook:
    """What is known of contents under which endpoints crashed.

    Attributes
    ----------
    records
        By content, the oldest first.
    suspects
        By crash.
    """

    def __init__(self) -> None:
        self.records: dict[ContentDigest, CrashRecord] = {}
        self.suspects = Suspects()
        self._outlines: dict[bytes, set[ContentDigest]] = {}

    def may_know(self, outline: bytes) -> bool:
        """Return whether the content with this first half may be known."""
        return outline in self._outlines

    def find(self, content: ContentDigest, now: float) -> CrashRecord | None:
        """Return what is known of a content, unless it is too old."""
        record = self.records.get(content)
        if record is not None and now - record.last_at >= HELD_SECONDS:
            self._drop(content)
            return None
        return record

    def find_suspect(
        self,
        content: ContentDigest,
        now: float,
    ) -> CrashRecord | None:
        """Return what is known of a content that is to be held, or tried."""
        record = self.find(content, now)
        if record is None or not self.has_enough(record):
            return None
        return record

    def has_enough(self, record: CrashRecord) -> bool:
        """Return whether a content has enough crashes to be held back."""
        if record.counted > MOST_CRASHES_ALLOWED:
            return True
        shares = map(self.suspects.share, record.suspicious)
        return sum(shares) >= _ENOUGH_SHARES

    def merge(self, report: CrashReport, now: float) -> None:
        """Add what a report says; what is known of a crash only grows."""
        if report.age >= HELD_SECONDS:
            return
        content, endpoint = report.content, report.endpoint
        record = self.find(content, now) or self._new(content)
        if endpoint not in record.crashes:
            record.add(report, now)
        record.note_tries(report.tries, now - report.try_age, now)
        crash = record.crashes.get(endpoint)
        if crash is None:
            return
        crash.had_just_begun = crash.had_just_begun or report.had_just_begun
        if report.is_cleared and not crash.is_cleared:
            record.clear(endpoint, now)
            self.suspects.discard(content, endpoint)
        if crash.is_suspicious:
            self.suspects.add(content, endpoint)

    def clear(self, content: ContentDigest, now: float) -> None:
        """Note that a content was the cause of none of its crashes."""
        record = self.records.get(content)
        if record is None:
            return
        for endpoint, crash in record.crashes.items():
            if not crash.is_cleared:
                record.clear(endpoint, now)
                self.suspects.discard(content, endpoint)

    def news(self, now: float) -> tuple[CrashReport, ...]:
        """Return what peers are to be told in every message."""
        begin = now - _NEWS_SECONDS
        latest = [
            content
            for content, record in self.records.items()
            if record.news_at >= begin
        ]
        return self._reports(latest[-_MOST_TOLD:], now)

    def in_turn(self, now: float) -> tuple[CrashReport, ...]:
        """Return the news, and some contents that are held back."""
        held = [
            content
            for content, record in self.records.items()
            if self.has_enough(record)
        ]
        begin = int(now) * _RETOLD % max(1, len(held))
        retold = self._reports(held[begin : begin + _RETOLD], now)
        return tuple(dict.fromkeys((*self.news(now), *retold)))

    def everything(self, now: float) -> tuple[CrashReport, ...]:
        """Return all that is known, for a newcomer."""
        return self._reports(self.records, now)

    def _reports(
        self,
        digests: Iterable[ContentDigest],
        now: float,
    ) -> tuple[CrashReport, ...]:
        return reports_of(self.records, digests, now)

    def _new(self, content: ContentDigest) -> CrashRecord:
        if len(self.records) >= MOST_CONTENTS:
            self._drop(min(self.records, key=self._worth_keeping))
        record = CrashRecord()
        self.records[content] = record
        outline = content[:HASH_BYTES]
        self._outlines.setdefault(outline, set()).add(content)
        return record

    def _worth_keeping(self, content: ContentDigest) -> tuple[bool, float]:
        record = self.records[content]
        return self.has_enough(record), record.last_at

    def _drop(self, content: ContentDigest) -> None:
        record = self.records.pop(content)
        for endpoint in record.crashes:
            self.suspects.discard(content, endpoint)
        outline = content[:HASH_BYTES]
        same = self._outlines[outline]
        same.discard(content)
        if not same:
            self._outlines.pop(outline)
