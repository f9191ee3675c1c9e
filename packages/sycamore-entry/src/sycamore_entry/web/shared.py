"""The components that all handlers share."""

import asyncio
import dataclasses
from collections.abc import Callable

from sycamore_core.identity import RequestIdSigner
from sycamore_core.ids import RequestId
from sycamore_core.settings import FleetSettings
from sycamore_core.states import RefusalReason

from ..errors import RefusedError
from ..exchanges import EntryContext
from ..reservations import Reservations

_RETRY_AFTER_SECONDS = 1.0


@dataclasses.dataclass
class WebContext:
    """The components of the entry process that handlers use.

    Attributes
    ----------
    current_fleet
        Returns the settings in force, or None if there are none yet.
    draining
        Set once the process accepts no new requests.
    """

    entry: EntryContext
    signer: RequestIdSigner
    reservations: Reservations
    current_fleet: Callable[[], FleetSettings | None]
    new_request_id: Callable[..., RequestId]
    draining: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def fleet(self) -> FleetSettings:
        """Return the settings in force.

        Raises
        ------
        RefusedError
            If there are none yet.
        """
        fleet = self.current_fleet()
        if fleet is None:
            raise RefusedError(
                RefusalReason.SETTINGS_NOT_READY,
                'no settings have been accepted yet',
                retry_after=_RETRY_AFTER_SECONDS,
            )
        return fleet

    def check_not_draining(self) -> None:
        """Refuse new requests while the process drains.

        Raises
        ------
        RefusedError
            If the process is shutting down.
        """
        if self.draining.is_set():
            raise RefusedError(
                RefusalReason.SHUTTING_DOWN,
                'this entry is shutting down; another one serves',
                retry_after=_RETRY_AFTER_SECONDS,
            )
