"""The published settings tree and its inheritance.

A value for a service of a workspace comes from the nearest of: the service in
the workspace, the defaults of the workspace, the service of the deployment,
the defaults of the deployment, and the default of the type.
"""

from collections.abc import Mapping

import msgspec

from ..errors import SettingsError
from ..ids import (
    EndpointId,
    ModelId,
    RegionId,
    ServiceId,
    SettingsVersion,
    WorkspaceId,
    ZoneId,
)
from ..states import EndpointKind
from .files import parse_commented_json
from .resolved import (
    EndpointSettings,
    FleetSettings,
    PolicySettings,
    ServiceSettings,
    Target,
    WorkspaceSettings,
)


class ServiceNode(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """What one level of the tree overrides; see `ServiceSettings`."""

    kind: EndpointKind | msgspec.UnsetType = msgspec.UNSET
    model: ModelId | msgspec.UnsetType = msgspec.UNSET
    max_prompt_tokens: int | msgspec.UnsetType = msgspec.UNSET
    max_output_tokens: int | msgspec.UnsetType = msgspec.UNSET
    default_time_limit_seconds: float | msgspec.UnsetType = msgspec.UNSET
    longest_time_limit_seconds: float | msgspec.UnsetType = msgspec.UNSET
    idempotent: bool | msgspec.UnsetType = msgspec.UNSET
    max_body_bytes: int | msgspec.UnsetType = msgspec.UNSET
    targets: tuple[Target, ...] | msgspec.UnsetType = msgspec.UNSET


class WorkspaceNode(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One workspace of the tree; it may use the services that it names."""

    weight: float = 1
    api_key_hashes: tuple[str, ...] = ()
    defaults: ServiceNode = ServiceNode()
    services: dict[ServiceId, ServiceNode] = {}


class EndpointNode(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One endpoint of the tree; see `EndpointSettings`."""

    service: ServiceId
    zone: ZoneId
    address: str
    draining: bool = False
    capacity_tokens: int = 0


class TreeNode(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """The root of a published tree."""

    version: SettingsVersion
    name: str
    regions: dict[RegionId, tuple[ZoneId, ...]] = {}
    defaults: ServiceNode = ServiceNode()
    services: dict[ServiceId, ServiceNode] = {}
    workspaces: dict[WorkspaceId, WorkspaceNode] = {}
    endpoints: dict[EndpointId, EndpointNode] = {}
    policy: PolicySettings = PolicySettings()
    operator_key_hashes: tuple[str, ...] = ()


def resolve_tree(body: bytes) -> FleetSettings:
    """Check a published tree whole and resolve its inheritance.

    Raises
    ------
    SettingsError
        If the tree cannot be used; it names the path and the reason.
    """
    try:
        tree = msgspec.convert(
            parse_commented_json(body.decode('utf-8')),
            TreeNode,
        )
    except (msgspec.ValidationError, UnicodeDecodeError) as error:
        raise SettingsError(str(error)) from error
    return FleetSettings(
        version=tree.version,
        name=tree.name,
        zones={
            zone: region
            for region, zones in tree.regions.items()
            for zone in zones
        },
        workspaces={
            name: _resolve_workspace(tree, name) for name in tree.workspaces
        },
        endpoints={
            name: _resolve_endpoint(name, node)
            for name, node in tree.endpoints.items()
        },
        policy=tree.policy,
        operator_key_hashes=tree.operator_key_hashes,
    )


def _resolve_workspace(tree: TreeNode, name: WorkspaceId) -> WorkspaceSettings:
    node = tree.workspaces[name]
    services: Mapping[ServiceId, ServiceSettings] = {
        service: _resolve_service(
            tree.defaults,
            tree.services.get(service, ServiceNode()),
            node.defaults,
            override,
        )
        for service, override in node.services.items()
    }
    return WorkspaceSettings(
        workspace=name,
        weight=node.weight,
        api_key_hashes=node.api_key_hashes,
        services=services,
    )


def _resolve_service(*levels: ServiceNode) -> ServiceSettings:
    merged: dict[str, object] = {}
    for level in levels:
        merged.update(
            {
                field: getattr(level, field)
                for field in ServiceNode.__struct_fields__
                if getattr(level, field) is not msgspec.UNSET
            },
        )
    return ServiceSettings(**merged)


def _resolve_endpoint(name: EndpointId, node: EndpointNode) -> EndpointSettings:
    return EndpointSettings(
        endpoint=name,
        service=node.service,
        zone=node.zone,
        address=node.address,
        draining=node.draining,
        capacity_tokens=node.capacity_tokens,
    )
