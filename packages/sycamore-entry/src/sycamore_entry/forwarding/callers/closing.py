"""How the connection of a caller was closed."""

import enum
import socket

import msgspec

from ..socket_state import ConnectionTimes, count_undelivered, count_unread


class ClosedBy(enum.StrEnum):
    """What made the entry close a connection."""

    #: The caller has ended its sending side, or closed the connection.
    CALLER_END = 'caller_end'
    #: The caller has reset the connection.
    CALLER_RESET = 'caller_reset'
    #: The system has given the connection up.
    CONNECTION_LOST = 'connection_lost'
    #: The entry itself.
    ENTRY = 'entry'


class Closing(msgspec.Struct, frozen=True):
    """State of a connection as it was closed.

    Attributes
    ----------
    caller_ended
        Whether the system knew that the caller had ended its sending side.
    unread_bytes
        Bytes of the caller that the entry had not read. They make the system
        reset the connection, and the caller may lose what it has not read.
    unacknowledged_bytes
        Bytes of an answer that the caller's system had not acknowledged.
    """

    closed_by: ClosedBy
    caller_ended: bool
    unread_bytes: int
    unacknowledged_bytes: int

    @property
    def may_lose_answer(self) -> bool:
        """Whether a complete answer may not have reached the caller."""
        if self.closed_by == ClosedBy.ENTRY:
            return self.unread_bytes > 0
        if self.closed_by == ClosedBy.CALLER_END:
            return False
        return self.unacknowledged_bytes > 0

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return msgspec.structs.asdict(self)


def observe_closing(
    sock: socket.socket,
    error: BaseException | None,
    *,
    end_was_read: bool,
) -> Closing:
    """Return how a connection is closed whose socket is still open.

    Parameters
    ----------
    error
        Error that closes the connection; None without one.
    end_was_read
        Whether the entry has read the end of the caller's sending side.
    """
    return Closing(
        closed_by=_closed_by(sock, error, end_was_read=end_was_read),
        caller_ended=end_was_read or _has_ended(sock),
        unread_bytes=count_unread(sock),
        unacknowledged_bytes=count_undelivered(sock),
    )


def _closed_by(
    sock: socket.socket,
    error: BaseException | None,
    *,
    end_was_read: bool,
) -> ClosedBy:
    if error is None:
        # A reset that the event loop has not seen yet.
        number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        error = OSError(number, '') if number else None
    if isinstance(error, ConnectionError):
        return ClosedBy.CALLER_RESET
    if isinstance(error, OSError) and error.errno:
        return ClosedBy.CONNECTION_LOST
    return ClosedBy.CALLER_END if end_was_read else ClosedBy.ENTRY


def _has_ended(sock: socket.socket) -> bool:
    try:
        return ConnectionTimes.from_socket(sock).has_ended
    except OSError:
        return False
