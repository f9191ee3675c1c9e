"""Connection of a caller that tells whether a request has begun."""

import abc
import socket
import time
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from ..socket_state import count_undelivered, drop_unread
from .closing import ClosedBy, Closing, observe_closing
from .lingering_socket import MAX_DROPPED_BYTES
from .sending_end import SendingEnd


class LastClose(abc.ABC):
    """Closes the sockets of connections that have their last answer."""

    @abc.abstractmethod
    def keep(self, stream: 'CallerStream', sock: socket.socket) -> None:
        """Close the socket of a stream once its caller has closed it."""


class CallerStream(IOStream):
    """Counts the bytes that it has read, and stays open for an answer.

    The head of a request may arrive in parts. Its first part is neither in the
    socket any more nor has it reached the reader of the request.

    A caller may end its sending side and read the answer. The end closes the
    connection once the next request is awaited.

    Attributes
    ----------
    awaiting_since
        When the next request was first awaited, on the monotonic clock, in
        seconds.
    sending_end
        When and how the caller has ended its sending side; None before.
    has_request
        Whether a request has been read whole.
    is_answer_due
        Whether the answer to a request that was read whole is not complete.
    is_lingering
        Whether the connection has its last answer.
    on_sending_end
        Called if the caller ends its sending side while an answer is due.
    closing
        How the connection was closed; None while it is open.
    last_close
        Closes the socket if the entry closes the connection; None if nothing
        can be lost by closing it at once.
    on_closed
        Called once a socket is closed that was left to `last_close`.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.received = 0
        self.sent = 0
        self.awaiting_since: float = 0
        self.sending_end: SendingEnd | None = None
        self.has_request = False
        self.is_answer_due = False
        self.is_lingering = False
        self.on_sending_end: Callable[[], None] | None = None
        self.closing: Closing | None = None
        self.last_close: LastClose | None = None
        self.on_closed: Callable[[], None] = _do_nothing
        self._received_before = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, and count the bytes."""
        size = super().read_from_fd(buf)
        self.received += size or 0
        if size != 0:
            return size
        self._note_end()
        # At 0, the connection is closed. A request that was received whole may
        # be on its way to its reader.
        return 0 if self.reading() or self.is_lingering else None

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket, and count the bytes."""
        size = super().write_to_fd(data)
        self.sent += size
        if self.sending_end is not None:
            self.sending_end.last_sent_at = time.monotonic()
        return size

    def close_fd(self) -> None:
        """Close the socket, or leave it to the last close."""
        sock = self.socket
        self.closing = observe_closing(
            sock,
            self.error,
            end_was_read=self.sending_end is not None,
        )
        is_by_entry = self.closing.closed_by == ClosedBy.ENTRY
        if is_by_entry and self.sent and self.last_close is not None:
            self.socket = None
            self.last_close.keep(self, sock)
        else:
            super().close_fd()

    def close_idle(self) -> None:
        """Close a connection that awaits a request.

        Its caller may still receive the last answer.
        """
        if not self.closed() and not count_undelivered(self.socket):
            self.last_close = None
        self.close()

    def start_request(self, now: float) -> None:
        """Note that the bytes which follow belong to a next request."""
        self.is_answer_due = False
        self.on_sending_end = None
        self.awaiting_since = now
        self._received_before = self.received

    def expect_answer(self, on_sending_end: Callable[[], None]) -> None:
        """Note that a request has been read whole."""
        self.has_request = True
        self.is_answer_due = True
        self.on_sending_end = on_sending_end
        if self.sending_end is not None:
            on_sending_end()

    def close_if_reset(self) -> None:
        """Close a connection that its caller has reset.

        Nothing is read after the end of the sending side, which would tell.
        """
        number = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            self.close(exc_info=OSError(number, 'reset by the caller'))

    def drop_unread(self) -> None:
        """Drop what has arrived on a connection that ends with the process."""
        if not self.closed():
            drop_unread(self.socket, MAX_DROPPED_BYTES)

    @property
    def has_read_since_end(self) -> bool:
        """Whether bytes that were sent after the end were acknowledged."""
        if self.sending_end is None or self.closed():
            return False
        delivered = self.sent - count_undelivered(self.socket)
        return delivered > self.sending_end.sent_before

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

    def _note_end(self) -> None:
        if self.sending_end is not None:
            return
        self.sending_end = SendingEnd.from_socket(
            self.socket, time.monotonic(), self.sent
        )
        if self.is_answer_due and self.on_sending_end is not None:
            self.on_sending_end()

    def _handle_events(self, fd: Any, events: int) -> None:
        super()._handle_events(fd, events)
        # The end of the sending side can be read again and again.
        if self._state and self._state != self._listened(self._state):
            self._state = self._listened(self._state)
            self.io_loop.update_handler(self.fileno(), self._state)

    def _add_io_state(self, state: int) -> None:
        super()._add_io_state(self._listened(state))

    def _listened(self, state: int) -> int:
        """Return the events to listen to: nothing follows an end."""
        return state if self.sending_end is None else state & ~IOLoop.READ


def _do_nothing() -> None:
    """Do nothing once a connection is closed."""
