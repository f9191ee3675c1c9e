"""Types of the published settings tree.

A value for a service of a workspace comes from the first of these levels that
sets it: the service in the workspace, the defaults of the workspace, the
service of the deployment, the defaults of the deployment, the default of the
type.
"""

import msgspec

from ..states import EndpointKind
from .resolved import PolicySettings, Target
from .values import (
    BodyBytes,
    EndpointName,
    KeyHash,
    ModelName,
    PeerAddress,
    RegionName,
    Seconds,
    SecondsOrNone,
    ServiceName,
    Tokens,
    TokensOrNone,
    Version,
    Weight,
    WorkspaceName,
    ZoneName,
)


class ServiceNode(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """What one level of the tree overrides for a service.

    Attributes
    ----------
    kind
        Whether a model engine or a plain service answers.
    model
        Model that the engines must have loaded.
    max_prompt_tokens, max_output_tokens
        Largest sizes taken, in tokens.
    default_time_limit_seconds
        Used when a caller names no time limit; 0 means that one is required.
    longest_time_limit_seconds
        Longest time limit that a caller may ask for, in seconds.
    idempotent
        Whether a request may run more than once unless its caller says
        otherwise.
    max_body_bytes
        Largest request body taken, in bytes.
    targets
        What is committed to, one entry for each band; a list replaces that
        of the level above whole.
    """

    kind: EndpointKind | msgspec.UnsetType = msgspec.UNSET
    model: ModelName | msgspec.UnsetType = msgspec.UNSET
    max_prompt_tokens: Tokens | msgspec.UnsetType = msgspec.UNSET
    max_output_tokens: Tokens | msgspec.UnsetType = msgspec.UNSET
    default_time_limit_seconds: SecondsOrNone | msgspec.UnsetType = (
        msgspec.UNSET
    )
    longest_time_limit_seconds: Seconds | msgspec.UnsetType = msgspec.UNSET
    idempotent: bool | msgspec.UnsetType = msgspec.UNSET
    max_body_bytes: BodyBytes | msgspec.UnsetType = msgspec.UNSET
    targets: tuple[Target, ...] | msgspec.UnsetType = msgspec.UNSET


class WorkspaceNode(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """One workspace of the tree.

    Attributes
    ----------
    weight
        Share of the capacity relative to the other workspaces.
    api_key_hashes
        SHA-256 of each API key of the workspace.
    defaults
        What all its services override.
    services
        The services that it may use, and what it overrides for each.
    """

    weight: Weight = 1
    api_key_hashes: tuple[KeyHash, ...] = ()
    defaults: ServiceNode = ServiceNode()
    services: dict[ServiceName, ServiceNode] = {}


class EndpointNode(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """One endpoint of the tree.

    Attributes
    ----------
    service
        The service that it serves.
    zone
        Its availability zone.
    address
        Where its endpoint process listens.
    draining
        Set to take the endpoint out of service: it gets no new work.
    capacity_tokens
        Memory of the engine, in tokens; 0 for a plain service.
    """

    service: ServiceName
    zone: ZoneName
    address: PeerAddress
    draining: bool = False
    capacity_tokens: TokensOrNone = 0


class TreeNode(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """The root of a published tree.

    Attributes
    ----------
    version
        Number of the tree; each publication has a higher one.
    name
        Name of the deployment.
    regions
        Availability zones of each region.
    defaults
        What all services of the deployment override.
    services
        What the deployment overrides for each service.
    workspaces
        The workspaces, by name.
    endpoints
        The endpoints of the fleet, by name.
    policy
        What operators choose of the decisions under load.
    operator_key_hashes
        SHA-256 of each operator's key.
    """

    version: Version
    name: str
    regions: dict[RegionName, tuple[ZoneName, ...]] = {}
    defaults: ServiceNode = ServiceNode()
    services: dict[ServiceName, ServiceNode] = {}
    workspaces: dict[WorkspaceName, WorkspaceNode] = {}
    endpoints: dict[EndpointName, EndpointNode] = {}
    policy: PolicySettings = PolicySettings()
    operator_key_hashes: tuple[KeyHash, ...] = ()
