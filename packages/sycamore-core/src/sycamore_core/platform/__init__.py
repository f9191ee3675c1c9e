"""Readers of the settings and the instance list that the platform publishes."""

from .accepted import (
    MAX_SETTINGS_BYTES,
    AcceptedSettings,
    RefusedTree,
    TreeRank,
    digest_of,
)
from .bodies import pack_settings, unpack_settings
from .claims import SettingsClaim
from .http_sources import (
    HttpInstanceSource,
    HttpSettingsSource,
    PlatformHttp,
)
from .keeper import SettingsKeeper, ZoneMember
from .peers import NoPeers, SeedPeers, SettingsPeers
from .readers import is_reader, rank_in_zone
from .schedule import ReadSchedule
from .sources import (
    InstanceEntry,
    InstanceSource,
    InstanceState,
    PublishedSettings,
    SettingsSource,
)

__all__ = (
    'MAX_SETTINGS_BYTES',
    'AcceptedSettings',
    'HttpInstanceSource',
    'HttpSettingsSource',
    'InstanceEntry',
    'InstanceSource',
    'InstanceState',
    'NoPeers',
    'PlatformHttp',
    'PublishedSettings',
    'ReadSchedule',
    'RefusedTree',
    'SeedPeers',
    'SettingsClaim',
    'SettingsKeeper',
    'SettingsPeers',
    'SettingsSource',
    'TreeRank',
    'ZoneMember',
    'digest_of',
    'is_reader',
    'pack_settings',
    'rank_in_zone',
    'unpack_settings',
)
