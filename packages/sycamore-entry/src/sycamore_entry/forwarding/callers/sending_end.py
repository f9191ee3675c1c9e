"""The end of a caller's sending side."""

import socket
from typing import Self

import msgspec

from ..socket_state import ConnectionTimes


class SendingEnd(msgspec.Struct):
    """When and how a caller has ended its sending side.

    The event loop may read the end late. The system knows when it arrived.

    Attributes
    ----------
    arrived_at
        When it arrived, on the monotonic clock, in seconds.
    waited_seconds
        Time from the caller's last bytes to the end; infinite if the system
        does not tell.
    sent_before
        Bytes that the entry had sent on the connection before.
    last_sent_at
        When the entry last sent bytes after it, on the monotonic clock, in
        seconds; 0 before.
    """

    arrived_at: float
    waited_seconds: float
    sent_before: int
    last_sent_at: float = 0

    @classmethod
    def from_socket(cls, sock: socket.socket, now: float, sent: int) -> Self:
        """Return the end that has just been read from a socket.

        Parameters
        ----------
        now
            Time on the monotonic clock, in seconds.
        sent
            Bytes that the entry has sent on the connection.
        """
        try:
            times = ConnectionTimes.from_socket(sock)
        except OSError:
            return cls(now, float('inf'), sent)
        return cls(
            arrived_at=now - times.acknowledgement_age,
            waited_seconds=times.data_age - times.acknowledgement_age,
            sent_before=sent,
        )

    def silent_seconds(self, now: float) -> float:
        """Return the time since the end, or since bytes were sent after it."""
        return now - max(self.arrived_at, self.last_sent_at)
