"""Tests of the reservation of a group, with and without faults."""

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from sycamore_core.decisions.group_reservation import (
    ReservationFailure,
    ReservationState,
)
from sycamore_core.decisions.group_times import (
    LEASE_SECONDS,
    RESERVATION_TIMEOUT_SECONDS,
)
from sycamore_core.errors import DecisionError
from sycamore_core.messages.groups import GroupReserve

from .builders_groups import CAPACITY, MEMBERS, GroupNetwork


def all_memory_is_free(network):
    return all(
        not member.leased_tokens(network.now)
        for member in network.members.values()
    )


def test_members_are_reserved_in_order_of_ids():
    network = GroupNetwork()
    leader = network.start_group(('e3', 'e1', 'e2'))
    requested = []
    while leader.state == ReservationState.RESERVING:
        network.send_due()
        requested.extend(packet.endpoint for packet in network.packets)
        while network.packets:
            network.deliver(0)
    assert requested == ['e1', 'e2', 'e3']


def test_leases_are_renewed_and_released():
    network = GroupNetwork()
    leader = network.start_group(MEMBERS)
    network.run_without_faults(60)
    assert leader.state == ReservationState.HELD
    leader.release(network.now)
    network.run_without_faults(1)
    assert all_memory_is_free(network)


def test_groups_with_shared_members_do_not_deadlock():
    """Guards against a deadlock of two groups with the same members.

    The groups name their members in opposite order. If each group reserved its
    first member and waited for the other member, both reservations would time
    out.
    """
    network = GroupNetwork()
    first = network.start_group(('e1', 'e2'))
    second = network.start_group(('e2', 'e1'))
    network.run_without_faults(3)
    assert network.reserved_groups() == [first]
    first.release(network.now)
    network.run_without_faults(3)
    assert network.reserved_groups() == [second]


def test_full_member_fails_the_group():
    network = GroupNetwork()
    network.start_group(('e2', 'e3'))
    network.run_without_faults(1)
    late = network.start_group(('e1', 'e2'))
    network.run_without_faults(RESERVATION_TIMEOUT_SECONDS + 2)
    assert late.failure == ReservationFailure.MEMBER_FULL
    assert not network.members['e1'].leased_tokens(network.now)


def test_leases_of_failed_leader_expire():
    """Guards against leases that outlive a failed leader.

    Otherwise the engines would have no memory for short requests.
    """
    network = GroupNetwork()
    network.start_group(MEMBERS)
    network.run_without_faults(2)
    network.failed_groups.add('g0')
    network.now += LEASE_SECONDS
    assert all_memory_is_free(network)


def test_restarted_member_fails_the_group():
    """Guards against memory that stays reserved after a member restarts.

    The restarted member has lost its lease, so the group must fail and the
    other members must release their memory.
    """
    network = GroupNetwork()
    leader = network.start_group(MEMBERS)
    network.run_without_faults(2)
    network.members['e2'].restart(network.now)
    network.run_without_faults(LEASE_SECONDS + 2)
    assert leader.failure == ReservationFailure.LEASE_LOST
    assert all_memory_is_free(network)


def test_silent_member_fails_the_group():
    network = GroupNetwork()
    leader = network.start_group(('e1', 'e2'))
    for _ in range(40):
        network.send_due()
        network.packets = [
            packet for packet in network.packets if packet.endpoint != 'e2'
        ]
        while network.packets:
            network.deliver(0)
        network.now += 0.25
    assert leader.failure == ReservationFailure.MEMBER_SILENT
    assert not network.members['e1'].leased_tokens(network.now)


def test_next_wake_keeps_leases_renewed():
    network = GroupNetwork()
    leader = network.start_group(MEMBERS)
    for _ in range(200):
        wake = leader.next_wake(network.now)
        network.now = max(network.now, wake)
        network.run_without_faults(0.25)
    assert leader.state == ReservationState.HELD


def test_two_spans_at_one_endpoint_are_rejected():
    with pytest.raises(DecisionError):
        GroupNetwork().start_group(('e1', 'e1'))


def has_packets(machine):
    return bool(machine.network.packets)


