"""The processes of a fleet by name, and where they listen."""

import dataclasses

from sycamore_core.ids import EndpointId
from sycamore_core.platform import InstanceEntry
from sycamore_core.settings.tree import EndpointNode

from ..platform.instances import InstanceChange
from ..relay.relay import RelayRoute
from .hooks import Hooks
from .process import ManagedProcess

PLATFORM = 'platform'


@dataclasses.dataclass
class Roster:
    """All processes of a fleet.

    Attributes
    ----------
    urls
        HTTP address by the name of the process.
    routes
        Relays by the name of the process before which they stand.
    endpoints
        What the settings tree says of the endpoints.
    instances
        What the platform's list says of the endpoints.
    """

    processes: dict[str, ManagedProcess] = dataclasses.field(
        default_factory=dict,
    )
    urls: dict[str, str] = dataclasses.field(default_factory=dict)
    routes: dict[str, RelayRoute] = dataclasses.field(default_factory=dict)
    endpoints: dict[EndpointId, EndpointNode] = dataclasses.field(
        default_factory=dict,
    )
    instances: dict[str, InstanceEntry] = dataclasses.field(
        default_factory=dict,
    )
    entries: list[str] = dataclasses.field(default_factory=list)
    engines: list[str] = dataclasses.field(default_factory=list)
    plain_services: list[str] = dataclasses.field(default_factory=list)

    @property
    def standins(self) -> list[str]:
        """Names of the stand-ins."""
        return [PLATFORM, *self.engines, *self.plain_services]

    def hooks(self, name: str) -> Hooks:
        """Return the test hooks of a stand-in."""
        return Hooks(self.urls[name])

    def live_instances(self) -> InstanceChange:
        """Return a list that shows every endpoint as live."""
        return InstanceChange(tuple(self.instances.values()))
