"""Counts of what passed between this process and its peers."""

import dataclasses


@dataclasses.dataclass
class TransportCounts:
    """Totals since the start of the process.

    Attributes
    ----------
    undecodable
        Packets dropped because they were no packets or not signed.
    unknown_messages
        Messages left out because this version does not know them.
    stale
        Packets dropped because they were on their way for too long.
    """

    sent_packets: int = 0
    sent_bytes: int = 0
    lost_packets: int = 0
    received_packets: int = 0
    received_bytes: int = 0
    outbox_full: int = 0
    inbox_full: int = 0
    undecodable: int = 0
    unknown_messages: int = 0
    stale: int = 0
