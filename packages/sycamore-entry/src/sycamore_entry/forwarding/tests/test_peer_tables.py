"""Configurations that peers send."""

import pytest
from sycamore_core.clock import SystemClock
from sycamore_core.ids import SettingsVersion
from sycamore_core.messages import SettingsBody
from sycamore_core.platform import PublishedSettings, pack_settings
from sycamore_core.routing import PublishedTable

from ..fleet.feed import TableChanged
from ..fleet.keeper import FleetKeeper
from .builders import SNAPSHOT, FixedFeed


class CountingFeed(FixedFeed):
    """Counts the documents that are parsed."""

    def __init__(self) -> None:
        super().__init__(SNAPSHOT)
        self.parsed: list[bytes] = []

    def read_table(self, source: bytes) -> PublishedTable:
        self.parsed.append(source)
        return super().read_table(source)


def body_of(version: int) -> SettingsBody:
    published = PublishedSettings(
        SettingsVersion(version), str(version).encode()
    )
    return pack_settings(published)


@pytest.mark.parametrize('version', [2, 3])
def test_known_version_of_a_peer_is_not_parsed(version: int) -> None:
    """Guards against a loop that is held up once for each peer that answers."""
    feed = CountingFeed()
    keeper = FleetKeeper(feed, SystemClock())
    keeper._apply_change(TableChanged(SNAPSHOT.published))
    keeper.apply_peer_table(body_of(version))
    assert (keeper.version, feed.parsed) == (3, [])


def test_newer_version_of_several_peers_is_parsed_once() -> None:
    """Guards against a loop that is held up once for each peer that answers."""
    feed = CountingFeed()
    keeper = FleetKeeper(feed, SystemClock())
    keeper._apply_change(TableChanged(SNAPSHOT.published))
    for _ in range(3):
        keeper.apply_peer_table(body_of(8))
    assert (keeper.version, feed.parsed) == (8, [b'8'])
