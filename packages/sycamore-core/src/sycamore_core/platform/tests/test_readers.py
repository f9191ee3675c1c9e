"""Tests of the selection of readers of the settings service."""

import pytest

from ...ids import ZoneId
from .. import is_reader, rank_in_zone
from ..readers import READERS_IN_ZONE

ZONE = ZoneId('a')
NAMES = tuple(f'endpoint-{number}' for number in range(140))


def readers_at(age_seconds: float) -> int:
    ranks = (rank_in_zone(name, ZONE, NAMES) for name in NAMES)
    return sum(is_reader(rank, age_seconds) for rank in ranks)


def test_ranks_are_a_permutation() -> None:
    ranks = {rank_in_zone(name, ZONE, NAMES) for name in NAMES}
    assert ranks == set(range(len(NAMES)))


def test_few_read_while_views_are_confirmed() -> None:
    assert readers_at(0) == READERS_IN_ZONE


@pytest.mark.parametrize('age', [12, 15, 18, 21])
def test_readers_double_while_views_are_unconfirmed(age: float) -> None:
    """All readers of a zone die at once.

    Without new readers the zone would never receive another version. If all
    other processes became readers together, they would overload the service.
    """
    steps = (age - 12) / 3 + 1
    assert readers_at(age) == min(READERS_IN_ZONE * 2**steps, len(NAMES))


def test_all_processes_read_after_a_long_silence() -> None:
    assert readers_at(float('inf')) == len(NAMES)


def test_process_outside_the_list_has_a_rank() -> None:
    assert 0 <= rank_in_zone('entry-1', ZONE, NAMES) <= len(NAMES)
