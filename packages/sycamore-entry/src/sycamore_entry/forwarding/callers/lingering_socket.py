"""A socket whose sending side has ended, until its caller closes it."""

import asyncio
import socket
from collections.abc import Callable

from ..socket_state import drop_unread
from .closing import Closing, observe_closing

#: Time in which a caller closes a connection after its last answer, in
#: seconds. A caller that has not read the answer by then has to read it from
#: its own system, which has received it.
LINGER_SECONDS = 1.0
#: Bytes of a connection that are dropped before it is closed.
MAX_DROPPED_BYTES = 1_048_576


class LingeringSocket:
    """Drops what arrives on a socket until its caller closes it.

    Parameters
    ----------
    on_closed
        Called with how the socket was closed.
    """

    def __init__(
        self, sock: socket.socket, on_closed: Callable[[Closing], None]
    ) -> None:
        self.sock = sock
        self.on_closed = on_closed
        self.loop = asyncio.get_running_loop()
        self._dropped = 0
        self._has_ended = False
        self._error: OSError | None = None
        self._timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """End the sending side, and read until the caller closes."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self._timer = self.loop.call_later(LINGER_SECONDS, self.close)
        self.loop.add_reader(self.sock, self._read)

    def close(self) -> None:
        """Close the socket at once; what has arrived does not reset it."""
        if self.sock.fileno() < 0:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._drop()
        self.loop.remove_reader(self.sock)
        closing = observe_closing(
            self.sock, self._error, end_was_read=self._has_ended
        )
        self.sock.close()
        self.on_closed(closing)

    def _read(self) -> None:
        self._drop()
        is_over = self._has_ended or self._error is not None
        if is_over or self._dropped > MAX_DROPPED_BYTES:
            self.close()

    def _drop(self) -> None:
        """Drop what has arrived, up to a bound."""
        if self._has_ended:
            return
        dropped = drop_unread(self.sock, MAX_DROPPED_BYTES - self._dropped)
        self._dropped += dropped.size
        self._has_ended = dropped.has_ended
        self._error = dropped.error or self._error
