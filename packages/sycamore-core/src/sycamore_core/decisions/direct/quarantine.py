"""Which requests are not sent anywhere, as endpoints crash under them.

Load pattern: one request crashes each engine that begins to run it. It comes
again about once a second, under a new id each time and at any entry. Beside it
an engine runs up to seven others, and each of these loses its stream.

Without it: the attempts of one try are bounded, but nothing connects one try
with the next. Each takes two engines, until a fleet of 18 is down.

A request is known by its content. Three crashes of endpoints under it hold it
back everywhere; two do where it had just begun to run, since that is when such
requests do harm, and few others had. A crash is shared by all that had just
begun there: they often go on to the next endpoint together, and what is popular
is at every endpoint. Entries tell one another, and each counts a crash once,
whoever saw it. An answer clears a content of the crashes before, as far as they
are known, and leaves them to the others.

When many endpoints crash at once the cause is another one, and nothing is
noted.

A content that was the only suspect of two crashes is held for long. Any other
may be a bystander, such as a popular call that was everywhere: it is held for a
moment, and longer each time that a further endpoint crashes under it. A
bystander is answered in between.
"""

from collections.abc import Iterable

from ...hashes import HASH_BYTES
from ...ids import ContentDigest
from ...routing import CrashReport, EndpointLifetime
from .crash_records import CrashRecord, MassCrash, Suspects, reports_of

#: Crashes that hold a request back, whatever else ran there.
_MOST_CRASHES_ALLOWED = 2
#: Sum of shares in crashes that does: two that are its own, or one that is and
#: one that it shares with another.
_ENOUGH_SHARES = 1.5
#: How long a crash counts, in seconds: until then operators have mended or
#: replaced the model, and a further try costs one endpoint or two.
HELD_SECONDS = 900.0
#: Crashes of which a content was the only suspect that make it certain. Of one
#: the cause may not be known: the entry that had sent it there has died.
_CERTAIN_CRASHES = 2
#: How long a content is held that may be a bystander, in seconds: endpoints
#: that crashed are back by then. Each further crash makes it longer.
DOUBT_SECONDS = 10.0
_DOUBT_FACTOR = 9.0
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


