"""Entries that tell one another what they have at which engine."""

from collections.abc import Sequence

from sycamore_core.decisions.direct import (
    TELL_SECONDS,
    WHOLE_SECONDS,
    LoadBook,
)
from sycamore_core.ids import PeerId
from sycamore_core.routing import EngineShare

from ..virtual.timeline import Timeline

#: One way between an entry and an engine, or between entries, in seconds.
NETWORK_SECONDS = 0.0015


class Gossip:
    """The updates between the entries of a replay."""

    def __init__(self, books: Sequence[LoadBook], timeline: Timeline) -> None:
        self.books = books
        self.timeline = timeline
        self._whole_at = [-WHOLE_SECONDS for _ in books]

    def begin(self) -> None:
        """Have each entry tell, each at its own moment."""
        gap = TELL_SECONDS / len(self.books)
        for entry, _ in enumerate(self.books):
            self.timeline.at(entry * gap, self.tell, entry)

    def tell(self, entry: int) -> None:
        """Tell what changed, or all, and do so again later."""
        now = self.timeline.now
        book = self.books[entry]
        named = book.take_changed()
        is_whole = now >= self._whole_at[entry]
        if is_whole:
            self._whole_at[entry] = now + WHOLE_SECONDS
            named = set(book.own)
        if named or is_whole:
            shares = book.shares(sorted(named), now)
            arrival = now + NETWORK_SECONDS
            self.timeline.at(arrival, self.hear, entry, shares, is_whole)
        self.timeline.at(now + TELL_SECONDS, self.tell, entry)

    def hear(
        self,
        teller: int,
        shares: tuple[EngineShare, ...],
        is_whole: bool,
    ) -> None:
        """Have all others take in what one entry told."""
        now = self.timeline.now
        rate = self.books[teller].turns.rate(now)
        for entry, book in enumerate(self.books):
            if entry != teller:
                book.hear(
                    PeerId(f'entry-{teller}'),
                    shares,
                    now,
                    is_whole=is_whole,
                    turns_per_s=rate,
                )
