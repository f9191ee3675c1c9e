"""Reading of what the platform publishes: settings and instances."""

from .accepted import (
    MAX_SETTINGS_BYTES,
    AcceptedSettings,
    RefusedTree,
    TreeRank,
    digest_of,
)
from .bodies import pack, unpack
from .claims import SettingsClaim
from .http_sources import (
    HttpInstanceSource,
    HttpSettingsSource,
    PlatformHttp,
)
from .keeper import SettingsKeeper, ZoneMember
from .pace import ReadPace
from .peers import NoPeers, SeedPeers, SettingsPeers
from .readers import is_reader, rank_in_zone
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
    'ReadPace',
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
    'pack',
    'rank_in_zone',
    'unpack',
)
