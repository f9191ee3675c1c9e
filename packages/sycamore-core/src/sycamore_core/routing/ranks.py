"""Ranks of requests, from the priorities of workspaces and routes."""

import msgspec

from .routes import Route, WorkspaceRecord

#: Priority of requests without a workspace. Workspaces of the same priority
#: are not preferred to them.
_DEFAULT_PRIORITY = 0


class Rank(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Rank of a request; the lowest is the most urgent.

    Examples
    --------
    >>> Rank(workspace=0, route=2) < Rank(workspace=1, route=0)
    True
    """

    workspace: int
    route: int


def rank_of(record: WorkspaceRecord | None, route: Route) -> Rank:
    """Return the rank of a request.

    The priority of the workspace takes precedence over that of the route.

    Parameters
    ----------
    record
        Workspace of the request; None on public routes.
    """
    workspace = _DEFAULT_PRIORITY if record is None else record.priority
    return Rank(workspace, route.priority)
