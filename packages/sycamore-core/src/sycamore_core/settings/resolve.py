"""A published tree, checked as a whole and resolved."""

from ..errors import SettingsError
from ..ids import EndpointId, SettingsVersion
from .files import convert_all, parse_commented_json
from .inheritance import Resolver
from .resolved import EndpointSettings, FleetSettings
from .rules import broken_rules
from .tree import EndpointNode, TreeNode


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


def _resolve_endpoint(name: EndpointId, node: EndpointNode) -> EndpointSettings:
    return EndpointSettings(
        endpoint=name,
        service=node.service,
        zone=node.zone,
        address=node.address,
        draining=node.draining,
        capacity_tokens=node.capacity_tokens,
    )
