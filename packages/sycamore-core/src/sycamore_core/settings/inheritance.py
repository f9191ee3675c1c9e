"""Inheritance: which values are in force for a service of a workspace."""

from collections.abc import Mapping
from typing import Any

import msgspec

from ..ids import ServiceId, WorkspaceId
from .resolved import ServiceSettings, WorkspaceSettings
from .tree import ServiceNode, TreeNode

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
            service: self.in_force(self.levels(name, service))
            for service in node.services
        }
        return WorkspaceSettings(
            workspace=name,
            weight=node.weight,
            api_key_hashes=node.api_key_hashes,
            services=services,
        )

    def in_force(self, levels: Levels) -> ServiceSettings:
        """Return the values that follow from some levels."""
        known = self._known.get(levels)
        if known is None:
            known = merge(levels)
            self._known[levels] = known
        return known


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
