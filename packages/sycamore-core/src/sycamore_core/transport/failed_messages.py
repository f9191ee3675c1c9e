"""Messages of peers that were lost to a defect in their handling."""

from ..clock import Clock
from ..messages import Message
from ..telemetry import Log, error_fields
from .counts import TransportCounts
from .peer import Peer

#: Least time between two lines, in seconds. Each message of each peer may fail,
#: a thousand in a second.
LINE_SECONDS = 1.0


class FailedMessages:
    """Counts all of these messages, and logs some."""

    def __init__(self, counts: TransportCounts, clock: Clock) -> None:
        self.counts = counts
        self.clock = clock
        self.log = Log('transport')
        self._next_line_at: float = 0

    def record(self, peer: Peer, message: Message, error: Exception) -> None:
        """Record one message and the error."""
        self.counts.failed_messages += 1
        now = self.clock.monotonic()
        if now < self._next_line_at:
            return
        self._next_line_at = now + LINE_SECONDS
        self.log.error(
            'message_failed',
            message=type(message).__name__,
            peer=peer.address,
            **error_fields(error),
        )
