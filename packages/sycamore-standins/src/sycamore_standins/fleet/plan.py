"""What a fleet consists of."""

import hashlib

import msgspec
from sycamore_core.ids import (
    RegionId,
    ServiceId,
    SettingsVersion,
    WorkspaceId,
    ZoneId,
)
from sycamore_core.settings import PolicySettings
from sycamore_core.settings.tree import ServiceNode, TreeNode, WorkspaceNode

from ..engine import EngineProfile

_REGION = RegionId('local')


class EntryPlan(msgspec.Struct, frozen=True):
    """One entry process."""

    zone: ZoneId


class ModelPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One engine and the endpoint process beside it."""

    service: ServiceId
    zone: ZoneId
    profile: EngineProfile = EngineProfile()
    checks_fencing: bool = True


class PlainPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One instance of a plain service and the endpoint process beside it."""

    service: ServiceId
    zone: ZoneId
    delay_seconds: float = 0


class WorkspacePlan(msgspec.Struct, frozen=True, kw_only=True):
    """One workspace with its key; it may use the services that it names."""

    name: WorkspaceId
    api_key: str
    services: tuple[ServiceId, ...]
    weight: float = 1


class FleetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A whole fleet."""

    name: str
    entries: tuple[EntryPlan, ...]
    models: tuple[ModelPlan, ...] = ()
    plains: tuple[PlainPlan, ...] = ()
    workspaces: tuple[WorkspacePlan, ...] = ()
    services: dict[ServiceId, ServiceNode] = {}
    policy: PolicySettings = PolicySettings()
    operator_key: str = 'operator-key-of-the-tests'

    def tree(self, version: SettingsVersion) -> TreeNode:
        """Return the settings tree, as yet without the endpoints."""
        return TreeNode(
            version=version,
            name=self.name,
            regions={_REGION: self.zones()},
            services=self.services,
            workspaces={
                plan.name: _workspace_node(plan) for plan in self.workspaces
            },
            policy=self.policy,
            operator_key_hashes=(key_hash(self.operator_key),),
        )

    def zones(self) -> tuple[ZoneId, ...]:
        """Return the zones in which something runs, in order."""
        plans = (*self.entries, *self.models, *self.plains)
        return tuple(sorted({plan.zone for plan in plans}))


def key_hash(api_key: str) -> str:
    """Return the published form of a key."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def _workspace_node(plan: WorkspacePlan) -> WorkspaceNode:
    return WorkspaceNode(
        weight=plan.weight,
        api_key_hashes=(key_hash(plan.api_key),),
        services={service: ServiceNode() for service in plan.services},
    )
