"""The TCP connection to an endpoint."""

import socket
from typing import Self

from sycamore_core.decisions.direct import AttemptEnd
from tornado.iostream import IOStream

from ..errors import NoDescriptorError
from ..socket_state import count_undelivered

#: Time after which unacknowledged bytes end a connection, in milliseconds.
#: Without it, a broken network would keep the connection for many minutes. The
#: probes of an idle connection count as well: the second one is due after 2 s,
#: and the third, 3 s after the last acknowledgement, ends the connection.
UNACKNOWLEDGED_TIMEOUT_MS = 2900
#: Idle time until the first probe of a connection, interval of the probes, in
#: seconds, and number of unanswered probes that end the connection. Together
#: they detect within 3 s that an instance is gone.
_PROBE_IDLE_SECONDS = 1
_PROBE_INTERVAL_SECONDS = 1
_PROBES = 2
_TCP_OPTIONS = (
    (socket.TCP_NODELAY, 1),
    (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    (socket.TCP_KEEPIDLE, _PROBE_IDLE_SECONDS),
    (socket.TCP_KEEPINTVL, _PROBE_INTERVAL_SECONDS),
    (socket.TCP_KEEPCNT, _PROBES),
)


class EndpointStream(IOStream):
    """A TCP connection that reports how it ended, and whether it is clean.

    Parameters
    ----------
    new_socket
        Its socket, not connected yet.

    Attributes
    ----------
    is_sending
        Whether a part of the request has yet to be written to the stream.
    has_ended_in_order
        Whether the endpoint has ended its sending side, after all that was
        written had been delivered to it.
    """

    def __init__(self, new_socket: socket.socket) -> None:
        super().__init__(new_socket)
        self.is_sending = False
        self.has_ended_in_order = False

    @classmethod
    def create(cls) -> Self:
        """Return a connection that is not open yet.

        Raises
        ------
        NoDescriptorError
            If the process can open no connection.
        """
        return cls(_new_socket())

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, and record the end that the endpoint sent.

        Neither a reset nor a close by the entry itself is seen here.

        Raises
        ------
        OSError
            If the connection broke.
        """
        size = super().read_from_fd(buf)
        if size == 0 and self.error is None:
            self.has_ended_in_order = not self.has_undelivered_bytes
        return size

    @property
    def has_undelivered_bytes(self) -> bool:
        """Whether a part of the request has not reached the endpoint.

        An endpoint that ends its connection then will not read that part, and
        may as well have broken off its answer.
        """
        if self.is_sending or self.writing():
            return True
        return bool(count_undelivered(self.socket))

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes have arrived that were not read yet."""
        if self.closed():
            return False
        return bool(self._read_buffer_size or self._peek())

    @property
    def is_clean(self) -> bool:
        """Whether the connection is open and has received no stray bytes.

        Without this check, a second answer that an endpoint sends would be
        read as the answer to the next request on the connection.
        """
        if self.closed() or self._read_buffer_size:
            return False
        return self._peek() is None

    def _peek(self) -> bytes | None:
        """Return the next byte; None before it arrives, empty at the end.

        The system reports an error of the connection once, and an end after
        that. It is kept, so that this end is not taken for the endpoint's.
        """
        try:
            return self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError as error:
            self.error = error
            return b''


def _new_socket() -> socket.socket:
    try:
        new_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise NoDescriptorError(
            AttemptEnd.NOT_ACCEPTING, f'no connection: {error}'
        ) from error
    new_socket.setblocking(False)
    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in _TCP_OPTIONS:
        new_socket.setsockopt(socket.IPPROTO_TCP, option, value)
    return new_socket
