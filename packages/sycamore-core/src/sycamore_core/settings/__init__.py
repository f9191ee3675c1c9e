"""Settings: process files, the published tree and its resolved form."""

from .files import load_process_settings
from .problems import SettingsProblem, SettingsProblemsError
from .process import (
    EndpointProcessSettings,
    EntryProcessSettings,
    LogLevel,
    PeerKeyFiles,
)
from .resolve import read_tree, resolve_tree
from .resolved import (
    BandLimits,
    EndpointSettings,
    FleetSettings,
    PolicySettings,
    ServiceSettings,
    Target,
    WorkspaceSettings,
)
from .tree import EndpointNode, ServiceNode, TreeNode, WorkspaceNode

__all__ = (
    'BandLimits',
    'EndpointNode',
    'EndpointProcessSettings',
    'EndpointSettings',
    'EntryProcessSettings',
    'FleetSettings',
    'LogLevel',
    'PeerKeyFiles',
    'PolicySettings',
    'ServiceNode',
    'ServiceSettings',
    'SettingsProblem',
    'SettingsProblemsError',
    'Target',
    'TreeNode',
    'WorkspaceNode',
    'WorkspaceSettings',
    'load_process_settings',
    'read_tree',
    'resolve_tree',
)
