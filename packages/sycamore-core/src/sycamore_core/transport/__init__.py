"""Exchange of signed packets with peers, with one task for each peer."""

from .ages import PacketAges
from .node import Node, NodeAddress
from .peer import Peer, ReceivedMessage

__all__ = ('Node', 'NodeAddress', 'PacketAges', 'Peer', 'ReceivedMessage')
