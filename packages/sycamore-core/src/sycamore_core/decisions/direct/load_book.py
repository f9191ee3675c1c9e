"""The load of each engine: this entry's own work and what its peers say.

What goes wrong without the peers' part: each entry places by its own requests
alone, two of them choose the same idle engine, and a short turn waits behind
another entry's long prompt while engines beside it idle.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

import msgspec

from ...ids import EndpointId, PeerId, RequestId, ZoneId
from ...routing import EngineLoad, EngineShare
from .engine_work import Assignment, EngineWork
from .pressure import Pressure, TurnMeter

#: Time between two updates that name all of its work, in seconds.
WHOLE_SECONDS = 1.0
#: Age from which on a peer's update is not used, in seconds. A peer repeats its
#: whole update every second; three missed in a row mean that it is gone or cut
#: off, and its requests with it or soon over.
STALE_SECONDS = 3.2
_NOBODY: Mapping[PeerId, 'HeardLoad'] = MappingProxyType({})


class HeardLoad(msgspec.Struct, frozen=True):
    """What was said of one engine, and when."""

    load: EngineLoad
    at: float


class PeerRecord(msgspec.Struct):
    """When a peer was heard last, and at which engines it has work."""

    at: float
    turns_per_s: float = 0
    engines: set[EndpointId] = msgspec.field(default_factory=set)


class CellRecord(msgspec.Struct, frozen=True):
    """When another cell was heard last, its turns and its busy engines."""

    at: float
    turns_per_s: float = 0
    engines: frozenset[EndpointId] = frozenset()


class LoadBook:
    """Loads of engines, by endpoint.

    What peers say is kept by engine, so that a decision costs what there is
    at the engines it weighs, however many peers there are.

    Attributes
    ----------
    turns
        Short turns of this entry.
    changed
        Endpoints at which own work has begun or ended since `take_changed`.
    heard
        What each peer has at an engine.
    totals
        What all others have at an engine, by the word of the cell it belongs
        to.
    """

    def __init__(self) -> None:
        self.own: dict[EndpointId, EngineWork] = {}
        self.peers: dict[PeerId, PeerRecord] = {}
        self.heard: dict[EndpointId, dict[PeerId, HeardLoad]] = {}
        self.totals: dict[EndpointId, HeardLoad] = {}
        self.cells: dict[ZoneId, CellRecord] = {}
        self.changed: set[EndpointId] = set()
        self.turns = TurnMeter()

    def begin(
        self,
        request_id: RequestId,
        assignments: dict[EndpointId, Assignment],
        now: float,
    ) -> None:
        """Note where a request was sent."""
        for endpoint, assignment in assignments.items():
            work = self.own.setdefault(endpoint, EngineWork())
            work.add(request_id, assignment, now)
            self.changed.add(endpoint)

    def first_token(
        self,
        request_id: RequestId,
        endpoints: Iterable[EndpointId],
    ) -> None:
        """Note that a request's prompt has been read."""
        for endpoint in endpoints:
            work = self.own.get(endpoint)
            if work is not None:
                work.first_token(request_id)
                self.changed.add(endpoint)

    def end(
        self,
        request_id: RequestId,
        endpoints: Iterable[EndpointId],
    ) -> None:
        """Note that a request is over."""
        for endpoint in endpoints:
            work = self.own.get(endpoint)
            if work is None:
                continue
            work.end(request_id)
            self.changed.add(endpoint)
            if not work.assignments:
                self.own.pop(endpoint)

    def load(self, endpoint: EndpointId, now: float) -> EngineLoad:
        """Return what an engine has to do."""
        total = self.totals.get(endpoint)
        if total is not None and now - total.at < STALE_SECONDS:
            found = self._own_load(endpoint, now)
            found.add(total.load, now - total.at)
            return found
        return self._near_load(endpoint, now)

    def news_age(self, endpoint: EndpointId, now: float) -> float | None:
        """Return the age of the oldest word that `load` rests on, in seconds.

        None if nobody else has said anything of the engine.
        """
        total = self.totals.get(endpoint)
        if total is not None and now - total.at < STALE_SECONDS:
            return now - total.at
        heard = self.heard.get(endpoint, _NOBODY).values()
        ages = [now - one.at for one in heard]
        return max(ages, default=None)

    def hear(
        self,
        peer: PeerId,
        shares: Iterable[EngineShare],
        now: float,
        *,
        is_whole: bool,
        turns_per_s: float = 0,
    ) -> None:
        """Take what a peer says that it has.

        Parameters
        ----------
        is_whole
            Whether it names all of its work; otherwise only what changed.
        turns_per_s
            Short turns that arrive there.
        """
        if is_whole:
            self.forget(peer)
        news = self.peers.setdefault(peer, PeerRecord(now))
        news.at = now
        news.turns_per_s = turns_per_s
        for share in shares:
            self._put(peer, news, share, now)

    def hear_cell(
        self,
        zone: ZoneId,
        shares: Iterable[EngineShare],
        now: float,
        turns_per_s: float = 0,
    ) -> None:
        """Take what an entry of another cell says of that cell's engines.

        Parameters
        ----------
        shares
            What all entries but this one have there; engines that are idle
            are left out.
        turns_per_s
            Short turns that arrive in that cell.
        """
        known = self.cells.get(zone, CellRecord(now))
        busy = {share.endpoint: HeardLoad(share.load, now) for share in shares}
        for endpoint in known.engines:
            self.totals.pop(endpoint, None)
        self.totals.update(busy)
        self.cells[zone] = CellRecord(now, turns_per_s, frozenset(busy))

    def pressure(self, now: float, *, everywhere: bool = False) -> Pressure:
        """Return the short turns that are to be expected.

        Parameters
        ----------
        everywhere
            Whether to count those of other cells as well.
        """
        sources: list[PeerRecord | CellRecord] = list(self.peers.values())
        if everywhere:
            sources.extend(self.cells.values())
        heard = [
            news.turns_per_s
            for news in sources
            if now - news.at < STALE_SECONDS
        ]
        return Pressure(
            turns_per_s=self.turns.rate(now) + sum(heard),
            stay_seconds=self.turns.stay_seconds,
        )

    def forget(self, peer: PeerId) -> None:
        """Drop what a peer said; it has started anew or is gone."""
        news = self.peers.pop(peer, None)
        if news is None:
            return
        for endpoint in news.engines:
            self._drop(peer, endpoint)

    def shares(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
    ) -> tuple[EngineShare, ...]:
        """Return what this entry has at some engines."""
        return tuple(
            EngineShare(endpoint, self._own_load(endpoint, now))
            for endpoint in endpoints
        )

    def take_changed(self) -> set[EndpointId]:
        """Return the endpoints whose own work changed, and begin anew."""
        changed = self.changed
        self.changed = set()
        return changed

    def near_shares(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
        receiver: PeerId,
    ) -> tuple[EngineShare, ...]:
        """Return what this entry and its peers have at some engines.

        What the receiver has there itself is left out: it knows better, and
        would count twice what it has just sent.

        Those that have nothing to do are left out: a peer that has fallen
        silent is still noted there, and its word does not count any more.
        """
        loads = {
            endpoint: self._near_load(endpoint, now, receiver)
            for endpoint in endpoints
        }
        return tuple(
            EngineShare(endpoint, load.merged())
            for endpoint, load in loads.items()
            if not load.is_idle
        )

    def _near_load(
        self,
        endpoint: EndpointId,
        now: float,
        left_out: PeerId | None = None,
    ) -> EngineLoad:
        found = self._own_load(endpoint, now)
        for peer, heard in self.heard.get(endpoint, _NOBODY).items():
            is_fresh = now - self.peers[peer].at < STALE_SECONDS
            if is_fresh and peer != left_out:
                found.add(heard.load, now - heard.at)
        return found

    def _own_load(self, endpoint: EndpointId, now: float) -> EngineLoad:
        work = self.own.get(endpoint)
        return EngineLoad() if work is None else work.load(now)

    def _put(
        self,
        peer: PeerId,
        news: PeerRecord,
        share: EngineShare,
        now: float,
    ) -> None:
        if share.load.is_idle:
            news.engines.discard(share.endpoint)
            self._drop(peer, share.endpoint)
            return
        news.engines.add(share.endpoint)
        heard = self.heard.setdefault(share.endpoint, {})
        heard[peer] = HeardLoad(share.load, now)

    def _drop(self, peer: PeerId, endpoint: EndpointId) -> None:
        heard = self.heard.get(endpoint, {})
        heard.pop(peer, None)
        if not heard:
            self.heard.pop(endpoint, None)
