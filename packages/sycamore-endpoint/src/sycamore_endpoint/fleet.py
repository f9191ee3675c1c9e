"""The part of the published settings that concerns this endpoint."""

import msgspec
from sycamore_core.errors import SettingsError
from sycamore_core.ids import EndpointId
from sycamore_core.settings import (
    EndpointSettings,
    FleetSettings,
    ServiceSettings,
)


class OwnSettings(msgspec.Struct, frozen=True):
    """The settings of this endpoint in one settings version."""

    fleet: FleetSettings
    endpoint: EndpointSettings
    service: ServiceSettings

    @classmethod
    def from_fleet(
        cls, fleet: FleetSettings, name: EndpointId
    ) -> 'OwnSettings':
        """Find the endpoint and its service in a settings tree.

        Raises
        ------
        SettingsError
            If the tree does not list the endpoint, or no workspace has its
            service.
        """
        endpoint = fleet.endpoints.get(name)
        if endpoint is None:
            raise SettingsError(f'endpoints.{name}: not listed')
        for workspace in fleet.workspaces.values():
            service = workspace.services.get(endpoint.service)
            if service is not None:
                return cls(fleet, endpoint, service)
        raise SettingsError(
            f'services.{endpoint.service}: not in any workspace'
        )
