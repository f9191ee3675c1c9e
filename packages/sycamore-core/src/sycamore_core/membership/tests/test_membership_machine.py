"""Entries start, die and are cut off one way or both, in any order."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from ...ids import ZoneId
from .. import members
from .builders import BEAT_SECONDS, SimulatedFleet

ZONES = 3
EACH = 3
#: Entries from which on the fleets of this test have several cells.
SMALL_CELL = 4
#: Beats in which all who live have found one another again.
CONVERGED = 40


class MembershipMachine(RuleBasedStateMachine):
    """What entries believe of one another, whatever happens to them."""

    def __init__(self) -> None:
        super().__init__()
        self.largest = members.LARGEST_CELL
        members.LARGEST_CELL = SMALL_CELL
        self.fleet = SimulatedFleet(ZONES, EACH)
        self.dead_since: dict[str, float] = {}

    @initialize()
    def begin(self) -> None:
        self.fleet.start_all()

    @rule(times=st.integers(1, 8))
    def pass_time(self, times: int) -> None:
        self.fleet.beat(times)

    @rule(number=st.integers(0, ZONES * EACH - 1))
    def kill(self, number: int) -> None:
        address = sorted(self.fleet.places)[number]
        self.fleet.kill(address)
        self.dead_since.setdefault(address, self.fleet.now)

    @rule(number=st.integers(0, ZONES * EACH - 1))
    def start(self, number: int) -> None:
        address = sorted(self.fleet.places)[number]
        self.fleet.start(address)
        self.dead_since.pop(address, None)

    @rule(one=st.integers(0, ZONES * EACH - 1), other=st.integers(0, 8))
    def cut_one_way(self, one: int, other: int) -> None:
        places = sorted(self.fleet.places)
        self.fleet.cut.add((places[one], places[other]))

    @rule()
    def lose_all_power(self) -> None:
        self.fleet.start_all()
        self.dead_since.clear()

    @rule()
    def heal(self) -> None:
        self.fleet.cut.clear()

    @rule()
    def everybody_finds_everybody(self) -> None:
        """All is well again for a while."""
        self.fleet.cut.clear()
        self.fleet.start_all_that_are_dead()
        self.dead_since.clear()
        self.fleet.beat(CONVERGED)
        for entry in self.fleet.entries.values():
            assert entry.membership.living == ZONES * EACH

    @invariant()
    def nobody_believes_in_the_dead_for_long(self) -> None:
        # One more beat until it is noticed, and word that was on its way.
        longest = 2 * members.FAR_SILENCE + 2 * BEAT_SECONDS
        for address, since in self.dead_since.items():
            if self.fleet.now - since <= longest:
                continue
            for entry in self.fleet.entries.values():
                zone = ZoneId(self.fleet.places[address])
                assert address not in entry.membership.living_in(zone)

    @invariant()
    def nobody_counts_itself_twice(self) -> None:
        for address, entry in self.fleet.entries.items():
            assert address not in entry.membership.members

    def teardown(self) -> None:
        members.LARGEST_CELL = self.largest


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
)
