"""Messages of groups, to both sides of them."""

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

from .leader import Groups
from .member import GroupMemberDesk


class GroupDesk:
    """Hands each message to the side that it is for."""

    def __init__(self, leader: Groups, member: GroupMemberDesk) -> None:
        self.leader = leader
        self.member = member

    @functools.singledispatchmethod
    def handle(self, message: Message, peer: Peer) -> None:
        """Handle one message; what is not of groups is left alone."""

    @handle.register
    def take_reserve(self, message: GroupReserve, peer: Peer) -> None:
        """Lease memory to a group."""
        self.member.reserve(message, peer)

    @handle.register
    def take_renew(self, message: GroupRenew, peer: Peer) -> None:
        """Keep the leases of a group."""
        self.member.renew(message, peer)

    @handle.register
    def take_release(self, message: GroupRelease, peer: Peer) -> None:
        """Give the memory of a group back."""
        self.member.release(message)

    @handle.register
    def take_span(self, message: SpanRun, peer: Peer) -> None:
        """Compute a span."""
        self.member.run(message, peer)

    @handle.register
    def take_answer(self, message: GroupAnswer, peer: Peer) -> None:
        """Hand an answer to the group that it is for."""
        self.leader.take_answer(peer.address, message)

    @handle.register
    def take_done(self, message: SpanDone, peer: Peer) -> None:
        """Hand on that a span is computed."""
        self.leader.take_done(message)
