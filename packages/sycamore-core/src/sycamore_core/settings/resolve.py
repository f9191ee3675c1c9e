"""Validation and resolution of a published settings tree."""

from ..errors import SettingsError
from ..ids import EndpointId, SettingsVersion
from .files import convert_all, parse_commented_json
from .inheritance import Resolver
from .resolved import EndpointSettings, FleetSettings
from .rules import rule_violations
from .tree import EndpointNode, TreeNode


def read_tree(body: bytes, source: str = 'settings') -> TreeNode:
    """Parse and validate a published tree.

    Parameters
    ----------
    source
        Name of the tree in error messages, such as its file path.

    Raises
    ------
    SettingsError
        If the tree is invalid. For each problem the error names the path, the
        value found and what would be accepted.
    """
    try:
        text = body.decode('utf-8')
    except UnicodeDecodeError as error:
        raise SettingsError(f'{source}: not UTF-8: {error}') from error
    content = parse_commented_json(text, source)
    return convert_all(content, TreeNode, source, rule_violations)


def resolve_tree(body: bytes, source: str = 'settings') -> FleetSettings:
    """Validate a published tree and resolve its inheritance.

    Raises
    ------
    SettingsError
        If the tree is invalid, as for `read_tree`.
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
        workspaces={
            name: resolver.workspace_settings(name) for name in tree.workspaces
        },
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
