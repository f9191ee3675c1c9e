"""Stand-ins for the platform: settings, list of instances, weight store."""

from .instances import InstanceList
from .settings import SettingsMode, SettingsStore
from .weights import WeightRate

__all__ = ('InstanceList', 'SettingsMode', 'SettingsStore', 'WeightRate')
