"""Models of group members and of a network that loses and reorders packets."""

import msgspec

from sycamore_core.decisions.group_reservation import GroupReservation
from sycamore_core.decisions.long_prompts import Span
from sycamore_core.messages.groups import (
    GroupAnswer,
    GroupRelease,
    GroupRenew,
    GroupReserve,
)

MEMBERS = ('e1', 'e2', 'e3')
CAPACITY = 100


class MemberModel:
    """Memory of one endpoint, with one lease per group and its expiry."""

    def __init__(self):
        self.leases = {}
        self.restarted_at = -1

    def leased_tokens(self, now):
        return sum(
            tokens
            for tokens, expires_at in self.leases.values()
            if expires_at > now
        )

    def has_lease(self, group, now):
        return group in self.leases and self.leases[group][1] > now

    def restart(self, now):
        self.leases.clear()
        self.restarted_at = now

    def handle(self, message, now):
        if isinstance(message, GroupRelease):
            self.leases.pop(message.group, None)
            return None
        granted = self.has_lease(message.group, now)
        if isinstance(message, GroupReserve) and not granted:
            free = CAPACITY - self.leased_tokens(now)
            if message.tokens <= free:
                self.leases[message.group] = (message.tokens, now)
                granted = True
        if granted:
            tokens = self.leases[message.group][0]
            expires_at = now + message.lease_seconds
            self.leases[message.group] = (tokens, expires_at)
        return GroupAnswer(
            group=message.group,
            span=0,
            granted=granted,
            number=message.number,
        )


class Packet(msgspec.Struct, frozen=True):
    group: str
    endpoint: str
    message: GroupReserve | GroupRenew | GroupRelease | GroupAnswer


class GroupNetwork:
    """Leaders and members that exchange packets in arbitrary order."""

    def __init__(self):
        self.now = 0
        self.members = {name: MemberModel() for name in MEMBERS}
        self.leaders = {}
        self.failed_groups = set()
        self.packets = []

    def start_group(self, names, tokens=CAPACITY):
        group = f'g{len(self.leaders)}'
        spans = [
            Span(name, number * tokens, tokens)
            for number, name in enumerate(names)
        ]
        reservation = GroupReservation.from_spans(group, 'r', spans, self.now)
        self.leaders[group] = reservation
        return reservation

    def send_due(self):
        """Queue the due messages of all live leaders."""
        for group, leader in self.live_leaders().items():
            self.packets.extend(
                Packet(group, sent.endpoint, sent.message)
                for sent in leader.due(self.now)
            )

    def deliver(self, position):
        packet = self.packets.pop(position % len(self.packets))
        if isinstance(packet.message, GroupAnswer):
            leader = self.live_leaders().get(packet.group)
            if leader is not None:
                leader.handle_answer(packet.endpoint, packet.message, self.now)
            return
        answer = self.members[packet.endpoint].handle(packet.message, self.now)
        if answer is not None:
            self.packets.append(Packet(packet.group, packet.endpoint, answer))

    def run_without_faults(self, seconds):
        """Run without faults and deliver all packets."""
        end = self.now + seconds
        while self.now < end:
            self.send_due()
            while self.packets:
                self.deliver(0)
            self.now += 0.25

    def live_leaders(self):
        return {
            group: leader
            for group, leader in self.leaders.items()
            if group not in self.failed_groups
        }

    def reserved_groups(self):
        leaders = self.live_leaders().values()
        return [leader for leader in leaders if leader.is_held(self.now)]
