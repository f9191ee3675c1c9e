"""The settings service: what is published, and how it can misbehave."""

import asyncio
import enum

import msgspec
from sycamore_core.ids import SettingsVersion
from sycamore_core.platform import PublishedSettings


class SettingsMode(enum.StrEnum):
    """How the settings service behaves."""

    UP = 'up'
    #: Answers 503 to every read.
    DOWN = 'down'
    #: Answers only what was published when the mode was set.
    STALE = 'stale'
    #: Answers an old version whatever its reader already has.
    BACK = 'back'


class ReadCounts(msgspec.Struct, frozen=True):
    """Reads of the service; a waiting watch counts as one."""

    total: int
    answered_with_body: int


class SettingsStore:
    """Versions that were published, and which of them is served.

    Examples
    --------
    >>> store = SettingsStore()
    >>> store.publish(PublishedSettings(SettingsVersion(1), b'{}'))
    >>> store.behave(SettingsMode.STALE, SettingsVersion(0))
    >>> store.publish(PublishedSettings(SettingsVersion(2), b'{}'))
    >>> store.above(SettingsVersion(0)).version
    1
    """

    def __init__(self) -> None:
        self.published: list[PublishedSettings] = []
        self.mode = SettingsMode.UP
        self.shown: PublishedSettings | None = None
        self.reads = 0
        self.bodies = 0
        self._changed = asyncio.Event()

    def publish(self, settings: PublishedSettings) -> None:
        """Publish a version, whatever it holds."""
        self.published.append(settings)
        if self.mode == SettingsMode.UP:
            self.shown = settings
        self._wake_watchers()

    def behave(self, mode: SettingsMode, version: SettingsVersion) -> None:
        """Change how the service behaves.

        Parameters
        ----------
        version
            The version served when stale or back in time; 0 keeps the one
            served so far.
        """
        self.mode = mode
        if mode == SettingsMode.UP and self.published:
            self.shown = self.published[-1]
        for settings in self.published:
            if settings.version == version:
                self.shown = settings
        self._wake_watchers()

    def above(self, version: SettingsVersion) -> PublishedSettings | None:
        """Return what a reader that has `version` is answered now."""
        if self.shown is None:
            return None
        if self.mode == SettingsMode.BACK or self.shown.version > version:
            return self.shown
        return None

    async def watch(
        self,
        version: SettingsVersion,
        wait_seconds: float,
    ) -> PublishedSettings | None:
        """Return what is above `version`, or None after `wait_seconds`."""
        try:
            async with asyncio.timeout(wait_seconds):
                return await self._wait_above(version)
        except TimeoutError:
            return None

    async def _wait_above(
        self,
        version: SettingsVersion,
    ) -> PublishedSettings | None:
        while self.mode != SettingsMode.DOWN:
            found = self.above(version)
            if found is not None:
                return found
            await self._changed.wait()
        return None

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
