"""Stateful test: entries start, stop and lose links in any order."""

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
from .builders import INTERVAL_SECONDS, SimulatedFleet

ZONES = 3
EACH = 3
#: Largest cell in this test, so that its fleets have several cells.
SMALL_CELL = 4
#: Intervals within which all live entries have discovered one another.
CONVERGED = 40


class MembershipMachine(RuleBasedStateMachine):
    """Checks the membership of all entries after any sequence of faults."""

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
        self.fleet.run_intervals(times)

    @rule(number=st.integers(0, ZONES * EACH - 1))
    def kill(self, number: int) -> None:
        address = sorted(self.fleet.zone_of)[number]
        self.fleet.kill(address)
        self.dead_since.setdefault(address, self.fleet.now)

    @rule(number=st.integers(0, ZONES * EACH - 1))
    def start(self, number: int) -> None:
        address = sorted(self.fleet.zone_of)[number]
        self.fleet.start(address)
        self.dead_since.pop(address, None)

    @rule(one=st.integers(0, ZONES * EACH - 1), other=st.integers(0, 8))
    def cut_one_way(self, one: int, other: int) -> None:
        addresses = sorted(self.fleet.zone_of)
        self.fleet.cut_links.add((addresses[one], addresses[other]))

    @rule()
    def lose_all_power(self) -> None:
        self.fleet.start_all()
        self.dead_since.clear()

    @rule()
    def heal(self) -> None:
        self.fleet.cut_links.clear()

    @rule()
    def all_entries_discover_one_another(self) -> None:
        """All entries run without faults for a while."""
        self.fleet.cut_links.clear()
        self.fleet.start_all_dead()
        self.dead_since.clear()
        self.fleet.run_intervals(CONVERGED)
        for entry in self.fleet.entries.values():
            assert entry.membership.alive_count == ZONES * EACH

    @invariant()
    def dead_entries_do_not_count_as_alive_for_long(self) -> None:
        # One more interval until detection, and one for updates on the way.
        longest = 2 * members.OTHER_CELL_TIMEOUT_SECONDS + 2 * INTERVAL_SECONDS
        for address, since in self.dead_since.items():
            if self.fleet.now - since <= longest:
                continue
            for entry in self.fleet.entries.values():
                zone = ZoneId(self.fleet.zone_of[address])
                assert address not in entry.membership.alive_in(zone)

    @invariant()
    def no_entry_counts_itself_twice(self) -> None:
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
