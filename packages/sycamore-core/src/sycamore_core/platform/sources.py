"""Interfaces of the platform's two services, both of them read-only.

The settings service: ``GET /v1/settings?above=N&wait=S`` answers 200 with the
body and the header ``Settings-Version`` once a version above N is published,
or 304 after S seconds. The list of instances: ``GET /v1/instances`` answers a
JSON array of objects with ``instance``, ``address`` and ``state``.
"""

import abc
import enum
from collections.abc import Sequence

import msgspec

from ..ids import SettingsVersion


class PublishedSettings(msgspec.Struct, frozen=True):
    """One version of the settings tree as it was published."""

    version: SettingsVersion
    body: bytes


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class InstanceEntry(msgspec.Struct, frozen=True):
    """One row of the platform's list, which lags behind the actual state."""

    instance: str
    address: str
    state: InstanceState = InstanceState.LIVE


class SettingsSource(abc.ABC):
    """Reads and watches the settings service."""

    @abc.abstractmethod
    async def read_above(
        self,
        version: SettingsVersion,
        wait_seconds: float,
    ) -> PublishedSettings | None:
        """Return a version above `version`, or None after `wait_seconds`.

        Raises
        ------
        PlatformError
            If the service is down or its answer cannot be read.
        """


class InstanceSource(abc.ABC):
    """Reads the list of live and leaving instances."""

    @abc.abstractmethod
    async def read(self) -> Sequence[InstanceEntry]:
        """Return the current list.

        Raises
        ------
        PlatformError
            If the service is down or its answer cannot be read.
        """
