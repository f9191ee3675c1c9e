"""State that the parts of an endpoint process share."""

import dataclasses

from sycamore_core.clock import Clock
from sycamore_core.ids import EndpointId, Incarnation, ZoneId
from sycamore_core.settings import FleetSettings
from sycamore_core.states import EndpointPhase

from .fleet import OwnSettings


@dataclasses.dataclass
class EndpointState:
    """The identity of this process, and whether it accepts new work.

    Attributes
    ----------
    own_settings
        Settings of this endpoint; None until the first ones are applied.
    ready
        Whether the engine answers. The free memory is unknown before the
        first answer, and an engine that stopped answering runs nothing.
    leaving
        Whether this process drains; set by a signal, by the platform's list
        of instances, or when the process cannot serve.
    listed
        Whether the newest settings list this endpoint. An endpoint that was
        removed from the settings accepts no new work.
    """

    name: EndpointId
    zone: ZoneId
    incarnation: Incarnation
    clock: Clock
    own_settings: OwnSettings | None = None
    ready: bool = False
    leaving: bool = False
    listed: bool = True

    @property
    def phase(self) -> EndpointPhase:
        """The phase, which says whether new work is accepted."""
        if self.leaving:
            return EndpointPhase.DRAINING
        if self.own_settings is None or not self.ready:
            return EndpointPhase.STARTING
        if self.own_settings.endpoint.draining or not self.listed:
            return EndpointPhase.DRAINING
        return EndpointPhase.LIVE

    def apply_settings(self, fleet: FleetSettings) -> None:
        """Apply new settings.

        Raises
        ------
        SettingsError
            If the settings do not list this endpoint.
        """
        self.listed = False
        self.own_settings = OwnSettings.from_fleet(fleet, self.name)
        self.listed = True
