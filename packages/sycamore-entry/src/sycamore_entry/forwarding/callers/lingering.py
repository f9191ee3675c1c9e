"""Ends connections of callers without losing the last answer.

Closing a connection with unread bytes resets it, and so do bytes that arrive
later. The reset discards what the caller has not read yet, which may be the
answer. The sending side is ended first, which ends the answer; the caller then
closes the connection.
"""

import socket

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from .caller_stream import CallerStream, LastClose
from .closing import Closing
from .descriptors import max_descriptors
from .lingering_socket import LingeringSocket

#: Part of the descriptors of the process that may wait for callers to close.
#: Beyond it, those that have waited longest are closed.
_DESCRIPTOR_SHARE = 0.5


class LingeringConnections(LastClose):
    """Connections that have their last answer.

    What arrives on them is not taken as a request: their callers were told by
    `Connection: close`, or have asked for it.

    Attributes
    ----------
    streams
        The connections, until they are closed.
    sockets
        Sockets of those that wait for their callers to close, oldest first.
    limit
        Number of connections that may wait at a time.
    """

    def __init__(self) -> None:
        self.streams: set[CallerStream] = set()
        self.sockets: dict[CallerStream, LingeringSocket] = {}
        self.limit = max(1, int(max_descriptors() * _DESCRIPTOR_SHARE))

    def add(self, stream: CallerStream) -> None:
        """Take no further request from a connection."""
        self.streams.add(stream)
        stream.is_lingering = True

    def discard(self, stream: CallerStream) -> None:
        """Forget a connection that is closed."""
        if stream not in self.sockets:
            self.streams.discard(stream)

    def shut_down(self, stream: CallerStream) -> None:
        """Close a connection whose answer has been written.

        The connection closes once its caller has closed it, or after some time.
        """
        self.add(stream)
        stream.close()
        self.discard(stream)

    def keep(self, stream: CallerStream, sock: socket.socket) -> None:
        """Close the socket of a stream once its caller has closed it."""
        self.streams.add(stream)
        lingering = LingeringSocket(
            sock, lambda closing: self._forget(stream, closing)
        )
        self.sockets[stream] = lingering
        lingering.begin()
        if len(self.sockets) > self.limit:
            next(iter(self.sockets.values())).close()

    def close_all(self) -> None:
        """Close all sockets that wait for their callers at once."""
        for lingering in tuple(self.sockets.values()):
            lingering.close()

    def _forget(self, stream: CallerStream, closing: Closing) -> None:
        stream.closing = closing
        self.sockets.pop(stream, None)
        self.streams.discard(stream)
        stream.on_closed()


class DroppedRequest(HTTPMessageDelegate):
    """Drops what a caller sends after its last answer, as that is written."""

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Drop the head of a request."""

    def data_received(self, chunk: bytes) -> None:
        """Drop bytes of a body."""

    def finish(self) -> None:
        """Drop a request; the connection closes once its answer is written."""

    def on_connection_close(self) -> None:
        """Drop the beginning of a request."""
