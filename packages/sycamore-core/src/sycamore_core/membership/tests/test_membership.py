"""Who is believed to live, in fleets of several cells."""

import pytest

from ...ids import PeerId, ZoneId
from .. import Membership, members
from .builders import SimulatedFleet

OWN = ZoneId('z0')
OTHER = ZoneId('z1')


def test_all_find_one_another_through_a_few_seeds() -> None:
    fleet = SimulatedFleet(zones=5, each=12)
    fleet.start_all()
    fleet.beat(12)
    for entry in fleet.entries.values():
        assert entry.membership.living == 60
        assert len(entry.membership.cells) == 5


def test_messages_of_an_entry_do_not_grow_with_other_cells() -> None:
    """A fleet grows from three zones to eight.

    If each entry told all others, it would send 95 messages a beat.
    """
    fleet = SimulatedFleet(zones=8, each=12)
    fleet.start_all()
    fleet.beat(20)
    for entry in fleet.entries.values():
        known = entry.membership
        assert len(known.near()) == 11
        assert len(known.cells - {entry.zone}) == 7


def test_small_fleet_is_one_cell() -> None:
    fleet = SimulatedFleet(zones=3, each=8)
    fleet.start_all()
    fleet.beat(5)
    for entry in fleet.entries.values():
        assert not entry.membership.cells
        assert len(entry.membership.near()) == 23


def test_silent_entry_is_lost_and_told_on() -> None:
    """An entry is cut off for some seconds.

    If the others forgot it, it would come back to callers' requests without
    a word from any of them.
    """
    known = Membership('a', OWN)
    known.hear('b', OWN, PeerId('b'), now=0)
    assert not known.expire(now=members.NEAR_SILENCE)
    lost = known.expire(now=members.NEAR_SILENCE + 0.1)
    assert [one.address for one in lost] == ['b']
    assert known.living == 1
    assert known.near() == ['b']
    assert known.hear('b', OWN, PeerId('b'), now=60)


def test_word_of_third_parties_revives_nobody_of_the_own_cell() -> None:
    """A link between two entries of a cell is cut, others still reach both.

    An entry that cannot be heard itself says nothing of its work, so that it
    must not count as one that does.
    """
    known = Membership('a', OWN)
    known.hear('b', OWN, PeerId('b'), now=0)
    known.expire(now=10)
    known.learn(OWN, ['b'], now=10)
    known.vouch(OWN, ['b'], now=10)
    assert known.living == 1


def test_other_cell_is_believed_on_the_word_of_its_members(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(members, 'LARGEST_CELL', 1)
    known = Membership('a', OWN)
    known.vouch(OTHER, ['b', 'c'], now=0)
    assert known.living_in(OTHER) == ['b', 'c']
    known.vouch(OTHER, ['c'], now=members.FAR_SILENCE)
    lost = known.expire(now=members.FAR_SILENCE + 0.1)
    assert [one.address for one in lost] == ['b']


def test_every_member_of_another_cell_is_told_in_turn() -> None:
    """One of the entries that a cell is told through is dead.

    With a fixed one, its cell would hear nothing until that was noticed.
    """
    fleet = SimulatedFleet(zones=5, each=12)
    fleet.start_all()
    fleet.beat(12)
    known = next(iter(fleet.entries.values())).membership
    told = {known.partner(OTHER, beat) for beat in range(12)}
    assert len(told) == 12


def test_two_halves_that_were_cut_apart_meet_again() -> None:
    """Two zones lose the three others for longer than anybody is believed."""
    fleet = SimulatedFleet(zones=5, each=12)
    fleet.start_all()
    fleet.beat(12)
    first = {one for one, zone in fleet.places.items() if zone in {OWN, OTHER}}
    rest = fleet.places.keys() - first
    for one in first:
        fleet.cut.update((one, other) for other in rest)
        fleet.cut.update((other, one) for other in rest)
    fleet.beat(20)
    assert {fleet.entries[one].membership.living for one in first} == {24}
    fleet.cut = set()
    fleet.beat(30)
    assert all(
        entry.membership.living == 60 for entry in fleet.entries.values()
    )


def test_all_start_anew_at_once() -> None:
    """Every entry loses its power, and all come back together."""
    fleet = SimulatedFleet(zones=5, each=12)
    fleet.start_all()
    fleet.beat(12)
    fleet.start_all()
    fleet.beat(8)
    for entry in fleet.entries.values():
        assert entry.membership.living > members.LARGEST_CELL
        own = entry.membership.living_in(entry.zone)
        assert len(own) == 11


def test_entries_that_were_only_named_count_for_what_all_share() -> None:
    """All entries start anew, and a seed names those of other cells.

    Until they are heard of, an entry that counted itself alone would repeat
    as many requests as the whole fleet may.
    """
    known = Membership('a', OWN)
    known.learn(OTHER, [f'b{number}' for number in range(40)], now=0)
    assert known.living == 1
    assert known.expected == 41
    known.expire(now=members.FAR_SILENCE + 0.1)
    assert known.expected == 1
