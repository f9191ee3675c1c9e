"""Which endpoints an entry exchanges heartbeats with.

Load pattern: 350 entries and 770 endpoints. One heartbeat and one report of
about 260 bytes together for each pair and second are 200 KB/s at each entry.

Without it: that is ten times the 19 KB/s that a node may spend on control,
and every endpoint process answers 350 entries a second.
"""

from collections.abc import Mapping, Sequence

from ..hashes import stable_hash
from ..ids import EntryId, RegionId, ZoneId
from ..settings import EndpointSettings

#: Endpoints of one service that an entry uses. Six services times twelve are
#: 72 peers, 19 KB/s; a random dozen still leaves two choices their effect.
SUBSET_SIZE = 12
#: Part of a subset that is filled from the entry's own zone first; the rest
#: comes from other zones, so that an entry outlives the loss of its zone.
_OWN_ZONE_SHARE = 0.5
#: Part that is filled from other zones of the region before other regions.
_REGION_SHARE = 0.75


class SubsetChooser:
    """Chooses the subset of one entry by distance and rendezvous rank.

    Parameters
    ----------
    entry, zone
        The entry and where it is.
    zones
        Region of each zone.
    size
        Number of endpoints to choose.
    """

    def __init__(
        self,
        entry: EntryId,
        zone: ZoneId,
        zones: Mapping[ZoneId, RegionId],
        size: int = SUBSET_SIZE,
    ) -> None:
        self.entry = entry
        self.zone = zone
        self.zones = zones
        self.size = size

    def choose(
        self,
        endpoints: Sequence[EndpointSettings],
    ) -> tuple[EndpointSettings, ...]:
        """Return the endpoints of one service that the entry uses.

        An endpoint that joins or leaves changes one place of the subset, as
        each endpoint's rank depends on its own name and the entry's only.
        """
        ranked = sorted(endpoints, key=self._rank)
        if len(ranked) <= self.size:
            return tuple(ranked)
        own = [one for one in ranked if one.zone == self.zone]
        near = [one for one in ranked if self._is_near(one)]
        chosen = own[: round(self.size * _OWN_ZONE_SHARE)]
        limit = max(len(chosen), round(self.size * _REGION_SHARE))
        chosen.extend(near[: limit - len(chosen)])
        rest = [one for one in ranked if one not in chosen]
        return tuple(chosen + rest[: self.size - len(chosen)])

    def _rank(self, endpoint: EndpointSettings) -> int:
        return stable_hash(f'{self.entry}|{endpoint.endpoint}')

    def _is_near(self, endpoint: EndpointSettings) -> bool:
        if endpoint.zone == self.zone:
            return False
        region = self.zones.get(endpoint.zone)
        return region is not None and region == self.zones.get(self.zone)
