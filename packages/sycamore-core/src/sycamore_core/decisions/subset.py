"""Choice of the endpoints with which an entry exchanges heartbeats.

Load pattern: 350 entries and 770 endpoints. One heartbeat and one report,
about 260 bytes together, per pair and second add up to 200 KB/s at each entry.

Without subsets, the heartbeats and reports use ten times the 19 KB/s that a
node may use for control traffic, and each endpoint process answers 350 entries
per second.
"""

from collections.abc import Mapping, Sequence

from ..hashes import stable_hash
from ..ids import EntryId, RegionId, ZoneId
from ..settings import EndpointSettings

#: Number of endpoints of one service that an entry uses. Twelve endpoints of
#: each of six services are 72 peers, or 19 KB/s. Twelve random endpoints are
#: enough for load balancing by the better of two random choices.
SUBSET_SIZE = 12
#: Share of a subset that comes from the entry's own zone. The rest comes from
#: other zones, so that an entry keeps endpoints if its zone is lost.
_OWN_ZONE_SHARE = 0.5
#: Share of a subset that comes from the entry's own region, before endpoints of
#: other regions are added.
_REGION_SHARE = 0.75


class SubsetChooser:
    """Choice of an entry's subset by distance and rendezvous hashing.

    Parameters
    ----------
    entry, zone
        The entry and its zone.
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
        the rank of an endpoint depends only on its name and the entry's name.
        """
        ranked = sorted(endpoints, key=self._rank)
        if len(ranked) <= self.size:
            return tuple(ranked)
        own = [endpoint for endpoint in ranked if endpoint.zone == self.zone]
        nearby = [
            endpoint for endpoint in ranked if self._is_in_nearby_zone(endpoint)
        ]
        chosen = own[: round(self.size * _OWN_ZONE_SHARE)]
        limit = max(len(chosen), round(self.size * _REGION_SHARE))
        chosen.extend(nearby[: limit - len(chosen)])
        rest = [endpoint for endpoint in ranked if endpoint not in chosen]
        return tuple(chosen + rest[: self.size - len(chosen)])

    def _rank(self, endpoint: EndpointSettings) -> int:
        return stable_hash(f'{self.entry}|{endpoint.endpoint}')

    def _is_in_nearby_zone(self, endpoint: EndpointSettings) -> bool:
        if endpoint.zone == self.zone:
            return False
        region = self.zones.get(endpoint.zone)
        return region is not None and region == self.zones.get(self.zone)
