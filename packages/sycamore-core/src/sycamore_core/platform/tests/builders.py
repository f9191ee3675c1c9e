"""Builders of published trees and stand-ins of the platform."""

import asyncio

from ...clock import Clock, SystemClock
from ...errors import PlatformError
from ...ids import SettingsVersion, ZoneId
from ...telemetry import Metrics
from .. import (
    PublishedSettings,
    ReadPace,
    SettingsKeeper,
    SettingsPeers,
    SettingsSource,
    ZoneMember,
)

FAST = ReadPace(
    wait=0.05,
    interval=0.005,
    recheck=0.1,
    first_back_off=0.01,
    longest_back_off=0.05,
)
WAIT_SECONDS = 20


def tree(version: int, name: str = 'test') -> PublishedSettings:
    """Return a valid published tree."""
    body = f'{{version: {version}, name: "{name}"}}'.encode()
    return PublishedSettings(SettingsVersion(version), body)


def invalid(version: int) -> PublishedSettings:
    """Return a tree with a key that no process knows."""
    body = f'{{version: {version}, name: "test", wieght: 1}}'.encode()
    return PublishedSettings(SettingsVersion(version), body)


class FakeSource(SettingsSource):
    """A settings service that returns what a test has put into it."""

    def __init__(self, published: PublishedSettings | None = None) -> None:
        self.published = published
        self.down = False
        self.reads = 0

    async def read_above(
        self,
        version: SettingsVersion,
        wait_seconds: float,
    ) -> PublishedSettings | None:
        self.reads += 1
        if self.down:
            raise PlatformError('down')
        if self._is_above(version):
            return self.published
        await asyncio.sleep(wait_seconds)
        return self.published if self._is_above(version) else None

    def _is_above(self, version: SettingsVersion) -> bool:
        return self.published is not None and self.published.version > version


def make_keeper(
    source: SettingsSource,
    peers: SettingsPeers | None = None,
    clock: Clock | None = None,
) -> SettingsKeeper:
    """Return a keeper that reads often."""
    return SettingsKeeper(
        ZoneMember('endpoint-1', ZoneId('a')),
        source,
        clock or SystemClock(),
        Metrics('test'),
        peers,
        FAST,
    )
