"""Rules that involve several values of a settings tree.

The constraints on a single value belong to its type, see `values`.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

from ..ids import ServiceId
from .checking import suggest_name
from .inheritance import Levels, Resolver
from .problems import Path, SettingsProblem
from .resolved import BandLimits, ServiceSettings
from .tree import ServiceNode, TreeNode, WorkspaceNode

_SERVICES = 'services'
_ENDPOINTS = 'endpoints'
_DEFAULTS = 'defaults'
_WORKSPACES = 'workspaces'
_EMPTY_NODE = ServiceNode()


def rule_violations(tree: TreeNode) -> Iterator[SettingsProblem]:
    """Yield a problem for each rule that a tree violates."""
    yield from _zone_problems(tree)
    yield from _endpoint_problems(tree)
    yield from _address_problems(tree)
    yield from _band_problems(tree.policy.bands)
    for path, node in service_nodes(tree):
        if node != _EMPTY_NODE:
            yield from _duplicate_target_problems(path, node)
    yield from _time_limit_problems(tree)
    known = known_services(tree)
    for name, workspace in tree.workspaces.items():
        yield from _unknown_service_problems(known, name, workspace)


def service_nodes(tree: TreeNode) -> Iterator[tuple[Path, ServiceNode]]:
    """Yield the path and node of each place that sets values of a service."""
    yield (_DEFAULTS,), tree.defaults
    for service, node in tree.services.items():
        yield (_SERVICES, service), node
    for name, workspace in tree.workspaces.items():
        path: Path = (_WORKSPACES, name)
        yield (*path, _DEFAULTS), workspace.defaults
        for service, node in workspace.services.items():
            yield (*path, _SERVICES, service), node


def known_services(tree: TreeNode) -> frozenset[ServiceId]:
    """Return the services named by the deployment or by an endpoint."""
    served = {endpoint.service for endpoint in tree.endpoints.values()}
    return frozenset(served | set(tree.services))


def _zone_problems(tree: TreeNode) -> Iterator[SettingsProblem]:
    zones = [zone for zones in tree.regions.values() for zone in zones]
    for zone in _duplicates(zones):
        yield SettingsProblem(
            ('regions',),
            f'zone {zone} is listed more than once',
            'each zone in one region',
        )


def _endpoint_problems(tree: TreeNode) -> Iterator[SettingsProblem]:
    zones = {zone for zones in tree.regions.values() for zone in zones}
    services = set(tree.services)
    for workspace in tree.workspaces.values():
        services.update(workspace.services)
    for name, endpoint in tree.endpoints.items():
        path: Path = (_ENDPOINTS, name)
        if endpoint.zone not in zones:
            yield _unknown_name_problem((*path, 'zone'), endpoint.zone, zones)
        if endpoint.service not in services:
            yield _unknown_name_problem(
                (*path, 'service'), endpoint.service, services
            )


def _address_problems(tree: TreeNode) -> Iterator[SettingsProblem]:
    addresses = [endpoint.address for endpoint in tree.endpoints.values()]
    for address in _duplicates(addresses):
        names = ', '.join(
            sorted(
                name
                for name, endpoint in tree.endpoints.items()
                if endpoint.address == address
            ),
        )
        yield SettingsProblem(
            (_ENDPOINTS,),
            f'{address} is used by {names}',
            'another address for each endpoint',
        )


def _band_problems(bands: BandLimits) -> Iterator[SettingsProblem]:
    limits = (bands.short, bands.medium, bands.long)
    if sorted(set(limits)) != list(limits):
        yield SettingsProblem(
            ('policy', 'bands'),
            f'found {limits}',
            'short below medium below long',
        )


def _duplicate_target_problems(
    path: Path,
    node: ServiceNode,
) -> Iterator[SettingsProblem]:
    targets = node.targets or ()
    for band in _duplicates([target.band.value for target in targets]):
        yield SettingsProblem(
            (*path, 'targets'),
            f'{band} is listed more than once',
            'one target for each band',
        )


def _time_limit_problems(tree: TreeNode) -> Iterator[SettingsProblem]:
    """Check the effective time limits, whichever levels set them.

    Many workspaces share the same levels. A problem of such levels is
    reported once, with the first path at which they occur.
    """
    resolver = Resolver(tree)
    seen: set[Levels] = set()
    for path, levels in _service_levels(resolver):
        if levels not in seen:
            seen.add(levels)
            yield from _excessive_time_problems(
                path, resolver.service_settings(levels)
            )


def _service_levels(resolver: Resolver) -> Iterator[tuple[Path, Levels]]:
    for name, workspace in resolver.tree.workspaces.items():
        for service in workspace.services:
            path: Path = (_WORKSPACES, name, _SERVICES, service)
            yield path, resolver.levels_for(name, service)


def _excessive_time_problems(
    path: Path,
    settings: ServiceSettings,
) -> Iterator[SettingsProblem]:
    longest = settings.longest_time_limit_seconds
    accepted = f'at most {longest}, its longest_time_limit_seconds'
    default = settings.default_time_limit_seconds
    if default > longest:
        full_path: Path = (*path, 'default_time_limit_seconds')
        yield SettingsProblem(full_path, f'{default} is in force', accepted)
    for target in settings.targets:
        seconds = target.first_token_seconds
        if seconds > longest:
            full_path = (*path, 'targets', target.band.value)
            yield SettingsProblem(full_path, f'{seconds} is in force', accepted)


def _unknown_service_problems(
    known: frozenset[ServiceId],
    name: str,
    workspace: WorkspaceNode,
) -> Iterator[SettingsProblem]:
    for service in workspace.services:
        if service not in known:
            path: Path = (_WORKSPACES, name, _SERVICES, service)
            yield SettingsProblem(
                path,
                'a service that neither the deployment nor an endpoint names',
                suggest_name(service, known),
            )


def _unknown_name_problem(
    path: Path, name: str, names: Iterable[str]
) -> SettingsProblem:
    return SettingsProblem(path, f'found {name!r}', suggest_name(name, names))


def _duplicates(names: Iterable[str]) -> Iterator[str]:
    for name, count in Counter(names).items():
        if count > 1:
            yield name
