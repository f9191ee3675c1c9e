"""Check of a published tree as a whole, and its inheritance."""

from collections.abc import Mapping
from typing import Any

import msgspec

from ..errors import SettingsError
from ..ids import EndpointId, ServiceId, SettingsVersion, WorkspaceId
from .files import convert_all, parse_commented_json
from .resolved import (
    EndpointSettings,
    FleetSettings,
    ServiceSettings,
    WorkspaceSettings,
)
from .rules import broken_rules
from .tree import EndpointNode, ServiceNode, TreeNode

#: The levels from which a service of a workspace takes its values, the
#: nearest one last.
Levels = tuple[ServiceNode, ...]


class Resolver:
    """Resolves the services of one tree.

    Workspaces that override nothing share one value, so that 2,400 of them
    take little memory.
    """

    def __init__(self, tree: TreeNode) -> None:
        self.tree = tree
        self._known: dict[Levels, ServiceSettings] = {}

    def levels(self, workspace: WorkspaceId, service: ServiceId) -> Levels:
        """Return the levels for a service of a workspace."""
        node = self.tree.workspaces[workspace]
        return (
            self.tree.defaults,
            self.tree.services.get(service, ServiceNode()),
            node.defaults,
            node.services[service],
        )

    def workspace(self, name: WorkspaceId) -> WorkspaceSettings:
        """Return the values in force for a workspace."""
        node = self.tree.workspaces[name]
        services: Mapping[ServiceId, ServiceSettings] = {
            service: self._service(self.levels(name, service))
            for service in node.services
        }
        return WorkspaceSettings(
            workspace=name,
            weight=node.weight,
            api_key_hashes=node.api_key_hashes,
            services=services,
        )

    def _service(self, levels: Levels) -> ServiceSettings:
        known = self._known.get(levels)
        if known is None:
            known = merge(levels)
            self._known[levels] = known
        return known


def read_tree(body: bytes, source: str = 'settings') -> TreeNode:
    """Check a published tree whole.

    Parameters
    ----------
    source
        What errors call the tree: its file, or what was published.

    Raises
    ------
    SettingsError
        If the tree cannot be used; it names each path, what stands there and
        what would be accepted.
    """
    try:
        text = body.decode('utf-8')
    except UnicodeDecodeError as error:
        raise SettingsError(f'{source}: not UTF-8: {error}') from error
    content = parse_commented_json(text, source)
    return convert_all(content, TreeNode, source, broken_rules)


def resolve_tree(body: bytes, source: str = 'settings') -> FleetSettings:
    """Check a published tree whole and resolve its inheritance.

    Raises
    ------
    SettingsError
        As `read_tree` does.
    """
    tree = read_tree(body, source)
    resolver = Resolver(tree)
    return FleetSettings(
        version=SettingsVersion(tree.version),
        name=tree.name,
        zones={
            zone: region
            for region, zones in tree.regions.items()
            for zone in zones
        },
        workspaces={name: resolver.workspace(name) for name in tree.workspaces},
        endpoints={
            name: _resolve_endpoint(name, node)
            for name, node in tree.endpoints.items()
        },
        policy=tree.policy,
        operator_key_hashes=tree.operator_key_hashes,
    )


def merge(levels: Levels) -> ServiceSettings:
    """Return the values in force, the last level that sets one going first."""
    merged: dict[str, Any] = {}
    for level in levels:
        merged.update(overrides(level))
    return ServiceSettings(**merged)


def overrides(level: ServiceNode) -> dict[str, Any]:
    """Return what one level sets, by the name of the field."""
    return {
        field: getattr(level, field)
        for field in ServiceNode.__struct_fields__
        if getattr(level, field) is not msgspec.UNSET
    }


def _resolve_endpoint(name: EndpointId, node: EndpointNode) -> EndpointSettings:
    return EndpointSettings(
        endpoint=name,
        service=node.service,
        zone=node.zone,
        address=node.address,
        draining=node.draining,
        capacity_tokens=node.capacity_tokens,
    )
