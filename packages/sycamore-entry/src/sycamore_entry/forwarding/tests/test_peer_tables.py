"""Configurations that peers send."""

import pytest
from sycamore_core.clock import SystemClock
from sycamore_core.ids import SettingsVersion
from sycamore_core.messages import Message, SettingsBody, SettingsWanted
from sycamore_core.platform import PublishedSettings, pack_settings
from sycamore_core.routing import PublishedTable

from ..fleet.feed import TableChanged
from ..fleet.keeper import FleetKeeper
from ..mesh.newer_settings import NewerSettings
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
    keeper.in_force.apply_peer_body(body_of(version))
    assert (keeper.version, feed.parsed) == (3, [])


def test_newer_version_of_several_peers_is_parsed_once() -> None:
    """Guards against a loop that is held up once for each peer that answers."""
    feed = CountingFeed()
    keeper = FleetKeeper(feed, SystemClock())
    keeper._apply_change(TableChanged(SNAPSHOT.published))
    for _ in range(3):
        keeper.in_force.apply_peer_body(body_of(8))
    assert (keeper.version, feed.parsed) == (8, [b'8'])


class Inbox:
    """A peer that keeps what is sent to it."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def post(self, message: Message) -> None:
        self.messages.append(message)


def test_configuration_is_packed_once_for_all_peers() -> None:
    """Guards against a loop that is held up once for each peer that asks."""
    keeper = FleetKeeper(CountingFeed(), SystemClock())
    settings = NewerSettings(keeper)
    inbox = Inbox()
    for version in (3, 8):
        keeper.in_force.apply_peer_body(body_of(version))
        settings.answer(inbox, SettingsWanted(above=0))
        settings.answer(inbox, SettingsWanted(above=0))
    first, second, newer, last = inbox.messages
    assert first is second
    assert newer is last
    assert (first.version, newer.version) == (3, 8)
