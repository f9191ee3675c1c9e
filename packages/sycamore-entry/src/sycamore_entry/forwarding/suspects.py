"""What one entry knows of requests that may crash endpoints."""

import contextlib
import dataclasses
from collections.abc import Iterator

from sycamore_core.decisions.crashes import Quarantine, SuspectLocations
from sycamore_core.ids import EndpointId

from .content import RequestContent
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

    def is_known(self, content: RequestContent) -> bool:
        """Return whether the quarantine may have a record of a content."""
        return self.quarantine.book.may_contain(content.partial_digest)

    @contextlib.contextmanager
    def track_place(
        self, content: RequestContent, endpoint: EndpointId
    ) -> Iterator[None]:
        """Record that an endpoint runs a possible suspect in the block."""
        if not self.is_known(content):
            yield
            return
        digest = content.digest
        self.places.begin(digest, endpoint)
        try:
            yield
        finally:
            self.places.end(digest, endpoint)
