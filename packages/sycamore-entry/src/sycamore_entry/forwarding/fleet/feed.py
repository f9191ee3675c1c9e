"""What the forwarding entry reads from the platform, whatever its format."""

import abc
from typing import NewType

import msgspec
from sycamore_core.errors import PlatformError
from sycamore_core.ids import EndpointId
from sycamore_core.routing import EndpointRecord, PublishedTable

#: Position in the platform's history of changes.
Revision = NewType('Revision', int)


#: Rises each time the platform comes back from an older copy of itself: what
#: it had acknowledged since is gone, and its revisions are given out again.
Epoch = NewType('Epoch', int)
#: Of an answer that names none.
UNKNOWN_EPOCH = Epoch(0)


class HistoryLostError(PlatformError):
    """The platform no longer has the changes after a revision."""


class FleetSnapshot(msgspec.Struct, frozen=True):
    """All that the platform has, as of a revision."""

    revision: Revision
    published: PublishedTable | None
    endpoints: tuple[EndpointRecord, ...]
    epoch: Epoch = UNKNOWN_EPOCH


class TableChanged(msgspec.Struct, frozen=True):
    """The operator has published a configuration."""

    published: PublishedTable


class EndpointChanged(msgspec.Struct, frozen=True):
    """An endpoint has registered, or says something new of itself."""

    record: EndpointRecord


class EndpointRemoved(msgspec.Struct, frozen=True):
    """The registration of an endpoint is gone."""

    endpoint: EndpointId


Change = TableChanged | EndpointChanged | EndpointRemoved


class ChangeBatch(msgspec.Struct, frozen=True):
    """Changes in order, and the revision up to which they go."""

    revision: Revision
    changes: tuple[Change, ...] = ()
    epoch: Epoch = UNKNOWN_EPOCH


class FleetFeed(abc.ABC):
    """Reads and watches the platform."""

    @abc.abstractmethod
    async def snapshot(self) -> FleetSnapshot:
        """Return all that the platform has now.

        Raises
        ------
        PlatformError
            If it cannot be read.
        """

    @abc.abstractmethod
    def read_table(self, source: bytes) -> PublishedTable:
        """Return the configuration in a document that a peer has sent.

        Raises
        ------
        PlatformError
            If it cannot be read.
        """

    @abc.abstractmethod
    async def changes(
        self,
        after: Revision,
        wait_seconds: float,
    ) -> ChangeBatch:
        """Return what has changed; wait for a first change if there is none.

        Raises
        ------
        HistoryLostError
            If the changes after that revision cannot be had any more.
        PlatformError
            If the platform cannot be read.
        """
