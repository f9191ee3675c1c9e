"""Whether an entry takes a free slot or leaves it to a peer.

Load pattern: see `claims`. Three ways were compared by a replay of 24 entries
(`tests/test_across_entries.py`): this one; engines that each belong to one
entry first, by rendezvous hash; and short leases on slots, granted by the entry
that an engine belongs to. The other ways leave slots idle while the entry that
an engine belongs to has no waiting requests, has died, or is asked. Without any
agreement, fewer urgent requests start in time for their objective.
"""

from collections.abc import Collection

from ...ids import EndpointId, ServiceId
from .claims import Claim, PeerClaims

#: Time for which a slot is left to each peer that comes first, in seconds:
#: 20 ms until the peer is notified of the slot, 15 ms until it has placed a
#: request, and 20 ms until the report of that request arrives.
STEP_SECONDS = 0.06
#: Largest number of peers to which a slot is left in turn. If all entries
#: waited equally long, all would take the slot at once after the first of them
#: has died.
_MAX_STEPS = 3
#: Longest time for which a slot is left to peers, in seconds.
YIELD_SECONDS = _MAX_STEPS * STEP_SECONDS


class SlotYield:
    """Leaves the slots of one service to peers, each for a short time.

    Attributes
    ----------
    claims
        Requests that wait at peers.
    ends_at
        When the entry takes the slot itself; None if it leaves none.
    """

    def __init__(self, service: ServiceId, claims: PeerClaims) -> None:
        self.service = service
        self.claims = claims
        self.ends_at: float | None = None
        self._free_since: dict[EndpointId, float] = {}

    def has_claims(self, now: float) -> bool:
        """Return whether requests wait at peers."""
        return self.claims.has_any(self.service, now)

    def count_claims(self, own: Claim, now: float) -> int:
        """Return the number of requests at peers that come first."""
        return self.claims.count_before(self.service, own, now)

    def may_take(
        self,
        own: Claim,
        free: Collection[EndpointId],
        claims: int,
        now: float,
    ) -> bool:
        """Return whether this entry takes a slot.

        Parameters
        ----------
        own
            The first request of this entry.
        free
            Engines with free slots, each once for each slot.
        claims
            Number of requests at peers that come first.
        """
        # A slot that is free now may not be the one that was free before. The
        # time for each engine begins when it becomes free.
        known = self._free_since
        self._free_since = {engine: known.get(engine, now) for engine in free}
        if not free or len(free) > claims:
            self.ends_at = None
            return bool(free)
        peers = min(_MAX_STEPS, claims - len(free) + 1)
        since = min(self._free_since.values())
        self.ends_at = since + peers * STEP_SECONDS
        if now < self.ends_at:
            return False
        # These peers have not taken the slot: they do not want it, or do not
        # hear of it.
        self.claims.ignore_first(self.service, own, peers, now)
        self.ends_at = None
        return True

    def reset(self) -> None:
        """Leave no slot to peers any more."""
        self.ends_at = None
        self._free_since.clear()
