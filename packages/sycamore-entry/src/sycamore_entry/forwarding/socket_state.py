"""What the operating system knows of a connection."""

import fcntl
import socket
import struct
import sys
import termios
from typing import Self

import msgspec

#: States in which the other side has ended its sending side, as in the states
#: of Linux: CLOSE_WAIT, LAST_ACK and CLOSING.
_ENDED_STATES = frozenset((8, 9, 11))
#: The first fields of `tcp_info` of Linux: 8 bytes, of which the state is the
#: first, then numbers of 32 bits.
_TCP_INFO = struct.Struct('8B13I')
_LAST_DATA_FIELD = 19
_LAST_ACKNOWLEDGEMENT_FIELD = 20
_MS = 1000.0
_PIECE_BYTES = 65_536
#: Value of `SO_LINGER` with which a close discards unsent bytes and resets.
_RESETTING = struct.pack('ii', 1, 0)


class ConnectionTimes(msgspec.Struct, frozen=True):
    """State of a connection, and when the other side was last heard.

    Attributes
    ----------
    has_ended
        Whether the other side has ended its sending side, read or not.
    data_age
        Time since the last bytes arrived, in seconds.
    acknowledgement_age
        Time since the last packet arrived, in seconds. Each packet
        acknowledges, also the one that ends a sending side.
    """

    has_ended: bool
    data_age: float
    acknowledgement_age: float

    @classmethod
    def from_socket(cls, sock: socket.socket) -> Self:
        """Return the state of a socket.

        Raises
        ------
        OSError
            If the system does not tell.
        """
        packed = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
        fields = _TCP_INFO.unpack(packed)
        return cls(
            has_ended=fields[0] in _ENDED_STATES,
            data_age=fields[_LAST_DATA_FIELD] / _MS,
            acknowledgement_age=fields[_LAST_ACKNOWLEDGEMENT_FIELD] / _MS,
        )


class DroppedBytes(msgspec.Struct, frozen=True):
    """What was read from a connection and dropped.

    Attributes
    ----------
    has_ended
        Whether the end of the other side's sending was read.
    error
        Error of the connection; None without one.
    """

    size: int
    has_ended: bool = False
    error: OSError | None = None


def count_unread(sock: socket.socket) -> int:
    """Return the bytes that have arrived and were not read.

    It is 0 if the system does not tell.
    """
    return _ask(sock, termios.FIONREAD)


def drop_unread(sock: socket.socket, most: int) -> DroppedBytes:
    """Read and drop what has arrived, until more than `most` bytes are."""
    size = 0
    try:
        while size <= most:
            piece = len(sock.recv(_PIECE_BYTES))
            if not piece:
                return DroppedBytes(size, has_ended=True)
            size += piece
    except BlockingIOError:
        return DroppedBytes(size)
    except OSError as error:
        return DroppedBytes(size, error=error)
    return DroppedBytes(size)


def count_undelivered(sock: socket.socket) -> int:
    """Return the bytes that the other side has not acknowledged.

    Their number changes with each byte that is delivered or written. It is 0
    if the system does not tell.
    """
    return _ask(sock, termios.TIOCOUTQ)


def reset_at_close(sock: socket.socket) -> None:
    """Let the close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESETTING)


def _ask(sock: socket.socket, request: int) -> int:
    try:
        answer = fcntl.ioctl(sock, request, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(answer, sys.byteorder)
