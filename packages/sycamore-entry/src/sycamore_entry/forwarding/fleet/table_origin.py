"""Where a configuration came from."""

import msgspec

from .feed import NO_REVISION, Revision


class TableOrigin(msgspec.Struct, frozen=True):
    """The source of a configuration.

    Attributes
    ----------
    source
        ``platform`` or ``peer``.
    revision
        Revision of the platform up to which it was read; 0 if it came from a
        peer.
    peer
        Address of the peer; empty if it came from the platform.
    heard_seconds
        Time since the first claim of a newer version, in seconds; None if it
        came from the platform.
    """

    source: str = 'platform'
    revision: Revision = NO_REVISION
    peer: str = ''
    heard_seconds: float | None = None

    def fields(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return msgspec.structs.asdict(self)


#: A configuration of a peer that is not named.
FROM_PEER = TableOrigin('peer')
