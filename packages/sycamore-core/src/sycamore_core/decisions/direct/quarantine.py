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

For how long a request is held, by its crashes: those at which it alone had just
begun, those at which another had as well, and those at which it had run on.

=====  ======  ======  ===================================================
alone  shared  run on  held
=====  ======  ======  ===================================================
1      0       0       not at all: an attempt elsewhere is right
2      0       0       for long: nothing else can be the cause
1      1       0       for a moment: the shares are one and a half
0      2       0       not at all: the shares are one
three in all           for a moment; for long if it was alone at two
each one more          nine times as long
=====  ======  ======  ===================================================

Who is held for a moment may be a bystander, such as a popular call that was
everywhere. Then it is tried, by one attempt in the whole fleet (see `trials`):
a bystander is answered, and is free everywhere.
"""

from collections.abc import Iterable

from ...ids import ContentDigest
from ...routing import CrashReport, EndpointLifetime
from .crash_book import (
    HELD_SECONDS,
    MOST_CRASHES_ALLOWED,
    CrashBook,
)
from .crash_records import CrashRecord, MassCrash
from .trials import seconds_to_try

#: Crashes of which a content was the only suspect that make it certain. Of one
#: the cause may not be known: the entry that had sent it there has died.
_CERTAIN_CRASHES = 2
#: How long a content is held that may be a bystander, in seconds: endpoints
#: that crashed are back by then. Each further crash makes it longer.
DOUBT_SECONDS = 10.0
_DOUBT_FACTOR = 9.0


class Quarantine:
    """What is sent nowhere, as endpoints crashed under it.

    Attributes
    ----------
    book
        The crashes that are known.

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
        self.book = CrashBook()
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
        self.book.merge(
            CrashReport(content, endpoint, 0, had_just_begun=had_just_begun),
            now,
        )

    def answered(self, content: ContentDigest, now: float) -> None:
        """Note that a request got its whole answer."""
        self.book.clear(content, now)

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
            self.book.merge(report, now)
            if not was_held and self.is_held(report.content, now):
                found.append(report.content)
        return found

    def is_held(self, content: ContentDigest, now: float) -> bool:
        """Return whether a request is not to be sent anywhere."""
        return self.seconds_left(content, now) > 0

    def seconds_left(self, content: ContentDigest, now: float) -> float:
        """Return for how long a request will be held back."""
        record = self.book.find_suspect(content, now)
        if record is None:
            return 0
        return max(0, record.last_at + self._held_seconds(record) - now)

    def is_in_doubt(self, content: ContentDigest, now: float) -> bool:
        """Return whether a request is to be tried before it is let through."""
        is_known = self.book.find_suspect(content, now) is not None
        return is_known and not self.is_held(content, now)

    def seconds_to_try(self, content: ContentDigest, now: float) -> float:
        """Return when a request that is in doubt may be tried."""
        record = self.book.records[content]
        seconds = seconds_to_try(record, now)
        if seconds is None:
            return record.last_at + HELD_SECONDS - now
        return seconds

    def grant_try(self, content: ContentDigest, now: float) -> int:
        """Allow an attempt to try a request that is in doubt.

        Returns
        -------
        int
            How often it has been tried with this one; 0 if it may not be.
        """
        if not self.is_in_doubt(content, now):
            return 0
        if self.seconds_to_try(content, now):
            return 0
        number = self.book.records[content].tries + 1
        self.tried(content, number, now)
        return number

    def tried(self, content: ContentDigest, number: int, now: float) -> None:
        """Note the attempt of some number that tries a request."""
        record = self.book.records.get(content)
        if record is not None:
            record.note_tries(number, now, now)

    def crashes(self, content: ContentDigest) -> int:
        """Return how many crashes count against a request."""
        record = self.book.records.get(content)
        return 0 if record is None else record.counted

    def fellow_suspects(self, content: ContentDigest) -> set[ContentDigest]:
        """Return the contents that are suspected of the same crashes."""
        record = self.book.records.get(content)
        crashes = () if record is None else record.suspicious
        return self.book.suspects.beside(content, crashes)

    def _held_seconds(self, record: CrashRecord) -> float:
        shares = map(self.book.suspects.share, record.suspicious)
        alone = sum(share >= 1 for share in shares)
        if alone >= _CERTAIN_CRASHES:
            return HELD_SECONDS
        return _doubt_seconds(record.counted)


def _doubt_seconds(crashes: int) -> float:
    """Return how long a content is held that may be a bystander."""
    further = max(0, crashes - MOST_CRASHES_ALLOWED - 1)
    return min(HELD_SECONDS, DOUBT_SECONDS * _DOUBT_FACTOR**further)
