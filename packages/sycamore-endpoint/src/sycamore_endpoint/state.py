"""What the parts of an endpoint process share."""

import dataclasses

from sycamore_core.clock import Clock
from sycamore_core.ids import EndpointId, Incarnation, ZoneId
from sycamore_core.settings import FleetSettings
from sycamore_core.states import EndpointPhase

from .fleet import OwnSettings


@dataclasses.dataclass
class EndpointState:
    """Who this process is, and whether it takes new work.

    Attributes
    ----------
    ready
        Whether the engine answers. Before the first answer the free memory
        is not known, and one that stopped answering runs nothing.
    leaving
        Set by a signal or by the platform's list of instances.
    listed
        Whether the newest settings list this endpoint; one that was taken
        out of them takes no new work.
    """

    name: EndpointId
    zone: ZoneId
    incarnation: Incarnation
    clock: Clock
    own: OwnSettings | None = None
    ready: bool = False
    leaving: bool = False
    listed: bool = True

    @property
    def phase(self) -> EndpointPhase:
        """Whether new work is taken."""
        if self.leaving:
            return EndpointPhase.DRAINING
        if self.own is None or not self.ready:
            return EndpointPhase.STARTING
        if self.own.endpoint.draining or not self.listed:
            return EndpointPhase.DRAINING
        return EndpointPhase.LIVE

    def adopt(self, fleet: FleetSettings) -> None:
        """Take new settings into force.

        Raises
        ------
        SettingsError
            If they do not list this endpoint.
        """
        self.listed = False
        self.own = OwnSettings.from_fleet(fleet, self.name)
        self.listed = True
