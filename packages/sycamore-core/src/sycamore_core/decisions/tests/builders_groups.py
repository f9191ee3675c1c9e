"""Members of a group as the reservation sees them, and a lossy network."""

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


class ModelMember:
    """Memory of one endpoint, leased to groups until a moment each."""

    def __init__(self):
        self.leases = {}
        self.restarted_at = -1

    def held_tokens(self, now):
        return sum(
            tokens for tokens, until in self.leases.values() if until > now
        )

    def holds(self, group, now):
        return group in self.leases and self.leases[group][1] > now

    def restart(self, now):
        self.leases.clear()
        self.restarted_at = now

    def take(self, message, now):
        if isinstance(message, GroupRelease):
            self.leases.pop(message.group, None)
            return None
        held = self.holds(message.group, now)
        if isinstance(message, GroupReserve) and not held:
            free = CAPACITY - self.held_tokens(now)
            if message.tokens <= free:
                self.leases[message.group] = (message.tokens, now)
                held = True
        if held:
            tokens = self.leases[message.group][0]
            until = now + message.lease_seconds
            self.leases[message.group] = (tokens, until)
        return GroupAnswer(
            group=message.group,
            span=0,
            granted=held,
            number=message.number,
        )


class Packet(msgspec.Struct, frozen=True):
    group: str
    endpoint: str
    message: GroupReserve | GroupRenew | GroupRelease | GroupAnswer


class ModelGroups:
    """Leaders and members that exchange packets in any order."""

    def __init__(self):
        self.now = 0
        self.members = {name: ModelMember() for name in MEMBERS}
        self.leaders = {}
        self.dead = set()
        self.packets = []

    def begin(self, names, tokens=CAPACITY):
        group = f'g{len(self.leaders)}'
        spans = [
            Span(name, number * tokens, tokens)
            for number, name in enumerate(names)
        ]
        reservation = GroupReservation.from_spans(group, 'r', spans, self.now)
        self.leaders[group] = reservation
        return reservation

    def step(self):
        """Let every leader send what is due."""
        for group, leader in self.living().items():
            self.packets.extend(
                Packet(group, sent.endpoint, sent.message)
                for sent in leader.due(self.now)
            )

    def deliver(self, position):
        packet = self.packets.pop(position % len(self.packets))
        if isinstance(packet.message, GroupAnswer):
            leader = self.living().get(packet.group)
            if leader is not None:
                leader.take_answer(packet.endpoint, packet.message, self.now)
            return
        answer = self.members[packet.endpoint].take(packet.message, self.now)
        if answer is not None:
            self.packets.append(Packet(packet.group, packet.endpoint, answer))

    def settle(self, seconds):
        """Run without faults, delivering everything."""
        end = self.now + seconds
        while self.now < end:
            self.step()
            while self.packets:
                self.deliver(0)
            self.now += 0.25

    def living(self):
        return {
            group: leader
            for group, leader in self.leaders.items()
            if group not in self.dead
        }

    def held(self):
        living = self.living().values()
        return [one for one in living if one.is_held(self.now)]
