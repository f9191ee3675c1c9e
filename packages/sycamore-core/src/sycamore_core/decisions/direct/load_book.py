"""The load of each engine: this entry's own work and what its peers say.

What goes wrong without the peers' part: each entry places by its own requests
alone, two of them choose the same idle engine, and a short turn waits behind
another entry's long prompt while engines beside it idle.
"""

from collections.abc import Iterable

import msgspec

from ...ids import EndpointId, PeerId, RequestId
from ...routing import EngineLoad, EngineShare
from .engine_work import Assignment, EngineWork
from .pressure import Pressure, TurnMeter

#: Least time between two updates of an entry, in seconds. Two short turns come
#: to it within that at most, so that engines are seldom chosen twice.
TELL_SECONDS = 0.02
#: Time between two updates that name all of its work, in seconds.
WHOLE_SECONDS = 1.0
#: Age from which on a peer's update is not used, in seconds. A peer repeats its
#: whole update every second; three missed in a row mean that it is gone or cut
#: off, and its requests with it or soon over.
STALE_SECONDS = 3.2


class PeerLoads(msgspec.Struct):
    """What a peer said last, and when."""

    loads: dict[EndpointId, EngineLoad]
    at: float
    turns_per_s: float = 0


class LoadBook:
    """Loads of engines, by endpoint.

    Attributes
    ----------
    turns
        Short turns of this entry.
    changed
        Endpoints at which own work has begun or ended since `take_changed`.
    """

    def __init__(self) -> None:
        self.own: dict[EndpointId, EngineWork] = {}
        self.peers: dict[PeerId, PeerLoads] = {}
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
        total = self._own_load(endpoint, now)
        for known in self.peers.values():
            said = known.loads.get(endpoint)
            age = now - known.at
            if said is not None and age < STALE_SECONDS:
                total.add(said, age)
        return total

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
        known = self.peers.get(peer)
        if known is None or is_whole:
            known = PeerLoads({}, now)
            self.peers[peer] = known
        _age(known, now)
        known.turns_per_s = turns_per_s
        for share in shares:
            known.loads[share.endpoint] = share.load

    def pressure(self, now: float) -> Pressure:
        """Return the short turns that are to be expected."""
        heard = [
            known.turns_per_s
            for known in self.peers.values()
            if now - known.at < STALE_SECONDS
        ]
        return Pressure(
            turns_per_s=self.turns.rate(now) + sum(heard),
            stay_seconds=self.turns.stay_seconds,
        )

    def forget(self, peer: PeerId) -> None:
        """Drop what a peer said; it has started anew or is gone."""
        self.peers.pop(peer, None)

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

    def _own_load(self, endpoint: EndpointId, now: float) -> EngineLoad:
        work = self.own.get(endpoint)
        return EngineLoad() if work is None else work.load(now)


def _age(known: PeerLoads, now: float) -> None:
    """Bring what a peer said before up to now."""
    passed = now - known.at
    known.at = now
    for endpoint, load in known.loads.items():
        aged = EngineLoad()
        aged.add(load, passed)
        known.loads[endpoint] = aged
