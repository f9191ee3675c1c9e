"""Authentication by API keys of workspaces and operators."""

import hashlib
import hmac
from collections.abc import Iterable

from sycamore_core.ids import ServiceId, WorkspaceId
from sycamore_core.settings import (
    FleetSettings,
    ServiceSettings,
    WorkspaceSettings,
)
from sycamore_core.states import RefusalReason

from ..errors import RefusedError

_SCHEME = 'Bearer '


def check_workspace(
    fleet: FleetSettings,
    workspace: WorkspaceId,
    authorization: str,
) -> WorkspaceSettings:
    """Return a workspace after a check of the API key.

    Raises
    ------
    RefusedError
        If the workspace does not exist or the key is not one of its keys.
    """
    known = fleet.workspaces.get(workspace)
    if known is None:
        raise RefusedError(
            RefusalReason.UNKNOWN_WORKSPACE,
            'there is no such workspace',
        )
    _check_key(authorization, known.api_key_hashes)
    return known


def check_operator(fleet: FleetSettings, authorization: str) -> None:
    """Check an operator's key.

    Raises
    ------
    RefusedError
        If the key is not an operator's.
    """
    _check_key(authorization, fleet.operator_key_hashes)


def find_service(
    workspace: WorkspaceSettings,
    service: ServiceId,
) -> ServiceSettings:
    """Return the settings in force for a service of a workspace.

    Raises
    ------
    RefusedError
        If the workspace has no such service.
    """
    known = workspace.services.get(service)
    if known is None:
        raise RefusedError(
            RefusalReason.UNKNOWN_SERVICE,
            'the workspace has no such service',
        )
    return known


def _check_key(authorization: str, hashes: Iterable[str]) -> None:
    key = authorization.removeprefix(_SCHEME)
    hashed = hashlib.sha256(key.encode()).hexdigest()
    is_known = any(hmac.compare_digest(hashed, known) for known in hashes)
    if not authorization.startswith(_SCHEME) or not is_known:
        raise RefusedError(
            RefusalReason.UNAUTHENTICATED,
            'the API key is missing or not valid here',
        )
