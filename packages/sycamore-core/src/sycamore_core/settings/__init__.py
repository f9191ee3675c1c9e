"""Settings: the process file, the published tree, and what they resolve to."""

from .files import load_process_settings
from .process import EndpointProcessSettings, EntryProcessSettings, PeerKeyFiles
from .resolved import (
    BandLimits,
    EndpointSettings,
    FleetSettings,
    PolicySettings,
    ServiceSettings,
    Target,
    WorkspaceSettings,
)
from .tree import resolve_tree

__all__ = (
    'BandLimits',
    'EndpointProcessSettings',
    'EndpointSettings',
    'EntryProcessSettings',
    'FleetSettings',
    'PeerKeyFiles',
    'PolicySettings',
    'ServiceSettings',
    'Target',
    'WorkspaceSettings',
    'load_process_settings',
    'resolve_tree',
)
