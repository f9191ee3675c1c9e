"""Provenance of effective values: which level of the tree sets each one."""

import functools
from collections.abc import Iterator
from typing import Any

import msgspec

from ..errors import SettingsError
from ..ids import ServiceId, WorkspaceId
from .checking import suggest_name
from .inheritance import Resolver, merge, overrides
from .tree import TreeNode

_BUILT_IN = 'built in'


class EffectiveValue(msgspec.Struct, frozen=True):
    """One effective value for a service of a workspace.

    Attributes
    ----------
    level
        Path in the tree of the node that sets the value, or ``built in`` for
        the default of the type.
    """

    field: str
    setting: Any
    level: str


def effective_values(
    tree: TreeNode,
    workspace: WorkspaceId,
    service: ServiceId,
) -> tuple[EffectiveValue, ...]:
    """Return the effective values for a service, with their sources.

    Raises
    ------
    SettingsError
        If the tree has no such workspace, or the workspace has no such
        service.
    """
    _require(workspace, tree.workspaces, 'workspace')
    _require(service, tree.workspaces[workspace].services, 'service')
    levels = Resolver(tree).levels_for(workspace, service)
    names = (
        'defaults',
        f'services.{service}',
        f'workspaces.{workspace}.defaults',
        f'workspaces.{workspace}.services.{service}',
    )
    sources: dict[str, str] = {}
    for name, level in zip(names, levels, strict=True):
        sources.update(dict.fromkeys(overrides(level), name))
    merged = merge(levels)
    return tuple(
        EffectiveValue(
            field,
            getattr(merged, field),
            sources.get(field, _BUILT_IN),
        )
        for field in merged.__struct_fields__
    )


def workspace_services(
    tree: TreeNode,
) -> Iterator[tuple[WorkspaceId, ServiceId]]:
    """Yield each workspace with each service that it may use."""
    for name in sorted(tree.workspaces):
        services = sorted(tree.workspaces[name].services)
        yield from map(functools.partial(_pair, name), services)


def _pair(
    workspace: WorkspaceId,
    service: ServiceId,
) -> tuple[WorkspaceId, ServiceId]:
    return workspace, service


def _require(name: str, names: Any, kind: str) -> None:
    if name not in names:
        accepted = suggest_name(name, names)
        raise SettingsError(f'no {kind} {name!r}; accepted: {accepted}')
