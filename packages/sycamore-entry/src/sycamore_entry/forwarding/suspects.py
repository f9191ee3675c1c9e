"""What one entry knows of requests that may crash endpoints."""

import dataclasses

from sycamore_core.decisions.crashes import Quarantine, SuspectLocations

from .endpoints.crash_probe import CrashProbe


@dataclasses.dataclass
class SuspectState:
    """The state of one entry about suspect requests.

    Attributes
    ----------
    quarantine
        Contents of requests that were running when endpoints crashed.
    places
        Endpoints that have suspect requests of this entry.
    probe
        Checks whether endpoints have crashed.
    """

    quarantine: Quarantine = dataclasses.field(default_factory=Quarantine)
    places: SuspectLocations = dataclasses.field(
        default_factory=SuspectLocations,
    )
    probe: CrashProbe = dataclasses.field(default_factory=CrashProbe)
