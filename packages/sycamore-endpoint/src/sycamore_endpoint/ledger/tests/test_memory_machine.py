"""The memory ledger beside an engine, with late reports and lost messages."""

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
    """An engine that begins, ends and frees at any time after it was asked.

    A restart of the process beside it empties the ledger only.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1.0
        self.ledger = MemoryLedger(CAPACITY)
        self.engine: dict[LeaseKey, int] = {}
        self.asked: tuple[float, dict[LeaseKey, int]] | None = None

    @rule(key=KEYS, tokens=st.integers(0, 60), lease=st.floats(0, 30))
    def take(self, key, tokens, lease) -> None:
        if key not in self.ledger.leases:
            self.tick()
            until = self.now + lease
            if self.ledger.take(key, tokens, until, self.now):
                self.engine[key] = tokens

    @rule(key=KEYS)
    def run_ends(self, key) -> None:
        if key in self.engine:
            self.engine.pop(key)
            self.tick()
            self.ledger.release(key, self.now)

    @rule(key=KEYS)
    def give_up(self, key) -> None:
        self.tick()
        self.ledger.give_up(key, self.now)

    @rule(key=KEYS)
    def engine_loses(self, key) -> None:
        self.engine.pop(key, None)

    @rule()
    def ask(self) -> None:
        self.tick()
        self.asked = (self.now, dict(self.engine))

    @rule()
    def report_comes(self) -> None:
        if self.asked is None:
            return
        self.tick()
        asked_at, usage = self.asked
        found = self.ledger.reconcile(usage, asked_at, self.now)
        for key in found.unknown:
            self.engine.pop(key, None)

    @rule(pause=st.sampled_from([0.5, 5, 60]))
    def time_passes(self, pause) -> None:
        self.now += pause
        self.ledger.expire(self.now)

    @invariant()
    def never_over_memory(self) -> None:
        assert self.ledger.leased_tokens <= CAPACITY
        held = sum(
            tokens
            for key, tokens in self.engine.items()
            if key in self.ledger.leases
        )
        assert held <= CAPACITY

    def teardown(self) -> None:
        """Give everything up and let one whole round pass: all comes back."""
        for key in tuple(self.ledger.leases):
            self.give_up(key)
        self.engine.clear()
        self.ask()
        self.report_comes()
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


def test_report_asked_for_before_a_lease_says_nothing_about_it() -> None:
    """A report is under way while a run starts.

    It does not name the run. Taken for fresh, it would free memory that the
    engine is about to use, and the engine would be overfilled.
    """
    ledger = MemoryLedger(CAPACITY)
    key = LeaseKey(LeaseKind.RUN, 'a')
    ledger.take(key, 60, expires_at=9, now=2)
    ledger.give_up(key, now=2.5)
    ledger.reconcile({}, asked_at=1, now=3)
    assert ledger.free_tokens == CAPACITY - 60
    ledger.reconcile({}, asked_at=3, now=4)
    assert ledger.free_tokens == CAPACITY


def test_run_of_an_earlier_process_counts_until_it_is_gone() -> None:
    """The endpoint process was restarted while a run went on.

    The engine still holds the run. Memory that it uses is not leased again.
    """
    ledger = MemoryLedger(CAPACITY)
    key = LeaseKey(LeaseKind.RUN, 'old')
    found = ledger.reconcile({key: 70}, asked_at=1, now=1)
    assert found.unknown == (key,)
    assert ledger.free_tokens == CAPACITY - 70
