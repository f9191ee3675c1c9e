"""The entries of a fleet, and the cells that they form.

What goes wrong without cells: each entry tells all others of every request,
so that the messages of a fleet grow with the square of its entries and use up
the processor share of small instances.

A fleet of up to `LARGEST_CELL` entries is one cell. In a larger one each
availability zone is a cell. Entries of one cell hear each other directly. One
that falls silent counts as lost and is still sent updates, so that it rejoins
as soon as it hears them. Of another cell an entry believes what its members
say in turn: none of them has a role that another would have to take over when
it dies.
"""

from collections.abc import Iterable

from ..ids import PeerId, ZoneId
from .member import Member, MemberState

#: Entries up to which a fleet is one cell. Updates of a larger one would use up
#: the processor share of a small instance.
LARGEST_CELL = 32
#: Silence from which on an entry of the own cell is lost, in seconds: it tells
#: what it has every second, and two messages in a row may be lost.
NEAR_SILENCE = 3.2
#: The same for an entry of another cell, in seconds. It is named about once a
#: second by members of its cell, each at its own moment.
FAR_SILENCE = 6.4
#: Time after which a lost entry is forgotten, in seconds. Until then it is told
#: what happens: one that starts anew may know nobody who lives.
FORGET_SECONDS = 120.0


class Membership:
    """The other entries, as one entry knows them.

    Parameters
    ----------
    address, zone
        The entry's own.

    Attributes
    ----------
    members
        The other entries, by address.

    Examples
    --------
    >>> known = Membership('tcp://a1', ZoneId('a'))
    >>> known.hear('tcp://b1', ZoneId('b'), PeerId('b1'), now=0)
    True
    >>> known.hear('tcp://b1', ZoneId('b'), PeerId('b1'), now=1)
    False
    >>> [one.address for one in known.expire(now=5)]
    ['tcp://b1']
    """

    def __init__(self, address: str, zone: ZoneId) -> None:
        self.address = address
        self.zone = zone
        self.members: dict[str, Member] = {}

    @property
    def is_one_cell(self) -> bool:
        """Whether all entries hear one another directly."""
        return len(self.members) < LARGEST_CELL

    @property
    def living(self) -> int:
        """Return the number of living entries, this one included."""
        others = [one for one in self.members.values() if one.is_living]
        return len(others) + 1

    @property
    def expected(self) -> int:
        """Return the number of entries that may be at work, this one included.

        What goes wrong with those that were heard: all entries start anew,
        those of other cells are only named for a second, and each takes a
        part of what is allowed for all that is five times too large.
        """
        others = [one for one in self.members.values() if not one.is_lost]
        return len(others) + 1

    @property
    def heard_part(self) -> float:
        """Return the part of all entries that is not lost.

        Those that are lost may be at work where they cannot be heard.
        """
        return self.expected / (len(self.members) + 1)

    @property
    def cells(self) -> frozenset[ZoneId]:
        """Return the zones that are cells; none if there is only one cell."""
        if self.is_one_cell:
            return frozenset()
        zones = {one.zone for one in self.members.values() if not one.is_lost}
        return frozenset((self.zone, *zones))

    @property
    def other_zones(self) -> frozenset[ZoneId]:
        """Return the zones of other cells, also of those that are lost."""
        if self.is_one_cell:
            return frozenset()
        zones = {one.zone for one in self.members.values()}
        return frozenset(zones - {self.zone})

    def is_near(self, zone: ZoneId) -> bool:
        """Return whether entries of a zone belong to the own cell."""
        return self.is_one_cell or zone == self.zone

    def near(self) -> list[str]:
        """Return whom to tell at once: the own cell, also who is lost."""
        return [
            one.address
            for one in self.members.values()
            if self.is_near(one.zone)
        ]

    def living_in(self, zone: ZoneId) -> list[str]:
        """Return the living members of a zone, this entry left out."""
        return self._addresses(zone, MemberState.LIVING)

    def partner(self, zone: ZoneId, beat: int) -> str | None:
        """Return whom of another cell to tell on a beat.

        The members take turns, and those of one cell begin at different
        ones. What goes wrong with a fixed partner: when it dies, its cell
        hears nothing more until somebody has noticed. Members that were only
        named have their turn as well, or two cells that know each other by
        the word of a third would never meet; so have those of a cell that is
        lost as a whole, or two halves of a fleet would stay apart.
        """
        addresses = self._addresses(
            zone,
            MemberState.NAMED,
            MemberState.LIVING,
        ) or self._addresses(zone, MemberState.LOST)
        if not addresses:
            return None
        own = sorted((*self.living_in(self.zone), self.address))
        turn = beat + own.index(self.address)
        return addresses[turn % len(addresses)]

    def missing(self, seeds: Iterable[str]) -> list[str]:
        """Return the seeds that are to be greeted: all that do not live.

        An entry that knows nobody any more finds the others by them.
        """
        living = {one.address for one in self.members.values() if one.is_living}
        return sorted(set(seeds) - living - {self.address})

    def learn(self, zone: ZoneId, addresses: Iterable[str], now: float) -> None:
        """Take it from another entry that there are some in a zone."""
        for address in addresses:
            if address not in self.members and address != self.address:
                self.members[address] = Member(
                    address=address,
                    zone=zone,
                    heard_at=now,
                )

    def vouch(self, zone: ZoneId, addresses: Iterable[str], now: float) -> None:
        """Take it from a member of another cell who lives there."""
        named = tuple(addresses)
        self.learn(zone, named, now)
        for address in named:
            member = self.members.get(address)
            if member is not None and not self.is_near(member.zone):
                member.heard_at = now
                member.state = MemberState.LIVING

    def hear(
        self,
        address: str,
        zone: ZoneId,
        name: PeerId,
        now: float,
    ) -> bool:
        """Note that an entry was heard; return whether it was not living."""
        self.learn(zone, (address,), now)
        member = self.members[address]
        is_found = not member.is_living
        member.name = name
        member.zone = zone
        member.heard_at = now
        member.state = MemberState.LIVING
        return is_found

    def expire(self, now: float) -> list[Member]:
        """Forget who was lost long ago; return who is lost now."""
        lost = []
        for member in tuple(self.members.values()):
            silence = now - member.heard_at
            if silence > FORGET_SECONDS:
                self.members.pop(member.address)
            elif not member.is_lost and silence > self._patience(member):
                member.state = MemberState.LOST
                lost.append(member)
        return lost

    def _addresses(self, zone: ZoneId, *states: MemberState) -> list[str]:
        """Return the members of a zone that are in one of some states."""
        return sorted(
            one.address
            for one in self.members.values()
            if one.zone == zone and one.state in states
        )

    def _patience(self, member: Member) -> float:
        return NEAR_SILENCE if self.is_near(member.zone) else FAR_SILENCE