class Quarantine:
    """Contents under which endpoints crashed, as one entry knows them.

    Examples
    --------
    >>> held = Quarantine()
    >>> for name in ('e1', 'e2'):
    ...     crashed = EndpointLifetime(name, 5)
    ...     held.crashed(b'digest', crashed, 10, had_just_begun=True)
    >>> held.is_held(b'digest', now=11)
    True
    """

    def __init__(self) -> None:
        self.records: dict[ContentDigest, CrashRecord] = {}
        self._outlines: dict[bytes, set[ContentDigest]] = {}
        self._suspects = Suspects()
        self._mass = MassCrash()

    def crashed(
        self,
        content: ContentDigest,
        endpoint: EndpointLifetime,
        now: float,
        *,
        had_just_begun: bool,
    ) -> None:
        """Note that an endpoint crashed with a request of this entry."""
        if self._mass.is_one(endpoint, now):
            return
        self._merge(
            CrashReport(content, endpoint, 0, had_just_begun=had_just_begun),
            now,
        )

    def answered(self, content: ContentDigest, now: float) -> None:
        """Note that a request got its whole answer."""
        record = self.records.get(content)
        if record is None:
            return
        for endpoint, crash in record.crashes.items():
            if not crash.is_cleared:
                self._clear(content, endpoint, now)

    def hear(
        self,
        reports: Iterable[CrashReport],
        now: float,
    ) -> list[ContentDigest]:
        """Take it from a peer that endpoints crashed.

        Returns
        -------
        list
            The contents that are held back from now on and were not before.
        """
        found = []
        for report in reports:
            was_held = self.is_held(report.content, now)
            self._merge(report, now)
            if not was_held and self.is_held(report.content, now):
                found.append(report.content)
        return found

    def may_know(self, outline: bytes) -> bool:
        """Return whether the content with this first half may be known.

        For all others the body need not be read.
        """
        return outline in self._outlines

    def is_held(self, content: ContentDigest, now: float) -> bool:
        """Return whether a request is not to be sent anywhere."""
        return self.seconds_left(content, now) > 0

    def seconds_left(self, content: ContentDigest, now: float) -> float:
        """Return for how long a request will be held back."""
        record = self._record(content, now)
        if record is None or not self._has_enough(record):
            return 0
        shares = map(self._suspects.share, record.suspicious)
        alone = sum(share >= 1 for share in shares)
        is_certain = alone >= _CERTAIN_CRASHES
        held = HELD_SECONDS if is_certain else _doubt_seconds(record.counted)
        return max(0, record.last_at + held - now)

    def crashes(self, content: ContentDigest) -> int:
        """Return how many crashes count against a request."""
        record = self.records.get(content)
        return 0 if record is None else record.counted

    def fellow_suspects(self, content: ContentDigest) -> set[ContentDigest]:
        """Return the contents that are suspected of the same crashes."""
        record = self.records.get(content)
        crashes = () if record is None else record.suspicious
        return self._suspects.beside(content, crashes)

    def news(self, now: float) -> tuple[CrashReport, ...]:
        """Return what peers are to be told in every message."""
        begin = now - _NEWS_SECONDS
        latest = [
            content
            for content, record in self.records.items()
            if record.news_at >= begin
        ]
        return reports_of(self.records, latest[-_MOST_TOLD:], now)

    def in_turn(self, now: float) -> tuple[CrashReport, ...]:
        """Return the news, and some contents that are held back."""
        held = [
            content
            for content, record in self.records.items()
            if self._has_enough(record)
        ]
        begin = int(now) * _RETOLD % max(1, len(held))
        retold = reports_of(self.records, held[begin : begin + _RETOLD], now)
        return tuple(dict.fromkeys((*self.news(now), *retold)))

    def everything(self, now: float) -> tuple[CrashReport, ...]:
        """Return all that is known, for a newcomer."""
        return reports_of(self.records, list(self.records), now)

    def _has_enough(self, record: CrashRecord) -> bool:
        """Return whether a content is to be held back."""
        if record.counted > _MOST_CRASHES_ALLOWED:
            return True
        shares = map(self._suspects.share, record.suspicious)
        return sum(shares) >= _ENOUGH_SHARES

    def _clear(
        self,
        content: ContentDigest,
        endpoint: EndpointLifetime,
        now: float,
    ) -> None:
        """Note that a content was not the cause of a crash."""
        record = self.records[content]
        record.crashes[endpoint].is_cleared = True
        record.news_at = now
        self._suspects.discard(content, endpoint)

    def _merge(self, report: CrashReport, now: float) -> None:
        """Add what a report says; what is known of a crash only grows."""
        if report.age >= HELD_SECONDS:
            return
        content, endpoint = report.content, report.endpoint
        record = self._record(content, now) or self._new(content)
        if endpoint not in record.crashes:
            record.add(report, now)
        crash = record.crashes.get(endpoint)
        if crash is None:
            return
        crash.had_just_begun = crash.had_just_begun or report.had_just_begun
        if report.is_cleared and not crash.is_cleared:
            self._clear(content, endpoint, now)
        if crash.is_suspicious:
            self._suspects.add(content, endpoint)

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
        return self._has_enough(record), record.last_at

    def _record(
        self,
        content: ContentDigest,
        now: float,
    ) -> CrashRecord | None:
        """Return what is known of a content, unless it is too old."""
        record = self.records.get(content)
        if record is not None and now - record.last_at >= HELD_SECONDS:
            self._drop(content)
            return None
        return record

    def _drop(self, content: ContentDigest) -> None:
        record = self.records.pop(content)
        for endpoint in record.crashes:
            self._suspects.discard(content, endpoint)
        outline = content[:HASH_BYTES]
        same = self._outlines[outline]
        same.discard(content)
        if not same:
            self._outlines.pop(outline)


def _doubt_seconds(crashes: int) -> float:
    """Return how long a content is held that may be a bystander."""
    further = max(0, crashes - _MOST_CRASHES_ALLOWED - 1)
    return min(HELD_SECONDS, DOUBT_SECONDS * _DOUBT_FACTOR**further)
