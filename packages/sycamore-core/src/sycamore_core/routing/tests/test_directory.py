"""What brings an endpoint back into use, and what does not."""

import pytest

from ...ids import EndpointId
from .. import EndpointDirectory, EndpointLifetime
from ..directory import RETURN_SECONDS
from .builders import SERVICE, record

FIRST_START = EndpointLifetime(EndpointId('e1'), 1)


def registered(started_ms: int = 1) -> EndpointDirectory:
    directory = EndpointDirectory()
    directory.put(record('e1', started_ms, is_leaving=False))
    return directory


def is_usable(directory: EndpointDirectory) -> bool:
    return bool(directory.usable(SERVICE))


@pytest.mark.parametrize('says_so', ['itself', 'registration'])
def test_start_that_leaves_stays_so_when_it_registers_anew(
    says_so: str,
) -> None:
    """Guards against requests that are cut off when their endpoint ends."""
    directory = registered()
    if says_so == 'itself':
        directory.mark_leaving(FIRST_START)
    else:
        directory.put(record('e1', 1, is_leaving=True))
    directory.replace((), 0, after_outage=True)
    directory.expire(RETURN_SECONDS)
    directory.put(record('e1', 1, is_leaving=False))
    assert not is_usable(directory)


def test_start_that_leaves_before_it_is_listed_is_not_used() -> None:
    """Guards against a word that comes before the list and is dropped."""
    directory = EndpointDirectory()
    assert directory.mark_leaving(FIRST_START)
    directory.put(record('e1', 1, is_leaving=False))
    assert not is_usable(directory)


def test_new_start_under_the_same_id_is_used() -> None:
    """Guards against a service that loses endpoints which start anew."""
    directory = registered()
    directory.mark_leaving(FIRST_START)
    directory.put(record('e1', 2, is_leaving=False))
    assert is_usable(directory)


def test_word_of_an_older_start_tells_nothing_of_the_present_one() -> None:
    """Guards against a late word that takes a new start out of use."""
    directory = registered(started_ms=2)
    directory.mark_leaving(FIRST_START)
    assert is_usable(directory)


def test_word_that_is_known_is_no_news() -> None:
    """Guards against entries that tell one another the same for ever."""
    directory = registered()
    assert directory.mark_leaving(FIRST_START)
    assert not directory.mark_leaving(FIRST_START)
    directory.remove(EndpointId('e1'))
    assert not directory.mark_leaving(FIRST_START)