def has_leaders(machine):
    return bool(machine.network.leaders)


class GroupMachine(stateful.RuleBasedStateMachine):
    """Leases and memory stay consistent while messages and processes fail.

    Messages are lost, duplicated and reordered, time passes, members restart,
    and leaders fail.
    """

    def __init__(self):
        super().__init__()
        self.network = GroupNetwork()

    @stateful.rule(
        names=st.permutations(MEMBERS),
        size=st.integers(2, 3),
        tokens=st.integers(30, CAPACITY),
    )
    def begin(self, names, size, tokens):
        if len(self.network.leaders) < 4:
            self.network.start_group(names[:size], tokens)

    @stateful.rule()
    def step(self):
        self.network.send_due()

    @stateful.precondition(has_packets)
    @stateful.rule(position=st.integers(0, 50))
    def deliver(self, position):
        self.network.deliver(position)

    @stateful.precondition(has_packets)
    @stateful.rule(position=st.integers(0, 50))
    def repeat(self, position):
        packets = self.network.packets
        packets.append(packets[position % len(packets)])

    @stateful.precondition(has_packets)
    @stateful.rule(position=st.integers(0, 50))
    def lose(self, position):
        packets = self.network.packets
        packets.pop(position % len(packets))

    @stateful.rule(seconds=st.sampled_from((0.1, 0.6, 3, 7, 12)))
    def wait(self, seconds):
        self.network.now += seconds

    @stateful.rule(name=st.sampled_from(MEMBERS))
    def restart_member(self, name):
        self.network.members[name].restart(self.network.now)

    @stateful.precondition(has_leaders)
    @stateful.rule(position=st.integers(0, 3), fails=st.booleans())
    def end_group(self, position, fails):
        group = list(self.network.leaders)[position % len(self.network.leaders)]
        if fails:
            self.network.failed_groups.add(group)
        else:
            self.network.leaders[group].release(self.network.now)

    @stateful.invariant()
    def no_member_exceeds_its_memory(self):
        for member in self.network.members.values():
            assert member.leased_tokens(self.network.now) <= CAPACITY

    @stateful.invariant()
    def held_group_has_leases_at_members(self):
        now = self.network.now
        for group, leader in self.network.live_leaders().items():
            if not leader.is_held(now):
                continue
            for group_member in leader.members:
                member = self.network.members[group_member.endpoint]
                since = (
                    group_member.lease_expires_at - group_member.lease_seconds
                )
                assert (
                    member.has_lease(group, now) or member.restarted_at >= since
                )

    def teardown(self):
        network = self.network
        network.run_without_faults(RESERVATION_TIMEOUT_SECONDS + 1)
        states = {leader.state for leader in network.live_leaders().values()}
        assert ReservationState.RESERVING not in states
        for leader in network.live_leaders().values():
            leader.release(network.now)
        network.run_without_faults(LEASE_SECONDS + 1)
        assert all_memory_is_free(network)
        last = network.start_group(MEMBERS)
        network.run_without_faults(3)
        assert last.state == ReservationState.HELD


TestGroups = GroupMachine.TestCase
TestGroups.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)


def test_lease_from_answer_without_number_starts_at_first_request():
    network = GroupNetwork()
    leader = network.start_group(('e1', 'e2'))
    first = leader.due(0)[0]
    assert isinstance(first.message, GroupReserve)
    answer = network.members['e1'].handle(first.message, 0)
    leader.handle_answer(
        'e1', type(answer)(group='g0', span=0, granted=True), 2
    )
    assert leader.members[0].lease_expires_at == LEASE_SECONDS


def test_duplicate_answer_does_not_extend_lease():
    """Guards against a lease that a late duplicate answer extends.

    Otherwise the leader would run spans on memory whose lease has already
    expired at the member.
    """
    network = GroupNetwork()
    leader = network.start_group(('e1', 'e2'))
    answer = network.members['e1'].handle(leader.due(0)[0].message, 0)
    leader.handle_answer('e1', answer, 0.1)
    assert leader.due(3)
    leader.handle_answer('e1', answer, 3.1)
    assert leader.members[0].lease_expires_at == LEASE_SECONDS
