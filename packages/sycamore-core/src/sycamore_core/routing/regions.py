"""Zones whose endpoints may run a request."""

from collections.abc import Mapping

from ..ids import RegionId, ZoneId
from .routes import Route, WorkspaceRecord


def allowed_zones(
    record: WorkspaceRecord | None,
    route: Route,
    regions: Mapping[ZoneId, RegionId],
) -> frozenset[ZoneId] | None:
    """Return the zones that may run a request; None if all of them may.

    The regions of the route and of the workspace both apply. A zone whose
    region is not known is not allowed.

    Parameters
    ----------
    record
        Workspace of the request; None on public routes.
    regions
        Region of each zone.
    """
    by_workspace = frozenset() if record is None else record.allowed_regions
    rules = [rule for rule in (route.allowed_regions, by_workspace) if rule]
    if not rules:
        return None
    return frozenset(
        zone
        for zone, region in regions.items()
        if all(region in rule for rule in rules)
    )
