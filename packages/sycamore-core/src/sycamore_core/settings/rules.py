"""Rules between the parts of a settings tree.

What one value alone must satisfy is in its type, see `values`.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

from ..ids import ServiceId
from .checking import nearest
from .inheritance import Levels, Resolver
from .problems import Path, SettingsProblem
from .resolved import BandLimits, ServiceSettings
from .tree import ServiceNode, TreeNode, WorkspaceNode

_SERVICES = 'services'
_ENDPOINTS = 'endpoints'
_DEFAULTS = 'defaults'
_WORKSPACES = 'workspaces'
_NOTHING_SET = ServiceNode()


def broken_rules(tree: TreeNode) -> Iterator[SettingsProblem]:
    """Yield what does not fit together in a tree."""
    yield from _zone_problems(tree)
    yield from _endpoint_problems(tree)
    yield from _address_problems(tree)
    yield from _band_problems(tree.policy.bands)
    for path, node in service_nodes(tree):
        if node != _NOTHING_SET:
            yield from _doubled_targets(path, node)
    yield from _time_limit_problems(tree)
    known = served_names(tree)
    for name, workspace in tree.workspaces.items():
        yield from _unknown_services(known, name, workspace)


def service_nodes(tree: TreeNode) -> Iterator[tuple[Path, ServiceNode]]:
    """Yield each place where values of a service are set."""
    yield (_DEFAULTS,), tree.defaults
    for service, node in tree.services.items():
        yield (_SERVICES, service), node
    for name, workspace in tree.workspaces.items():
        path: Path = (_WORKSPACES, name)
        yield (*path, _DEFAULTS), workspace.defaults
        for service, node in workspace.services.items():
            yield (*path, _SERVICES, service), node


def served_names(tree: TreeNode) -> frozenset[ServiceId]:
    """Return the services that the deployment or an endpoint names."""
    served = {endpoint.service for endpoint in tree.endpoints.values()}
    return frozenset(served | set(tree.services))


def _zone_problems(tree: TreeNode) -> Iterator[SettingsProblem]:
    zones = [zone for zones in tree.regions.values() for zone in zones]
    for zone in _doubled(zones):
        yield SettingsProblem(
            ('regions',),
            f'zone {zone} stands twice',
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
            yield _unknown((*path, 'zone'), endpoint.zone, zones)
        if endpoint.service not in services:
            yield _unknown((*path, 'service'), endpoint.service, services)


def _address_problems(tree: TreeNode) -> Iterator[SettingsProblem]:
    addresses = [endpoint.address for endpoint in tree.endpoints.values()]
    for address in _doubled(addresses):
        names = ', '.join(
            sorted(
                name
                for name, endpoint in tree.endpoints.items()
                if endpoint.address == address
            ),
        )
        yield SettingsProblem(
            (_ENDPOINTS,),
            f'{address} stands at {names}',
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


def _doubled_targets(
    path: Path,
    node: ServiceNode,
) -> Iterator[SettingsProblem]:
    targets = node.targets or ()
    for band in _doubled([target.band.value for target in targets]):
        yield SettingsProblem(
            (*path, 'targets'),
            f'{band} stands twice',
            'one target for each band',
        )


def _time_limit_problems(tree: TreeNode) -> Iterator[SettingsProblem]:
    """Check the values in force, whichever levels they come from.

    Many workspaces have the same ones: the first place stands for all.
    """
    resolver = Resolver(tree)
    seen: set[Levels] = set()
    for path, levels in _services_in_force(resolver):
        if levels not in seen:
            seen.add(levels)
            yield from _beyond_longest(path, resolver.in_force(levels))


def _services_in_force(resolver: Resolver) -> Iterator[tuple[Path, Levels]]:
    for name, workspace in resolver.tree.workspaces.items():
        for service in workspace.services:
            path: Path = (_WORKSPACES, name, _SERVICES, service)
            yield path, resolver.levels(name, service)


def _beyond_longest(
    path: Path,
    settings: ServiceSettings,
) -> Iterator[SettingsProblem]:
    longest = settings.longest_time_limit_seconds
    accepted = f'at most {longest}, its longest_time_limit_seconds'
    default = settings.default_time_limit_seconds
    if default > longest:
        place: Path = (*path, 'default_time_limit_seconds')
        yield SettingsProblem(place, f'{default} is in force', accepted)
    for target in settings.targets:
        seconds = target.first_token_seconds
        if seconds > longest:
            place = (*path, 'targets', target.band.value)
            yield SettingsProblem(place, f'{seconds} is in force', accepted)


def _unknown_services(
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
                nearest(service, known),
            )


def _unknown(path: Path, name: str, names: Iterable[str]) -> SettingsProblem:
    return SettingsProblem(path, f'found {name!r}', nearest(name, names))


def _doubled(names: Iterable[str]) -> Iterator[str]:
    for name, count in Counter(names).items():
        if count > 1:
            yield name
