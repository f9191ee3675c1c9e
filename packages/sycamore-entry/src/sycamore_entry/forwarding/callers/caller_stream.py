"""Connection of a caller that tells whether a request has begun."""

import socket
from typing import Any

from tornado.iostream import IOStream


class CallerStream(IOStream):
    """Counts the bytes that it has read.

    The head of a request may arrive in parts. Its first part is neither in the
    socket any more nor has it reached the reader of the request.

    Attributes
    ----------
    awaiting_since
        When the next request was first awaited, on the monotonic clock, in
        seconds.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.received = 0
        self.awaiting_since: float = 0
        self._received_before = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, and count the bytes."""
        size = super().read_from_fd(buf)
        self.received += size or 0
        return size

    def start_request(self, now: float) -> None:
        """Note that the bytes which follow belong to a next request."""
        self.awaiting_since = now
        self._received_before = self.received

    @property
    def is_idle(self) -> bool:
        """Whether the connection is closed or no request has begun."""
        if self.closed():
            return True
        if self.received > self._received_before or not self.reading():
            # Bytes have been read, and their reader is about to run or waits
            # for the rest of a head.
            return False
        try:
            return not self.socket.recv(1, socket.MSG_PEEK)
        except OSError:
            # BlockingIOError if there is nothing to read.
            return True
