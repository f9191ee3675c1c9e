"""Estimation of packet ages without synchronized clocks."""

from ..ids import Incarnation

#: Maximum age of a packet, in seconds; older packets are dropped. Ledgers keep
#: a request for longer than this past its time limit, so that no packet can be
#: processed after the record of its request has been removed.
MAX_PACKET_AGE_SECONDS = 30.0
#: Time for which all packets must be late before the clocks are assumed to have
#: shifted, in seconds. It covers at least twenty heartbeats.
REBASE_SECONDS = 60.0


class PacketAges:
    """Estimates the ages of the packets from one peer.

    If a process is paused, or a packet waits in a socket buffer, the packet
    would otherwise be processed long after its sender has abandoned it, which
    starts runs whose answers are no longer wanted. The difference between the
    monotonic clocks of receiver and sender is smallest for the fastest packet.
    Any excess over this smallest difference is waiting time.

    If the instance of the sender was suspended, or its clock drifts, all its
    later packets look old and would be dropped permanently. Packets that
    really waited are all read within moments. If all packets are late for
    `REBASE_SECONDS`, the clocks must have shifted, and the fastest of these
    packets becomes the new reference.

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
        self.smallest_difference: float = 0
        self._late_since: float | None = None
        self._smallest_late_difference: float = 0

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
            self.smallest_difference = difference
            self._late_since = None
        self.smallest_difference = min(self.smallest_difference, difference)
        if difference - self.smallest_difference > MAX_PACKET_AGE_SECONDS:
            self._record_late(difference, received_at)
        else:
            self._late_since = None
        return float(difference - self.smallest_difference)

    def _record_late(self, difference: float, received_at: float) -> None:
        if self._late_since is None:
            self._late_since = received_at
            self._smallest_late_difference = difference
        self._smallest_late_difference = min(
            self._smallest_late_difference, difference
        )
        if received_at - self._late_since > REBASE_SECONDS:
            self.smallest_difference = self._smallest_late_difference
            self._late_since = None
