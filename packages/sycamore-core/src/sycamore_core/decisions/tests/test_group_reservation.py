"""The leader's reservation of a group, alone and under faults."""

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from sycamore_core.decisions.group_reservation import (
    ReservationFailure,
    ReservationState,
)
from sycamore_core.decisions.group_times import (
    LEASE_SECONDS,
    PATIENCE_SECONDS,
)
from sycamore_core.errors import DecisionError
from sycamore_core.messages.groups import GroupReserve

from .builders_groups import CAPACITY, MEMBERS, ModelGroups


def free_everywhere(model):
    return all(
        not member.held_tokens(model.now) for member in model.members.values()
    )


def test_members_are_asked_in_the_order_of_ids():
    model = ModelGroups()
    leader = model.begin(('e3', 'e1', 'e2'))
    asked = []
    while leader.state == ReservationState.RESERVING:
        model.step()
        asked.extend(packet.endpoint for packet in model.packets)
        while model.packets:
            model.deliver(0)
    assert asked == ['e1', 'e2', 'e3']


def test_leases_are_renewed_and_released():
    model = ModelGroups()
    leader = model.begin(MEMBERS)
    model.settle(60)
    assert leader.state == ReservationState.HELD
    leader.release(model.now)
    model.settle(1)
    assert free_everywhere(model)


def test_two_groups_that_need_each_others_members():
    """Two long prompts want the same engines, named in opposite order.

    If each took its first engine and waited for the other's, neither caller
    would get an answer before the time limit.
    """
    model = ModelGroups()
    first = model.begin(('e1', 'e2'))
    second = model.begin(('e2', 'e1'))
    model.settle(3)
    assert model.held() == [first]
    first.release(model.now)
    model.settle(3)
    assert model.held() == [second]


def test_full_member_ends_the_wait():
    model = ModelGroups()
    model.begin(('e2', 'e3'))
    model.settle(1)
    late = model.begin(('e1', 'e2'))
    model.settle(PATIENCE_SECONDS + 2)
    assert late.failure == ReservationFailure.MEMBER_FULL
    assert not model.members['e1'].held_tokens(model.now)


def test_leader_dies_half_way():
    """The leader's process is killed while its group holds memory.

    Short turns would find engines full for ever if the leases stayed.
    """
    model = ModelGroups()
    model.begin(MEMBERS)
    model.settle(2)
    model.dead.add('g0')
    model.now += LEASE_SECONDS
    assert free_everywhere(model)


def test_member_restarts_half_way():
    """A member forgets its lease. The caller must be told, and the others
    must not hold memory for an answer that cannot come.
    """
    model = ModelGroups()
    leader = model.begin(MEMBERS)
    model.settle(2)
    model.members['e2'].restart(model.now)
    model.settle(LEASE_SECONDS + 2)
    assert leader.failure == ReservationFailure.LEASE_LOST
    assert free_everywhere(model)


def test_silent_member_fails_the_group():
    model = ModelGroups()
    leader = model.begin(('e1', 'e2'))
    for _ in range(40):
        model.step()
        model.packets = [one for one in model.packets if one.endpoint != 'e2']
        while model.packets:
            model.deliver(0)
        model.now += 0.25
    assert leader.failure == ReservationFailure.MEMBER_SILENT
    assert not model.members['e1'].held_tokens(model.now)


def test_next_wake_is_when_something_is_due():
    model = ModelGroups()
    leader = model.begin(MEMBERS)
    for _ in range(200):
        wake = leader.next_wake(model.now)
        model.now = max(model.now, wake)
        model.settle(0.25)
    assert leader.state == ReservationState.HELD


def test_two_spans_at_one_endpoint_are_refused():
    with pytest.raises(DecisionError):
        ModelGroups().begin(('e1', 'e1'))


def has_packets(machine):
    return bool(machine.model.packets)


def has_leaders(machine):
    return bool(machine.model.leaders)


class GroupMachine(stateful.RuleBasedStateMachine):
    """Loss, repetition, any order, pauses, and deaths of either side."""

    def __init__(self):
        super().__init__()
        self.model = ModelGroups()

    @stateful.rule(
        names=st.permutations(MEMBERS),
        size=st.integers(2, 3),
        tokens=st.integers(30, CAPACITY),
    )
    def begin(self, names, size, tokens):
        if len(self.model.leaders) < 4:
            self.model.begin(names[:size], tokens)

    @stateful.rule()
    def step(self):
        self.model.step()

    @stateful.precondition(has_packets)
    @stateful.rule(position=st.integers(0, 50))
    def deliver(self, position):
        self.model.deliver(position)

    @stateful.precondition(has_packets)
    @stateful.rule(position=st.integers(0, 50))
    def repeat(self, position):
        packets = self.model.packets
        packets.append(packets[position % len(packets)])

    @stateful.precondition(has_packets)
    @stateful.rule(position=st.integers(0, 50))
    def lose(self, position):
        packets = self.model.packets
        packets.pop(position % len(packets))

    @stateful.rule(seconds=st.sampled_from((0.1, 0.6, 3, 7, 12)))
    def wait(self, seconds):
        self.model.now += seconds

    @stateful.rule(name=st.sampled_from(MEMBERS))
    def restart_member(self, name):
        self.model.members[name].restart(self.model.now)

    @stateful.precondition(has_leaders)
    @stateful.rule(which=st.integers(0, 3), dies=st.booleans())
    def end_group(self, which, dies):
        group = list(self.model.leaders)[which % len(self.model.leaders)]
        if dies:
            self.model.dead.add(group)
        else:
            self.model.leaders[group].release(self.model.now)

    @stateful.invariant()
    def no_member_is_over_its_memory(self):
        for member in self.model.members.values():
            assert member.held_tokens(self.model.now) <= CAPACITY

    @stateful.invariant()
    def what_is_held_is_leased(self):
        now = self.model.now
        for group, leader in self.model.living().items():
            if not leader.is_held(now):
                continue
            for one in leader.members:
                member = self.model.members[one.endpoint]
                since = one.held_until - one.lease_seconds
                assert member.holds(group, now) or member.restarted_at >= since

    def teardown(self):
        model = self.model
        model.settle(PATIENCE_SECONDS + 1)
        states = {one.state for one in model.living().values()}
        assert ReservationState.RESERVING not in states
        for leader in model.living().values():
            leader.release(model.now)
        model.settle(LEASE_SECONDS + 1)
        assert free_everywhere(model)
        last = model.begin(MEMBERS)
        model.settle(3)
        assert last.state == ReservationState.HELD


TestGroups = GroupMachine.TestCase
TestGroups.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)


def test_unnumbered_answers_count_from_the_first_request():
    model = ModelGroups()
    leader = model.begin(('e1', 'e2'))
    first = leader.due(0)[0]
    assert isinstance(first.message, GroupReserve)
    answer = model.members['e1'].take(first.message, 0)
    leader.take_answer('e1', type(answer)(group='g0', span=0, granted=True), 2)
    assert leader.members[0].held_until == LEASE_SECONDS


def test_repeated_answer_does_not_stretch_a_lease():
    """A member dies, and the network repeats its first answer much later.

    Counted from then on, the leader would run spans on memory that the
    member has long given to others.
    """
    model = ModelGroups()
    leader = model.begin(('e1', 'e2'))
    answer = model.members['e1'].take(leader.due(0)[0].message, 0)
    leader.take_answer('e1', answer, 0.1)
    assert leader.due(3)
    leader.take_answer('e1', answer, 3.1)
    assert leader.members[0].held_until == LEASE_SECONDS
