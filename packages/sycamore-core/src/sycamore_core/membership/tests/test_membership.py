"""Tests of the membership of fleets with several cells."""

import pytest

from ...ids import PeerId, ZoneId
from .. import Membership, members
from .builders import SimulatedFleet

OWN = ZoneId('z0')
OTHER = ZoneId('z1')


def test_all_find_one_another_through_a_few_seeds() -> None:
    fleet = SimulatedFleet(zones=5, each=12)
    fleet.start_all()
    fleet.run_intervals(12)
    for entry in fleet.entries.values():
        assert entry.membership.alive_count == 60
        assert len(entry.membership.cells) == 5


def test_messages_of_an_entry_do_not_grow_with_other_cells() -> None:
    """A fleet grows from three zones to eight.

    An entry that updated all others would send 95 messages per interval.
    """
    fleet = SimulatedFleet(zones=8, each=12)
    fleet.start_all()
    fleet.run_intervals(20)
    for entry in fleet.entries.values():
        membership = entry.membership
        assert len(membership.own_cell_addresses()) == 11
        assert len(membership.cells - {entry.zone}) == 7


def test_small_fleet_is_one_cell() -> None:
    fleet = SimulatedFleet(zones=3, each=8)
    fleet.start_all()
    fleet.run_intervals(5)
    for entry in fleet.entries.values():
        assert not entry.membership.cells
        assert len(entry.membership.own_cell_addresses()) == 23


def test_silent_entry_is_lost_but_still_updated() -> None:
    """An entry is disconnected for some seconds.

    If the others removed it, it would return to serving callers without
    updates from any of them.
    """
    membership = Membership('a', OWN)
    membership.mark_alive('b', OWN, PeerId('b'), now=0)
    assert not membership.expire(now=members.OWN_CELL_TIMEOUT_SECONDS)
    lost = membership.expire(now=members.OWN_CELL_TIMEOUT_SECONDS + 0.1)
    assert [one.address for one in lost] == ['b']
    assert membership.alive_count == 1
    assert membership.own_cell_addresses() == ['b']
    assert membership.mark_alive('b', OWN, PeerId('b'), now=60)


def test_third_party_reports_do_not_revive_entries_of_the_own_cell() -> None:
    """A link between two entries of a cell is cut; others reach both.

    An entry whose messages do not arrive reports no load, so it must not
    count as alive.
    """
    membership = Membership('a', OWN)
    membership.mark_alive('b', OWN, PeerId('b'), now=0)
    membership.expire(now=10)
    membership.add(OWN, ['b'], now=10)
    membership.confirm(OWN, ['b'], now=10)
    assert membership.alive_count == 1


def test_entries_of_another_cell_are_confirmed_by_its_members(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(members, 'LARGEST_CELL', 1)
    membership = Membership('a', OWN)
    membership.confirm(OTHER, ['b', 'c'], now=0)
    assert membership.alive_in(OTHER) == ['b', 'c']
    membership.confirm(OTHER, ['c'], now=members.OTHER_CELL_TIMEOUT_SECONDS)
    lost = membership.expire(now=members.OTHER_CELL_TIMEOUT_SECONDS + 0.1)
    assert [one.address for one in lost] == ['b']


def test_members_of_another_cell_are_updated_in_rotation() -> None:
    """A member that receives the updates for its cell fails.

    If it were the only receiver, its cell would receive nothing until the
    failure was detected.
    """
    fleet = SimulatedFleet(zones=5, each=12)
    fleet.start_all()
    fleet.run_intervals(12)
    membership = next(iter(fleet.entries.values())).membership
    partners = {membership.partner(OTHER, interval) for interval in range(12)}
    assert len(partners) == 12


def test_two_halves_of_a_partitioned_fleet_merge_again() -> None:
    """Two zones lose the other three for longer than any timeout."""
    fleet = SimulatedFleet(zones=5, each=12)
    fleet.start_all()
    fleet.run_intervals(12)
    first = {one for one, zone in fleet.zone_of.items() if zone in {OWN, OTHER}}
    rest = fleet.zone_of.keys() - first
    for one in first:
        fleet.cut_links.update((one, other) for other in rest)
        fleet.cut_links.update((other, one) for other in rest)
    fleet.run_intervals(20)
    assert {fleet.entries[one].membership.alive_count for one in first} == {24}
    fleet.cut_links = set()
    fleet.run_intervals(30)
    assert all(
        entry.membership.alive_count == 60 for entry in fleet.entries.values()
    )


def test_all_entries_restart_at_once() -> None:
    """Every entry loses its power, and all restart together."""
    fleet = SimulatedFleet(zones=5, each=12)
    fleet.start_all()
    fleet.run_intervals(12)
    fleet.start_all()
    fleet.run_intervals(8)
    for entry in fleet.entries.values():
        assert entry.membership.alive_count > members.LARGEST_CELL
        own = entry.membership.alive_in(entry.zone)
        assert len(own) == 11


def test_unconfirmed_entries_count_for_fleet_wide_limits() -> None:
    """All entries restart, and a seed reports those of other cells.

    Until they are confirmed, an entry that counted only itself would retry
    as many requests as the whole fleet may.
    """
    membership = Membership('a', OWN)
    membership.add(OTHER, [f'b{number}' for number in range(40)], now=0)
    assert membership.alive_count == 1
    assert membership.expected_count == 41
    membership.expire(now=members.OTHER_CELL_TIMEOUT_SECONDS + 0.1)
    assert membership.expected_count == 1
