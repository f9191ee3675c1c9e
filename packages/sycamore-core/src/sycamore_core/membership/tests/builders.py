"""A fleet of entries that talk over links which a test may cut."""

from ...ids import PeerId, ZoneId
from .. import Membership

BEAT_SECONDS = 1.0


class SimulatedEntry:
    """One entry with its membership."""

    def __init__(self, address: str, zone: ZoneId, seeds: set[str]) -> None:
        self.address = address
        self.zone = zone
        self.membership = Membership(address, zone)
        self.seeds = seeds


class SimulatedFleet:
    """Entries in zones, which tell one another on each beat.

    Attributes
    ----------
    cut
        Pairs of addresses between which nothing passes, in that direction.
    """

    def __init__(self, zones: int, each: int, seeds: int = 3) -> None:
        self.now: float = 0
        self.beats = 0
        self.places = {
            f'tcp://{zone}-{number}': ZoneId(f'z{zone}')
            for zone in range(zones)
            for number in range(each)
        }
        self.seeds = set(sorted(self.places)[:seeds])
        self.entries: dict[str, SimulatedEntry] = {}
        self.cut: set[tuple[str, str]] = set()

    def start(self, address: str) -> None:
        """Start an entry, which knows its seeds and nothing else."""
        self.entries[address] = SimulatedEntry(
            address,
            self.places[address],
            self.seeds,
        )

    def start_all(self) -> None:
        for address in self.places:
            self.start(address)

    def start_all_that_are_dead(self) -> None:
        for address in self.places.keys() - self.entries.keys():
            self.start(address)

    def kill(self, address: str) -> None:
        self.entries.pop(address, None)

    def beat(self, times: int = 1) -> None:
        """Let time pass, and have all entries tell one another."""
        for _ in range(times):
            self.now += BEAT_SECONDS
            self.beats += 1
            for entry in tuple(self.entries.values()):
                entry.membership.expire(self.now)
                self._tell(entry)

    def reached(self, sender: str, receiver: str) -> SimulatedEntry | None:
        """Return the receiver of a message, if it arrives."""
        if (sender, receiver) in self.cut:
            return None
        return self.entries.get(receiver)

    def _tell(self, entry: SimulatedEntry) -> None:
        known = entry.membership
        for seed in known.missing(entry.seeds):
            self._greet(entry, seed)
        for address in known.near():
            self._tell_near(entry, address)
        for zone in known.other_zones:
            partner = known.partner(zone, self.beats)
            if partner is not None:
                self._tell_far(entry, partner)

    def _greet(self, entry: SimulatedEntry, seed: str) -> None:
        met = self._heard(entry, seed)
        answered = met and self.reached(seed, entry.address)
        if not met or not answered:
            return
        self._note(entry, met)
        zones = {one.zone for one in met.membership.members.values()}
        for zone in zones | {met.zone}:
            living = met.membership.living_in(zone)
            entry.membership.learn(zone, living, self.now)

    def _tell_near(self, entry: SimulatedEntry, address: str) -> None:
        met = self._heard(entry, address)
        if met is not None:
            living = entry.membership.living_in(entry.zone)
            met.membership.learn(entry.zone, living, self.now)

    def _tell_far(self, entry: SimulatedEntry, partner: str) -> None:
        met = self._heard(entry, partner)
        if met is None:
            return
        known = entry.membership
        own = (*known.living_in(entry.zone), entry.address)
        met.membership.vouch(entry.zone, own, self.now)
        for zone in known.cells - {entry.zone}:
            met.membership.learn(zone, known.living_in(zone)[:1], self.now)

    def _heard(
        self, sender: SimulatedEntry, address: str
    ) -> SimulatedEntry | None:
        met = self.reached(sender.address, address)
        if met is not None:
            self._note(met, sender)
        return met

    def _note(self, hearer: SimulatedEntry, heard: SimulatedEntry) -> None:
        hearer.membership.hear(
            heard.address,
            heard.zone,
            PeerId(heard.address),
            self.now,
        )
