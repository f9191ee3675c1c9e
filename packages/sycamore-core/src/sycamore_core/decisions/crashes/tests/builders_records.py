"""Recorded crashes of three endpoints, and their replay at three entries.

In both records, one request crashes all endpoints of a service, and a popular
request of many callers runs at each of them.
"""

from collections.abc import Iterable

import msgspec

from ....ids import ContentDigest
from ..quarantine import Quarantine
from .test_quarantine import lifetime_of

POISON = ContentDigest(b'poison request..')
POPULAR = ContentDigest(b'popular request.')
ENTRIES = 3


class RecordedCrash(msgspec.Struct, frozen=True):
    """One line of the record.

    Attributes
    ----------
    at
        Time of the line, in seconds.
    entry
        Number of the entry that wrote it.
    """

    at: float
    entry: int
    endpoint: str
    content: ContentDigest


#: A popular request at three crashes within 0.4 s. The report of the cause of
#: the second crash follows 9 ms after that of the popular request.
THREE_CRASHES = (
    RecordedCrash(13.0489, 1, 'a-0', POISON),
    RecordedCrash(13.0491, 1, 'a-0', POPULAR),
    RecordedCrash(13.0625, 2, 'a-1', POPULAR),
    RecordedCrash(13.0714, 1, 'a-1', POISON),
    RecordedCrash(13.4508, 0, 'a-2', POPULAR),
    RecordedCrash(13.451, 2, 'a-2', POISON),
)
#: The cause was given up at the second endpoint before it crashed there.
CAUSE_GIVEN_UP = (
    RecordedCrash(7.8568, 0, 'a-0', POPULAR),
    RecordedCrash(7.8603, 2, 'a-0', POPULAR),
    RecordedCrash(7.8603, 2, 'a-0', POISON),
    RecordedCrash(7.8689, 1, 'a-0', POPULAR),
    RecordedCrash(8.2322, 0, 'a-1', POPULAR),
    RecordedCrash(8.2349, 2, 'a-1', POPULAR),
    RecordedCrash(8.253, 1, 'a-2', POPULAR),
    RecordedCrash(8.2645, 0, 'a-2', POPULAR),
    RecordedCrash(8.2776, 2, 'a-2', POISON),
    RecordedCrash(8.2778, 2, 'a-2', POPULAR),
)


class Replay:
    """Entries that report recorded crashes to each other.

    Attributes
    ----------
    now
        Time of the last crash that was replayed.
    """

    def __init__(self) -> None:
        self.entries = [Quarantine() for _ in range(ENTRIES)]
        self.now: float = 0

    def play(self, crashes: Iterable[RecordedCrash]) -> None:
        """Record crashes, each reported to the others before the next."""
        for crash in crashes:
            self.now = crash.at
            entry = self.entries[crash.entry]
            entry.record_crash(
                crash.content,
                lifetime_of(crash.endpoint),
                crash.at,
                had_just_begun=True,
            )
            self.exchange(crash.at)

    def exchange(self, now: float) -> None:
        """Deliver the reports of all entries to all others."""
        for sender in self.entries:
            reports = sender.book.recent_reports(now)
            for receiver in self.entries:
                if receiver is not sender:
                    receiver.handle_reports(reports, now)

    def refused_at(self, content: ContentDigest, now: float) -> list[bool]:
        """Return for each entry whether it refuses a request at a time.

        A request that comes while reports are on their way waits for them.
        """
        return [
            not entry.seconds_to_settle(content, now)
            and entry.is_quarantined(content, now)
            for entry in self.entries
        ]
