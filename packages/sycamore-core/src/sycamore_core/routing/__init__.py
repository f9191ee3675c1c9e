"""Routes, endpoints and their loads, for entries that call endpoints."""

from .cold import ColdReport
from .crashes import CrashReport
from .directory import EndpointDirectory
from .endpoints import EndpointLifetime, EndpointRecord
from .engines import EngineCosts
from .evacuations import EvacuationReport
from .limits import LimitReport
from .loads import EngineLoad, EngineShare, PauseObjective, UnreadPrompt
from .paces import PaceReport
from .ranks import Rank, rank_of
from .regions import allowed_zones
from .routes import (
    CallerLimits,
    Route,
    RouteKind,
    ServiceRecord,
    ServiceShare,
    WorkspaceRecord,
)
from .table import PublishedTable, RoutingTable
from .usage import WorkspaceUsage
from .waiting import WaitingReport

__all__ = (
    'CallerLimits',
    'ColdReport',
    'CrashReport',
    'EndpointDirectory',
    'EndpointLifetime',
    'EndpointRecord',
    'EngineCosts',
    'EngineLoad',
    'EngineShare',
    'EvacuationReport',
    'PublishedTable',
    'LimitReport',
    'PaceReport',
    'Rank',
    'Route',
    'RouteKind',
    'RoutingTable',
    'ServiceRecord',
    'ServiceShare',
    'PauseObjective',
    'UnreadPrompt',
    'WaitingReport',
    'WorkspaceRecord',
    'WorkspaceUsage',
    'rank_of',
    'allowed_zones',
)
