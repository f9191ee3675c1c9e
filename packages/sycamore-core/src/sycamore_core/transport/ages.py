"""How long a packet was on its way, without clocks that agree."""

from ..ids import Incarnation

#: A packet on its way for longer is dropped. Ledgers remember a request for
#: longer than this past its time limit, so that no packet older than the
#: memory of it can be acted on.
MAX_PACKET_AGE = 30.0
#: Time for which packets must have come late and only late before the clocks
#: are taken to have moved, in seconds: twenty heartbeats at the least.
REBASE_SECONDS = 60.0


class PacketAges:
    """Estimates the age of packets from one peer.

    What goes wrong: a process is paused, or a packet waits in a socket's
    buffer, and the packet is acted on long after its sender gave it up. One
    notices runs that nobody waits for. The difference between the receiver's
    and the sender's monotonic clock is smallest for the packet that came
    fastest; every second above that smallest difference was spent waiting.

    The reverse goes wrong too: the sender's instance was suspended, or its
    clock drifts, and all its packets look old from then on and would be
    dropped for good. A wait ends when the waiting packets are read, within
    moments; packets that have come late and only late for `REBASE_SECONDS`
    show that the clocks have moved, and the fastest of them is the new zero.

    Examples
    --------
    >>> ages = PacketAges()
    >>> ages.observe(Incarnation(1), sent_at=100, received_at=5)
    0.0
    >>> ages.observe(Incarnation(1), sent_at=101, received_at=9)
    3.0
    """

    def __init__(self) -> None:
        self.incarnation = Incarnation(0)
        self.smallest: float = 0
        self._late_since: float | None = None
        self._smallest_late: float = 0

    def observe(
        self,
        incarnation: Incarnation,
        sent_at: float,
        received_at: float,
    ) -> float:
        """Return the age of a packet in seconds, at least 0."""
        difference = received_at - sent_at
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.smallest = difference
            self._late_since = None
        self.smallest = min(self.smallest, difference)
        if difference - self.smallest > MAX_PACKET_AGE:
            self._note_late(difference, received_at)
        else:
            self._late_since = None
        return float(difference - self.smallest)

    def _note_late(self, difference: float, received_at: float) -> None:
        if self._late_since is None:
            self._late_since = received_at
            self._smallest_late = difference
        self._smallest_late = min(self._smallest_late, difference)
        if received_at - self._late_since > REBASE_SECONDS:
            self.smallest = self._smallest_late
            self._late_since = None
