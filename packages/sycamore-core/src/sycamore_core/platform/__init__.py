"""Reading of what the platform publishes: settings and instances."""

from .sources import (
    InstanceEntry,
    InstanceSource,
    InstanceState,
    PublishedSettings,
    SettingsSource,
)

__all__ = (
    'InstanceEntry',
    'InstanceSource',
    'InstanceState',
    'PublishedSettings',
    'SettingsSource',
)
