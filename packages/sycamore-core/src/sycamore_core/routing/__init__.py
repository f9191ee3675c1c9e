"""Routes, endpoints and their loads, for entries that call endpoints."""

from .crashes import CrashReport
from .directory import EndpointDirectory
from .endpoints import EndpointLifetime, EndpointRecord
from .engines import EngineCosts
from .limits import LimitReport
from .loads import EngineLoad, EngineShare, PauseObjective, UnreadPrompt
from .routes import (
    CallerLimits,
    Route,
    RouteKind,
    ServiceRecord,
    ServiceShare,
    WorkspaceRecord,
)
from .table import PublishedTable, RoutingTable

__all__ = (
    'CallerLimits',
    'CrashReport',
    'EndpointDirectory',
    'EndpointLifetime',
    'EndpointRecord',
    'EngineCosts',
    'EngineLoad',
    'EngineShare',
    'PublishedTable',
    'LimitReport',
    'Route',
    'RouteKind',
    'RoutingTable',
    'ServiceRecord',
    'ServiceShare',
    'PauseObjective',
    'UnreadPrompt',
    'WorkspaceRecord',
)
