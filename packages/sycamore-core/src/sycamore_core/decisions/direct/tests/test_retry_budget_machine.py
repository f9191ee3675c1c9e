"""Retry budgets of entries that start, join and are held up in any order.

In every sequence of events, the retries that arrive in any window stay within
the operator's limit, for all processes of all entries together.
"""

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from ..fleet_size import FleetSize
from ..retry_budget import (
    MAX_DELAY_FRACTION,
    RetryBudgetLimit,
    RetryPermit,
    SharedRetryBudget,
)
from .builders_budgets import BudgetResult

LIMIT = RetryBudgetLimit(ratio=0.5, slack=12, window=10)
MAX_ENTRIES = 7
#: Longest time from the decision of a retry to its arrival, in seconds.
MAX_DELAY_SECONDS = LIMIT.window * MAX_DELAY_FRACTION
entry_numbers = st.integers(0, MAX_ENTRIES - 1)


class Process:
    """The process of an entry, from one start to the next."""

    def __init__(self, now: float) -> None:
        self.fleet = FleetSize()
        self.budget = SharedRetryBudget(LIMIT, self.fleet, now)
        self.permits: list[RetryPermit] = []


class RetryBudgetMachine(RuleBasedStateMachine):
    """Entries that retry as often as their budgets permit."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.processes = [Process(self.now) for _ in range(3)]
        self.unheard = 0
        self.first_attempts: list[float] = []
        self.retries: list[float] = []

    @rule(seconds=st.floats(0.01, 12))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(entry=entry_numbers, number=st.integers(1, 40))
    def requests_arrive(self, entry: int, number: int) -> None:
        process = self._process(entry)
        for _ in range(number):
            process.budget.record_first_attempt(self.now)
            self.first_attempts.append(self.now)

    @rule(entry=entry_numbers, delay=st.floats(0, MAX_DELAY_SECONDS))
    def requests_fail(self, entry: int, delay: float) -> None:
        process = self._process(entry)
        while process.budget.try_acquire(self.now):
            self.retries.append(self.now + delay)

    @rule(entry=entry_numbers)
    def attempts_reserve_retries(self, entry: int) -> None:
        process = self._process(entry)
        permit = process.budget.acquire(self.now)
        while permit is not None:
            process.permits.append(permit)
            permit = process.budget.acquire(self.now)

    @rule(rounds=st.integers(1, 8), seconds=st.floats(1, 12))
    def attempts_hold_retries(self, rounds: int, seconds: float) -> None:
        for _ in range(rounds):
            for entry, _ in enumerate(self.processes):
                self.attempts_reserve_retries(entry)
            self.now += seconds

    @rule(entry=entry_numbers, number=st.integers(1, 20))
    def permits_are_given_back(self, entry: int, number: int) -> None:
        process = self._process(entry)
        for permit in process.permits[:number]:
            process.budget.give_back(permit, self.now)
        process.permits = process.permits[number:]

    @rule(delay=st.floats(0, MAX_DELAY_SECONDS))
    def permits_are_used(self, delay: float) -> None:
        for process in self.processes:
            for permit in process.permits:
                if process.budget.use(permit, self.now):
                    self.retries.append(self.now + delay)
            process.permits.clear()

    @rule(delay=st.floats(0, MAX_DELAY_SECONDS))
    def all_requests_fail(self, delay: float) -> None:
        for entry, _ in enumerate(self.processes):
            self.requests_fail(entry, delay)

    @rule(entry=entry_numbers, has_contact=st.booleans())
    def entry_restarts(self, entry: int, *, has_contact: bool) -> None:
        place = entry % len(self.processes)
        self.processes[place] = Process(self.now)
        if has_contact:
            self._discover(self.processes[place])

    @rule()
    def entries_gain_contact(self) -> None:
        for process in self.processes:
            self._discover(process)
        self.unheard = 0

    @rule()
    def entries_lose_contact(self) -> None:
        for process in self.processes:
            process.fleet.observe(1, is_discovered=False)

    @precondition(lambda fleet: len(fleet.processes) < MAX_ENTRIES)
    @rule()
    def heard_entry_joins(self) -> None:
        self.processes.append(Process(self.now))
        for process in self.processes:
            known = len(self.processes) - self.unheard
            process.fleet.observe(known, is_discovered=False)

    @precondition(
        lambda fleet: (
            len(fleet.processes) < MAX_ENTRIES
            and 3 * (fleet.unheard + 1) <= len(fleet.processes) - fleet.unheard
        )
    )
    @rule()
    def unheard_entry_joins(self) -> None:
        self.unheard += 1
        self.processes.append(Process(self.now))
        self._discover(self.processes[-1])

    def teardown(self) -> None:
        found = BudgetResult(
            first_attempts=sorted(self.first_attempts),
            retries=sorted(self.retries),
            wanted=len(self.retries),
        )
        assert found.largest_excess(LIMIT) <= math.ulp(LIMIT.slack)

    def _process(self, entry: int) -> Process:
        return self.processes[entry % len(self.processes)]

    def _discover(self, process: Process) -> None:
        process.fleet.observe(len(self.processes), is_discovered=True)


TestRetryBudgetMachine = RetryBudgetMachine.TestCase
TestRetryBudgetMachine.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
)
