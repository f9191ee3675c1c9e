"""Membership of the entries of a fleet and their partition into cells.

Without cells, each entry would report every request to all others. The number
of messages would grow with the square of the number of entries and use up the
processor share of small instances.

A fleet of up to `LARGEST_CELL` entries is one cell. In a larger fleet each
availability zone is a cell. Entries of one cell exchange updates directly. An
entry that falls silent counts as lost but is still sent updates, so that it
rejoins as soon as it receives them. The members of another cell report its
state to an entry in rotation. No member has a special role that another one
would have to assume when it fails.
"""

from collections.abc import Iterable

from ..ids import PeerId, ZoneId
from .member import Member, MemberState

#: Maximum number of entries of a fleet that is one cell. Updates of a larger
#: cell would use up the processor share of a small instance.
LARGEST_CELL = 32
#: Silence after which an entry of the own cell counts as lost, in seconds. It
#: sends an update every second, and two messages in a row may be lost.
OWN_CELL_TIMEOUT_SECONDS = 3.2
#: The same timeout for an entry of another cell, in seconds. The members of its
#: cell confirm it about once a second, each at its own time.
OTHER_CELL_TIMEOUT_SECONDS = 6.4
#: Time after which a lost entry is removed, in seconds. Until then it is still
#: sent updates, because an entry that restarts may know no live entry.
LOST_RETENTION_SECONDS = 120.0


class Membership:
    """The other entries, as far as one entry knows them.

    Parameters
    ----------
    address, zone
        Address and zone of the entry itself.

    Attributes
    ----------
    members
        Records of the other entries, by address.

    Examples
    --------
    >>> membership = Membership('tcp://a1', ZoneId('a'))
    >>> membership.mark_alive('tcp://b1', ZoneId('b'), PeerId('b1'), now=0)
    True
    >>> membership.mark_alive('tcp://b1', ZoneId('b'), PeerId('b1'), now=1)
    False
    >>> [one.address for one in membership.expire(now=5)]
    ['tcp://b1']
    """

    def __init__(self, address: str, zone: ZoneId) -> None:
        self.address = address
        self.zone = zone
        self.members: dict[str, Member] = {}

    @property
    def is_single_cell(self) -> bool:
        """Whether all entries exchange updates directly."""
        return len(self.members) < LARGEST_CELL

    @property
    def alive_count(self) -> int:
        """Return the number of live entries, including this one."""
        others = [one for one in self.members.values() if one.is_alive]
        return len(others) + 1

    @property
    def expected_count(self) -> int:
        """Return the number of entries that may be active, including this one.

        Unconfirmed entries are counted. After a restart of all entries, those
        of other cells stay unconfirmed for a second. If they were not counted,
        each entry would claim a share of the fleet-wide limits that is five
        times too large.
        """
        others = [one for one in self.members.values() if not one.is_lost]
        return len(others) + 1

    @property
    def reporting_fraction(self) -> float:
        """Return the share of all entries that is not lost.

        Lost entries may still be active in a part of the network that this
        entry cannot reach.
        """
        return self.expected_count / (len(self.members) + 1)

    @property
    def cells(self) -> frozenset[ZoneId]:
        """Return the zones that are cells; empty if there is only one cell."""
        if self.is_single_cell:
            return frozenset()
        zones = {one.zone for one in self.members.values() if not one.is_lost}
        return frozenset((self.zone, *zones))

    @property
    def other_zones(self) -> frozenset[ZoneId]:
        """Return the zones of other cells, including cells that are lost."""
        if self.is_single_cell:
            return frozenset()
        zones = {one.zone for one in self.members.values()}
        return frozenset(zones - {self.zone})

    def is_own_cell(self, zone: ZoneId) -> bool:
        """Return whether the entries of a zone belong to the own cell."""
        return self.is_single_cell or zone == self.zone

    def own_cell_addresses(self) -> list[str]:
        """Return the addresses of the own cell, including lost entries."""
        return [
            one.address
            for one in self.members.values()
            if self.is_own_cell(one.zone)
        ]

    def alive_in(self, zone: ZoneId) -> list[str]:
        """Return the live members of a zone, excluding this entry."""
        return self._addresses(zone, MemberState.ALIVE)

    def partner(self, zone: ZoneId, interval: int) -> str | None:
        """Return the member of another cell to update in an interval.

        The members are selected in rotation, and the entries of one cell
        start at different positions. If a fixed member were selected, its
        cell would receive nothing between its failure and the detection of
        the failure. Unconfirmed members are selected as well. Otherwise two
        cells that know each other only from a third cell would never connect.
        If all members of a cell are lost, they are still selected. Otherwise
        two halves of a partitioned fleet would never merge again.
        """
        addresses = self._addresses(
            zone,
            MemberState.UNCONFIRMED,
            MemberState.ALIVE,
        ) or self._addresses(zone, MemberState.LOST)
        if not addresses:
            return None
        own = sorted((*self.alive_in(self.zone), self.address))
        position = interval + own.index(self.address)
        return addresses[position % len(addresses)]

    def seeds_to_contact(self, seeds: Iterable[str]) -> list[str]:
        """Return the seeds to contact: all that are not known to be alive.

        An entry that knows no other entry discovers the fleet through them.
        """
        alive = {one.address for one in self.members.values() if one.is_alive}
        return sorted(set(seeds) - alive - {self.address})

    def add(self, zone: ZoneId, addresses: Iterable[str], now: float) -> None:
        """Add entries of a zone that another entry reported."""
        for address in addresses:
            if address not in self.members and address != self.address:
                self.members[address] = Member(
                    address=address,
                    zone=zone,
                    last_seen_at=now,
                )

    def confirm(
        self, zone: ZoneId, addresses: Iterable[str], now: float
    ) -> None:
        """Confirm entries of another cell that one of its members reported."""
        reported = tuple(addresses)
        self.add(zone, reported, now)
        for address in reported:
            member = self.members.get(address)
            if member is not None and not self.is_own_cell(member.zone):
                member.last_seen_at = now
                member.state = MemberState.ALIVE

    def mark_alive(
        self,
        address: str,
        zone: ZoneId,
        name: PeerId,
        now: float,
    ) -> bool:
        """Mark an entry as alive; return whether it was not alive before."""
        self.add(zone, (address,), now)
        member = self.members[address]
        is_found = not member.is_alive
        member.name = name
        member.zone = zone
        member.last_seen_at = now
        member.state = MemberState.ALIVE
        return is_found

    def expire(self, now: float) -> list[Member]:
        """Remove long lost entries; return those that are newly lost."""
        lost = []
        for member in tuple(self.members.values()):
            silence = now - member.last_seen_at
            if silence > LOST_RETENTION_SECONDS:
                self.members.pop(member.address)
            elif not member.is_lost and silence > self._silence_timeout(member):
                member.state = MemberState.LOST
                lost.append(member)
        return lost

    def _addresses(self, zone: ZoneId, *states: MemberState) -> list[str]:
        """Return the members of a zone that are in one of the given states."""
        return sorted(
            one.address
            for one in self.members.values()
            if one.zone == zone and one.state in states
        )

    def _silence_timeout(self, member: Member) -> float:
        return (
            OWN_CELL_TIMEOUT_SECONDS
            if self.is_own_cell(member.zone)
            else OTHER_CELL_TIMEOUT_SECONDS
        )
