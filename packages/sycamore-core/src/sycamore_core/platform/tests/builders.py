"""Builders of published trees and fakes of the platform."""

import asyncio

from ...clock import Clock, SystemClock
from ...errors import PlatformError
from ...ids import SettingsVersion, ZoneId
from ...telemetry import Metrics
from .. import (
    PublishedSettings,
    ReadSchedule,
    SettingsKeeper,
    SettingsPeers,
    SettingsSource,
    ZoneMember,
)

FAST_SCHEDULE = ReadSchedule(
    watch_seconds=0.05,
    min_interval_seconds=0.005,
    recheck_seconds=0.1,
    min_backoff_seconds=0.01,
    max_backoff_seconds=0.05,
)
TEST_TIMEOUT_SECONDS = 20


def tree(version: int, name: str = 'test') -> PublishedSettings:
    """Return a valid published tree."""
    body = f'{{version: {version}, name: "{name}"}}'.encode()
    return PublishedSettings(SettingsVersion(version), body)


def invalid_tree(version: int) -> PublishedSettings:
    """Return a tree with an unknown key, which is invalid."""
    body = f'{{version: {version}, name: "test", wieght: 1}}'.encode()
    return PublishedSettings(SettingsVersion(version), body)


class FakeSource(SettingsSource):
    """A settings service that returns the tree that a test has set."""

    def __init__(self, published: PublishedSettings | None = None) -> None:
        self.published = published
        self.is_down = False
        self.reads = 0

    async def read_above(
        self,
        version: SettingsVersion,
        wait_seconds: float,
    ) -> PublishedSettings | None:
        self.reads += 1
        if self.is_down:
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
    """Return a keeper with short read intervals."""
    return SettingsKeeper(
        ZoneMember('endpoint-1', ZoneId('a')),
        source,
        clock or SystemClock(),
        Metrics('test'),
        peers,
        FAST_SCHEDULE,
    )
