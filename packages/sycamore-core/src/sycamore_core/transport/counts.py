"""Counters of the traffic between this process and its peers."""

import dataclasses


@dataclasses.dataclass
class TransportCounts:
    """Totals since the process started.

    Attributes
    ----------
    undecodable
        Packets dropped because they were malformed or had no valid signature.
    unknown_messages
        Messages skipped because this version does not know them.
    stale
        Packets dropped because of their age.
    failed_tasks
        Defects that ended a task of the node or of a peer.
    failed_messages
        Messages that were lost to a defect in their handling.
    unencodable_messages
        Messages that were not sent because they could not be encoded.
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
    failed_tasks: int = 0
    failed_messages: int = 0
    unencodable_messages: int = 0
