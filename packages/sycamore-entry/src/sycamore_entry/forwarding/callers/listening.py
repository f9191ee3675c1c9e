"""Listening sockets of a process that has no descriptor left.

Such a process could neither accept a connection nor refuse it. Its event loop
would be told of the connection at each turn, for as long as it waits.
"""

import errno
import os
import socket
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

#: Errors of a system or a process that has no descriptor left.
NO_DESCRIPTOR = frozenset((errno.EMFILE, errno.ENFILE))


class ListeningSocket(socket.socket):
    """Closes connections at once while there is no descriptor for them."""

    def __init__(self, listening: socket.socket) -> None:
        super().__init__(fileno=listening.detach())
        self.setblocking(False)
        self._spare = _open_spare()

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection.

        Raises
        ------
        BlockingIOError
            If no connection waits that could be accepted.
        """
        while True:
            try:
                return super().accept()
            except OSError as error:
                if error.errno not in NO_DESCRIPTOR:
                    raise
            self._refuse()

    def close(self) -> None:
        """Stop to listen."""
        super().close()
        self._close_spare()

    def _refuse(self) -> None:
        """Close the next connection that waits."""
        if self._spare is None:
            raise BlockingIOError
        self._close_spare()
        try:
            refused, _ = socket.socket.accept(self)
            refused.close()
        finally:
            self._spare = _open_spare()

    def _close_spare(self) -> None:
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None


def listen(server: HTTPServer, address: str) -> None:
    """Make a server listen at an address.

    Raises
    ------
    OSError
        If the address is taken or not of this machine.
    """
    host, _, port = address.rpartition(':')
    bound = bind_sockets(int(port), host)
    server.add_sockets([ListeningSocket(one) for one in bound])


def _open_spare() -> int | None:
    """Return a descriptor of which nothing is made; None if there is none."""
    try:
        return os.open(os.devnull, os.O_RDONLY)
    except OSError:
        return None
