"""Dispatch of group messages to the leader and the member side."""

import functools

from sycamore_core.messages import (
    GroupAnswer,
    GroupRelease,
    GroupRenew,
    GroupReserve,
    Message,
    SpanDone,
    SpanRun,
)
from sycamore_core.transport import Peer

from .leader import LedGroups
from .member import GroupMemberHandler


class GroupDispatcher:
    """Pass each message to the side that handles it."""

    def __init__(self, leader: LedGroups, member: GroupMemberHandler) -> None:
        self.leader = leader
        self.member = member

    @functools.singledispatchmethod
    def handle(self, message: Message, peer: Peer) -> None:
        """Handle one message; messages not about groups are ignored."""

    @handle.register
    def handle_reserve(self, message: GroupReserve, peer: Peer) -> None:
        """Lease memory to a group."""
        self.member.reserve(message, peer)

    @handle.register
    def handle_renew(self, message: GroupRenew, peer: Peer) -> None:
        """Renew the leases of a group."""
        self.member.renew(message, peer)

    @handle.register
    def handle_release(self, message: GroupRelease, peer: Peer) -> None:
        """Release the memory of a group."""
        self.member.release(message)

    @handle.register
    def handle_span(self, message: SpanRun, peer: Peer) -> None:
        """Compute a span."""
        self.member.run(message, peer)

    @handle.register
    def handle_answer(self, message: GroupAnswer, peer: Peer) -> None:
        """Pass an answer to its group."""
        self.leader.handle_answer(peer.address, message)

    @handle.register
    def handle_done(self, message: SpanDone, peer: Peer) -> None:
        """Pass the result of a span to its group."""
        self.leader.handle_done(message)
