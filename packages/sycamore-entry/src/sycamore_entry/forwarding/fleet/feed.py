"""What the forwarding entry reads from the platform, in any format."""

import abc
from typing import NewType

import msgspec
from sycamore_core.errors import PlatformError
from sycamore_core.ids import EndpointId, ZoneId
from sycamore_core.routing import EndpointRecord, PublishedTable

#: Position in the platform's history of changes.
Revision = NewType('Revision', int)
#: Revision of an entry that has read no list.
NO_REVISION = Revision(0)


#: Counts how often the platform was restored from an older copy of itself. All
#: later changes are then lost, and their revisions are assigned again.
Epoch = NewType('Epoch', int)
#: Epoch of an answer that does not name one.
UNKNOWN_EPOCH = Epoch(0)


class HistoryLostError(PlatformError):
    """The platform no longer has the changes after a given revision."""


class EvacuationChanged(msgspec.Struct, frozen=True):
    """A zone has been evacuated or taken back into use.

    Attributes
    ----------
    revision
        Revision at which the change was written.
    """

    zone: ZoneId
    revision: Revision
    is_evacuated: bool


class FleetSnapshot(msgspec.Struct, frozen=True):
    """The full state of the platform as of a revision.

    Attributes
    ----------
    evacuations
        The zones that are evacuated; all other zones are in use.
    unreadable_evacuations
        Zones with an item that cannot be read; they keep their known state.
    """

    revision: Revision
    published: PublishedTable | None
    endpoints: tuple[EndpointRecord, ...]
    epoch: Epoch = UNKNOWN_EPOCH
    evacuations: tuple[EvacuationChanged, ...] = ()
    unreadable_evacuations: tuple[ZoneId, ...] = ()


class TableChanged(msgspec.Struct, frozen=True):
    """The operator has published a configuration."""

    published: PublishedTable


class EndpointChanged(msgspec.Struct, frozen=True):
    """An endpoint has registered or has updated its registration."""

    record: EndpointRecord


class EndpointRemoved(msgspec.Struct, frozen=True):
    """The registration of an endpoint has been removed."""

    endpoint: EndpointId


Change = TableChanged | EndpointChanged | EndpointRemoved | EvacuationChanged


class ChangeBatch(msgspec.Struct, frozen=True):
    """Changes in order, up to and including a revision."""

    revision: Revision
    changes: tuple[Change, ...] = ()
    epoch: Epoch = UNKNOWN_EPOCH


class FleetFeed(abc.ABC):
    """Reads and watches the platform."""

    @property
    def is_receiving(self) -> bool:
        """Whether a part of an answer has arrived, and more may follow."""
        return False

    @abc.abstractmethod
    async def snapshot(self) -> FleetSnapshot:
        """Return the current full state of the platform.

        Raises
        ------
        PlatformError
            If the platform cannot be read.
        """

    @abc.abstractmethod
    def read_table(self, source: bytes) -> PublishedTable:
        """Parse a configuration document that a peer has sent.

        Raises
        ------
        PlatformError
            If the document cannot be read.
        """

    @abc.abstractmethod
    async def changes(
        self,
        after: Revision,
        wait_seconds: float,
    ) -> ChangeBatch:
        """Return the changes after a revision; wait for one if there is none.

        Raises
        ------
        HistoryLostError
            If the platform no longer has the changes after that revision.
        PlatformError
            If the platform cannot be read.
        """
