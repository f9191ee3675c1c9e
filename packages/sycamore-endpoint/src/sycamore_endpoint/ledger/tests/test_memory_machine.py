"""The memory ledger of an engine under late reports and lost messages."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ..memory import LeaseKey, LeaseKind, MemoryLedger

CAPACITY = 100
KEYS = st.builds(
    LeaseKey,
    st.sampled_from(list(LeaseKind)),
    st.sampled_from(['a', 'b', 'c']),
)


class MemoryMachine(RuleBasedStateMachine):
    """An engine that starts, ends and frees runs at any time after the call.

    A restart of the endpoint process would empty only the ledger.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1.0
        self.ledger = MemoryLedger(CAPACITY)
        self.engine: dict[LeaseKey, int] = {}
        self.report: tuple[float, dict[LeaseKey, int]] | None = None

    @rule(key=KEYS, tokens=st.integers(0, 60), lease=st.floats(0, 30))
    def acquire(self, key, tokens, lease) -> None:
        if key not in self.ledger.leases:
            self.tick()
            until = self.now + lease
            if self.ledger.acquire(key, tokens, until, self.now):
                self.engine[key] = tokens

    @rule(key=KEYS)
    def end_run(self, key) -> None:
        if key in self.engine:
            self.engine.pop(key)
            self.tick()
            self.ledger.release(key, self.now)

    @rule(key=KEYS)
    def begin_release(self, key) -> None:
        self.tick()
        self.ledger.begin_release(key, self.now)

    @rule(key=KEYS)
    def lose_on_engine(self, key) -> None:
        self.engine.pop(key, None)

    @rule()
    def request_report(self) -> None:
        self.tick()
        self.report = (self.now, dict(self.engine))

    @rule()
    def apply_report(self) -> None:
        if self.report is None:
            return
        self.tick()
        asked_at, usage = self.report
        result = self.ledger.reconcile(usage, asked_at, self.now)
        for key in result.unknown:
            self.engine.pop(key, None)

    @rule(pause=st.sampled_from([0.5, 5, 60]))
    def advance_time(self, pause) -> None:
        self.now += pause
        self.ledger.expire(self.now)

    @invariant()
    def leases_fit_capacity(self) -> None:
        assert self.ledger.leased_tokens <= CAPACITY
        used = sum(
            tokens
            for key, tokens in self.engine.items()
            if key in self.ledger.leases
        )
        assert used <= CAPACITY

    def teardown(self) -> None:
        """Release all leases; one full report then frees all memory."""
        for key in tuple(self.ledger.leases):
            self.begin_release(key)
        self.engine.clear()
        self.request_report()
        self.apply_report()
        assert self.ledger.free_tokens == CAPACITY

    def tick(self) -> None:
        self.now += 0.001


MemoryMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)
TestMemoryMachine = MemoryMachine.TestCase


def test_report_requested_before_a_lease_does_not_free_it() -> None:
    """Guard against freeing memory of a run that a report could not name.

    The report was requested before the run started. If it counted as current,
    it would free memory that the engine is about to use.
    """
    ledger = MemoryLedger(CAPACITY)
    key = LeaseKey(LeaseKind.RUN, 'a')
    ledger.acquire(key, 60, expires_at=9, now=2)
    ledger.begin_release(key, now=2.5)
    ledger.reconcile({}, asked_at=1, now=3)
    assert ledger.free_tokens == CAPACITY - 60
    ledger.reconcile({}, asked_at=3, now=4)
    assert ledger.free_tokens == CAPACITY


def test_run_of_an_earlier_process_counts_until_it_ends() -> None:
    """Guard against leasing memory of a run from before a process restart.

    The engine still executes the run, so its memory must not be leased again.
    """
    ledger = MemoryLedger(CAPACITY)
    key = LeaseKey(LeaseKind.RUN, 'old')
    result = ledger.reconcile({key: 70}, asked_at=1, now=1)
    assert result.unknown == (key,)
    assert ledger.free_tokens == CAPACITY - 70
