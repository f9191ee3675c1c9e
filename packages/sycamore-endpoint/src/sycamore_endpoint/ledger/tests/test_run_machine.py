"""The run ledger under lost, duplicated, late and reordered messages."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from sycamore_core.states import Execution, Outcome, RefusalReason
from sycamore_core.transport.ages import MAX_PACKET_AGE_SECONDS

from ..records import RunRecord
from ..runs import RunLedger
from .builders import FIRST, SECOND, make_offer

NAMES = st.sampled_from(['r1', 'r2'])
OWNERS = st.sampled_from([FIRST, SECOND])
ATTEMPTS = st.integers(1, 3)


class RunMachine(RuleBasedStateMachine):
    """Messages in any order; a lost message is one that is not drawn.

    `starts` counts the calls of the backend per id. `reported_not_run` maps
    the ids that were reported as not run to the time of the report.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ledger = RunLedger()
        self.now = 1.0
        self.starts: dict[str, int] = {}
        self.reported_not_run: dict[str, float] = {}
        self.tasks: list[RunRecord] = []

    @rule(name=NAMES, attempt=ATTEMPTS, owner=OWNERS, has_memory=st.booleans())
    def offer(self, name, attempt, owner, has_memory) -> None:
        offer = make_offer(name, attempt)
        if self.ledger.find_repeated(offer, owner) is not None:
            return
        refused = self.ledger.refusal(offer, owner, self.now)
        if refused is None and has_memory:
            record = self.ledger.admit(offer, owner, self.now + 10, self.now)
            self.tasks.append(record)
        elif refused is None:
            refused = self.ledger.decline(
                offer,
                owner,
                RefusalReason.MEMORY_FULL,
                self.now,
            )
        if refused is not None:
            assert not self.ran(name) or refused.execution is not _NOT_RUN

    @rule(name=NAMES, attempt=ATTEMPTS, owner=OWNERS)
    def withdraw(self, name, attempt, owner) -> None:
        report = self.ledger.withdraw(name, attempt, owner, self.now)
        if report.execution is _NOT_RUN:
            assert not self.ran(name)
            self.reported_not_run[name] = self.now

    @rule(name=NAMES, owner=OWNERS)
    def attach(self, name, owner) -> None:
        report = self.ledger.attach(name, owner, -1)
        if self.ran(name):
            assert report.execution is not _NOT_RUN

    @rule(name=NAMES, owner=OWNERS)
    def cancel(self, name, owner) -> None:
        self.ledger.cancel(name, 'caller_gone', owner, self.now)

    @rule(number=st.integers(0, 5))
    def start_task(self, number) -> None:
        if number >= len(self.tasks):
            return
        record = self.tasks[number]
        if self.ledger.try_start(record, self.now):
            name = record.request_id
            self.starts[name] = self.starts.get(name, 0) + 1
            assert name not in self.reported_not_run

    @rule(number=st.integers(0, 5), outcome=st.sampled_from(list(Outcome)))
    def end_task(self, number, outcome) -> None:
        if number < len(self.tasks):
            self.ledger.end(self.tasks[number], outcome)

    @rule(pause=st.sampled_from([0.1, 5, MAX_PACKET_AGE_SECONDS, 200]))
    def advance_time(self, pause) -> None:
        self.now += pause
        self.ledger.end_overdue(self.now)
        self.ledger.prune(self.now)

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(count == 1 for count in self.starts.values())

    def ran(self, name: str) -> bool:
        return self.starts.get(name, 0) > 0


_NOT_RUN = Execution.NOT_RUN
RunMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)
TestRunMachine = RunMachine.TestCase
