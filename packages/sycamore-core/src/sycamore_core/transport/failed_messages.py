"""Messages that were lost to a defect in their handling or encoding."""

from collections import defaultdict

from ..clock import Clock
from ..errors import CodecError
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
        self._next_line_at: defaultdict[bool, float] = defaultdict(float)

    def record(self, peer: Peer, message: Message, error: Exception) -> None:
        """Record a message of a peer whose handling failed."""
        self.counts.failed_messages += 1
        if self._is_line_due(is_own=False):
            self.log.error(
                'message_failed',
                message=type(message).__name__,
                peer=peer.address,
                **error_fields(error),
            )

    def record_unencodable(self, message: Message, error: CodecError) -> None:
        """Record a message of this process that cannot be sent."""
        self.counts.unencodable_messages += 1
        if self._is_line_due(is_own=True):
            self.log.error(
                'message_unencodable',
                message=type(message).__name__,
                **error_fields(error),
            )

    def _is_line_due(self, *, is_own: bool) -> bool:
        """Return whether to log a message of this process, or of a peer."""
        now = self.clock.monotonic()
        if now < self._next_line_at[is_own]:
            return False
        self._next_line_at[is_own] = now + LINE_SECONDS
        return True
