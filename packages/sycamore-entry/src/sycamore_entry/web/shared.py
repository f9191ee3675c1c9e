"""The components that all handlers share."""

import abc
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


class OpenHandler(abc.ABC):
    """A handler that a stop of the process can end."""

    @abc.abstractmethod
    def refuse_unserved(self, refused: RefusedError) -> None:
        """Refuse the request, unless its exchange has begun."""


@dataclasses.dataclass
class WebContext:
    """The components of the entry process that handlers use.

    Attributes
    ----------
    current_fleet
        Returns the settings in force, or None if there are none yet.
    draining
        Set once the process accepts no new requests.
    unanswered
        The handlers of requests without a complete answer.
    """

    entry: EntryContext
    signer: RequestIdSigner
    reservations: Reservations
    current_fleet: Callable[[], FleetSettings | None]
    new_request_id: Callable[..., RequestId]
    draining: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    unanswered: set['OpenHandler'] = dataclasses.field(default_factory=set)

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
            raise _shutting_down()

    def refuse_unserved(self) -> None:
        """Refuse the requests for which no exchange has begun.

        Their bodies are incomplete, or they wait for something else.
        """
        for handler in tuple(self.unanswered):
            handler.refuse_unserved(_shutting_down())


def _shutting_down() -> RefusedError:
    return RefusedError(
        RefusalReason.SHUTTING_DOWN,
        'this entry is shutting down; another one serves',
        retry_after=_RETRY_AFTER_SECONDS,
    )
