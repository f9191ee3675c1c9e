"""Inheritance of settings: the effective values for services."""

from collections.abc import Mapping
from typing import Any

import msgspec

from ..ids import ServiceId, WorkspaceId
from .resolved import ServiceSettings, WorkspaceSettings
from .tree import ServiceNode, TreeNode

#: Levels that set values for a service of a workspace, in order of increasing
#: precedence.
Levels = tuple[ServiceNode, ...]


class Resolver:
    """Resolves the settings of the services of one tree.

    Results are cached by their levels: workspaces that override nothing share
    one object per service, so that 2,400 workspaces use little memory.
    """

    def __init__(self, tree: TreeNode) -> None:
        self.tree = tree
        self._resolved: dict[Levels, ServiceSettings] = {}

    def levels_for(self, workspace: WorkspaceId, service: ServiceId) -> Levels:
        """Return the levels that apply to a service of a workspace."""
        node = self.tree.workspaces[workspace]
        return (
            self.tree.defaults,
            self.tree.services.get(service, ServiceNode()),
            node.defaults,
            node.services[service],
        )

    def workspace_settings(self, name: WorkspaceId) -> WorkspaceSettings:
        """Return the effective settings of a workspace."""
        node = self.tree.workspaces[name]
        services: Mapping[ServiceId, ServiceSettings] = {
            service: self.service_settings(self.levels_for(name, service))
            for service in node.services
        }
        return WorkspaceSettings(
            workspace=name,
            weight=node.weight,
            api_key_hashes=node.api_key_hashes,
            services=services,
        )

    def service_settings(self, levels: Levels) -> ServiceSettings:
        """Return the effective settings of a service with these levels."""
        resolved = self._resolved.get(levels)
        if resolved is None:
            resolved = merge(levels)
            self._resolved[levels] = resolved
        return resolved


def merge(levels: Levels) -> ServiceSettings:
    """Return the merged values; a later level overrides an earlier one."""
    merged: dict[str, Any] = {}
    for level in levels:
        merged.update(overrides(level))
    return ServiceSettings(**merged)


def overrides(level: ServiceNode) -> dict[str, Any]:
    """Return the values that one level sets, by field name."""
    return {
        field: getattr(level, field)
        for field in ServiceNode.__struct_fields__
        if getattr(level, field) is not msgspec.UNSET
    }
