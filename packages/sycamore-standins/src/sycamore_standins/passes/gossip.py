"""Entries that tell one another what they have at which engine."""

from collections.abc import Callable, Iterable, Sequence

from sycamore_core.decisions.direct import (
    FULL_UPDATE_SECONDS,
    UPDATE_INTERVAL_SECONDS,
    CellView,
    KnownEngine,
    LoadRegistry,
    UpdateRateLimit,
)
from sycamore_core.ids import EndpointId, PeerId, ZoneId
from sycamore_core.routing import EngineShare

from ..virtual.timeline import Timeline
from .loads import ReplayLoad

#: One way between an entry and an engine, or between entries, in seconds.
NETWORK_SECONDS = 0.0015


class Gossip:
    """The updates between the entries of a replay.

    The entries of a cell report each request to one another at the rate that
    `UpdateRateLimit` allows. An entry of another cell receives the totals of
    the cell each second, and the reports about its own engines like an entry
    of the cell.

    Attributes
    ----------
    views
        The cells, as each entry sees them.
    """

    def __init__(
        self,
        load: ReplayLoad,
        books: Sequence[LoadRegistry],
        engines: Iterable[KnownEngine],
        timeline: Timeline,
    ) -> None:
        self.load = load
        self.books = books
        self.timeline = timeline
        zones = [load.zone(entry) for entry, _ in enumerate(books)]
        cells = frozenset(zones) if load.zones > 1 else frozenset()
        self.views = [CellView(zone=zone, zones=cells) for zone in zones]
        self.zones = {one.endpoint: one.zone for one in engines}
        self.paces = [UpdateRateLimit() for _ in books]
        self._whole_at = [-FULL_UPDATE_SECONDS for _ in books]
        self._beats = 0

    def begin(self) -> None:
        """Have each entry tell, each at its own moment."""
        gap = UPDATE_INTERVAL_SECONDS / len(self.books)
        for entry, _ in enumerate(self.books):
            self.timeline.at(entry * gap, self.tell, entry)

    def has_sent(self, entry: int) -> None:
        """Have an entry tell that it has sent a request."""
        now = self.timeline.now
        wait = self.paces[entry].urgent_wait_seconds(self._near(entry), now)
        self.timeline.at(now + wait, self._tell_changes, entry)

    def tell(self, entry: int) -> None:
        """Tell what changed, or all, and do so again later."""
        now = self.timeline.now
        if now < self._whole_at[entry]:
            self._tell_changes(entry)
        else:
            self._whole_at[entry] = now + FULL_UPDATE_SECONDS
            self._tell_cells(entry)
            self._tell(entry, set(self.books[entry].own), is_whole=True)
        pause = (
            self.paces[entry].regular_wait_seconds(now)
            or UPDATE_INTERVAL_SECONDS
        )
        self.timeline.at(now + pause, self.tell, entry)

    def hear(
        self,
        teller: int,
        shares: tuple[EngineShare, ...],
        is_whole: bool,
    ) -> None:
        """Have the others take in what one entry told."""
        rate = self.books[teller].short_requests.rate(self.timeline.now)
        name = PeerId(f'entry-{teller}')
        for entry, book in self._others(teller):
            if self._are_near(entry, teller):
                now = self.timeline.now
                book.apply_update(
                    name,
                    shares,
                    now,
                    is_full=is_whole,
                    short_requests_per_s=rate,
                )
            else:
                self._hear_far(name, entry, shares)

    def hear_cell(
        self,
        entry: int,
        zone: ZoneId,
        shares: tuple[EngineShare, ...],
        turns_per_s: float,
    ) -> None:
        """Have one entry take in what another cell has."""
        self.books[entry].apply_cell_summary(
            zone,
            shares,
            self.timeline.now,
            turns_per_s,
        )

    def _tell_changes(self, entry: int) -> None:
        changed = self.books[entry].pop_changed()
        if changed:
            self._tell(entry, changed, is_whole=False)

    def _tell(
        self,
        entry: int,
        named: set[EndpointId],
        *,
        is_whole: bool,
    ) -> None:
        now = self.timeline.now
        shares = self.books[entry].own_shares(sorted(named), now)
        self._soon(self.hear, entry, shares, is_whole)
        self.paces[entry].record_update(self._near(entry), now)

    def _tell_cells(self, teller: int) -> None:
        """Tell one entry of each other cell, each time the next."""
        now = self.timeline.now
        book = self.books[teller]
        own = self.load.zone(teller)
        busy = self._busy(book, own)
        rate = book.predicted_demand(now).short_requests_per_s
        self._beats += 1
        others = self.views[teller].zones - {own}
        for told in map(self._partner, sorted(others)):
            name = PeerId(f'entry-{told}')
            shares = book.cell_shares(busy, now, name)
            self._soon(self.hear_cell, told, own, shares, rate)

    def _others(self, teller: int) -> list[tuple[int, LoadRegistry]]:
        known = list(enumerate(self.books))
        return known[:teller] + known[teller + 1 :]

    def _are_near(self, one: int, other: int) -> bool:
        return self.load.zone(one) == self.load.zone(other)

    def _near(self, entry: int) -> int:
        """Return the number of others in an entry's cell."""
        others = [one for one, _ in self._others(entry)]
        return sum(self._are_near(entry, one) for one in others)

    def _partner(self, zone: ZoneId) -> int:
        """Return the next entry of a zone to tell."""
        entries = range(len(self.books))
        members = [one for one in entries if self.load.zone(one) == zone]
        return members[self._beats % len(members)]

    def _hear_far(
        self,
        name: PeerId,
        entry: int,
        shares: tuple[EngineShare, ...],
    ) -> None:
        """Have an entry of another cell take in what concerns its engines."""
        zone = self.load.zone(entry)
        told = [one for one in shares if self.zones[one.endpoint] == zone]
        if told:
            now = self.timeline.now
            self.books[entry].apply_update(name, told, now, is_full=False)

    def _busy(self, book: LoadRegistry, zone: ZoneId) -> list[EndpointId]:
        """Return the engines of a zone that have work."""
        busy = sorted(book.own.keys() | book.peer_loads.keys())
        return [one for one in busy if self.zones[one] == zone]

    def _soon(self, act: Callable[..., None], *args: object) -> None:
        self.timeline.at(self.timeline.now + NETWORK_SECONDS, act, *args)
