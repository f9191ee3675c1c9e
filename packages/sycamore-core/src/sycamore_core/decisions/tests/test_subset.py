"""Tests of the choice of the endpoints that an entry uses."""

import types

from sycamore_core.decisions.subset import SUBSET_SIZE, SubsetChooser
from sycamore_core.settings import EndpointSettings

ZONE_NAMES = ('z0', 'z1', 'z2', 'z3', 'z4', 'z5', 'z6', 'z7')
REGION_NAMES = ('r0', 'r0', 'r0', 'r1', 'r1', 'r1', 'r2', 'r2')
ZONES = types.MappingProxyType(dict(zip(ZONE_NAMES, REGION_NAMES)))


def build_fleet(size=128):
    return [
        EndpointSettings(
            endpoint=str(number).zfill(3),
            service='s',
            zone=ZONE_NAMES[number % 8],
            address='tcp://127.0.0.1:1',
        )
        for number in range(size)
    ]


def choose(entry, fleet, zone='z0'):
    return SubsetChooser(entry, zone, ZONES).choose(fleet)


def test_small_fleet_is_used_entirely():
    fleet = build_fleet(12)
    assert set(choose('n1', fleet)) == set(fleet)


def test_subset_covers_own_zone_region_and_others():
    zones = [endpoint.zone for endpoint in choose('n1', build_fleet())]
    assert len(zones) == SUBSET_SIZE
    assert zones.count('z0') == 6
    assert sum(1 for zone in zones if ZONES[zone] == 'r0') >= 9
    assert any(ZONES[zone] != 'r0' for zone in zones)


def test_loss_of_a_zone_leaves_endpoints():
    """Guards against an entry without endpoints after the loss of a zone."""
    remaining = [
        endpoint
        for endpoint in choose('n1', build_fleet())
        if endpoint.zone != 'z0'
    ]
    assert len(remaining) >= 6


def test_removed_endpoint_changes_one_place():
    fleet = build_fleet()
    before = choose('n1', fleet)
    removed = before[3]
    after = choose(
        'n1', [endpoint for endpoint in fleet if endpoint != removed]
    )
    assert len(set(before) - set(after)) == 1


def test_endpoints_are_used_evenly_by_entries():
    fleet = build_fleet()
    uses = dict.fromkeys((endpoint.endpoint for endpoint in fleet), 0)
    for entry in range(352):
        for endpoint in choose(str(entry), fleet, ZONE_NAMES[entry % 8]):
            uses[endpoint.endpoint] += 1
    mean = 352 * SUBSET_SIZE / 128
    assert min(uses.values()) > mean / 3
    assert max(uses.values()) < mean * 2
