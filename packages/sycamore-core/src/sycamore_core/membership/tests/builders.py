"""A simulated fleet of entries with links that a test may cut."""

from ...ids import PeerId, ZoneId
from .. import Membership

INTERVAL_SECONDS = 1.0


class SimulatedEntry:
    """An entry with its view of the membership."""

    def __init__(self, address: str, zone: ZoneId, seeds: set[str]) -> None:
        self.address = address
        self.zone = zone
        self.membership = Membership(address, zone)
        self.seeds = seeds


class SimulatedFleet:
    """Entries in several zones that exchange updates in each interval.

    Attributes
    ----------
    cut_links
        Pairs of sender and receiver address whose link drops all messages.
    """

    def __init__(self, zones: int, each: int, seeds: int = 3) -> None:
        self.now: float = 0
        self.intervals = 0
        self.zone_of = {
            f'tcp://{zone}-{number}': ZoneId(f'z{zone}')
            for zone in range(zones)
            for number in range(each)
        }
        self.seeds = set(sorted(self.zone_of)[:seeds])
        self.entries: dict[str, SimulatedEntry] = {}
        self.cut_links: set[tuple[str, str]] = set()

    def start(self, address: str) -> None:
        """Start an entry that knows only its seeds."""
        self.entries[address] = SimulatedEntry(
            address,
            self.zone_of[address],
            self.seeds,
        )

    def start_all(self) -> None:
        for address in self.zone_of:
            self.start(address)

    def start_all_dead(self) -> None:
        for address in self.zone_of.keys() - self.entries.keys():
            self.start(address)

    def kill(self, address: str) -> None:
        self.entries.pop(address, None)

    def run_intervals(self, times: int = 1) -> None:
        """Advance the clock; all entries send updates in each interval."""
        for _ in range(times):
            self.now += INTERVAL_SECONDS
            self.intervals += 1
            for entry in tuple(self.entries.values()):
                entry.membership.expire(self.now)
                self._send_updates(entry)

    def receiver_of(self, sender: str, receiver: str) -> SimulatedEntry | None:
        """Return the receiver of a message, if the message arrives."""
        if (sender, receiver) in self.cut_links:
            return None
        return self.entries.get(receiver)

    def _send_updates(self, entry: SimulatedEntry) -> None:
        membership = entry.membership
        for seed in membership.seeds_to_contact(entry.seeds):
            self._introduce(entry, seed)
        for address in membership.own_cell_addresses():
            self._update_cell_peer(entry, address)
        for zone in membership.other_zones:
            partner = membership.partner(zone, self.intervals)
            if partner is not None:
                self._update_other_cell(entry, partner)

    def _introduce(self, entry: SimulatedEntry, seed: str) -> None:
        receiver = self._deliver(entry, seed)
        answered = receiver and self.receiver_of(seed, entry.address)
        if not receiver or not answered:
            return
        self._mark_alive(entry, receiver)
        zones = {one.zone for one in receiver.membership.members.values()}
        for zone in zones | {receiver.zone}:
            alive = receiver.membership.alive_in(zone)
            entry.membership.add(zone, alive, self.now)

    def _update_cell_peer(self, entry: SimulatedEntry, address: str) -> None:
        receiver = self._deliver(entry, address)
        if receiver is not None:
            alive = entry.membership.alive_in(entry.zone)
            receiver.membership.add(entry.zone, alive, self.now)

    def _update_other_cell(self, entry: SimulatedEntry, partner: str) -> None:
        receiver = self._deliver(entry, partner)
        if receiver is None:
            return
        membership = entry.membership
        own = (*membership.alive_in(entry.zone), entry.address)
        receiver.membership.confirm(entry.zone, own, self.now)
        for zone in membership.cells - {entry.zone}:
            receiver.membership.add(
                zone, membership.alive_in(zone)[:1], self.now
            )

    def _deliver(
        self, sender: SimulatedEntry, address: str
    ) -> SimulatedEntry | None:
        receiver = self.receiver_of(sender.address, address)
        if receiver is not None:
            self._mark_alive(receiver, sender)
        return receiver

    def _mark_alive(
        self, receiver: SimulatedEntry, sender: SimulatedEntry
    ) -> None:
        receiver.membership.mark_alive(
            sender.address,
            sender.zone,
            PeerId(sender.address),
            self.now,
        )
