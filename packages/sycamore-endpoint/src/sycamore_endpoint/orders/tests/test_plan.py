"""Orders of processes that restart, sleep, or hold older settings."""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from sycamore_core.ids import FencingNumber, Incarnation, ModelId

from ..plan import (
    ORDER_SECONDS,
    EngineState,
    LoadedModel,
    OrderFacts,
    fencing_number,
    next_order,
)

START_NS = 1_700_000_000_000_000_000
SECOND_NS = 1_000_000_000


def make_facts(**changes: object) -> OrderFacts:
    facts = OrderFacts(
        state=EngineState(),
        wanted=ModelId('m'),
        fencing=FencingNumber(5),
        checks_fencing=True,
        awake_for=0,
        turn_in=0,
    )
    return msgspec.structs.replace(facts, **changes)


def test_loaded_model_is_not_ordered_again() -> None:
    state = EngineState(models=(LoadedModel('m'),))
    assert next_order(make_facts(state=state)) is None


def test_process_with_older_settings_gives_no_order() -> None:
    """A process wakes that slept through a change of the model.

    Its engine has an order with a higher number. It must not move it back,
    or guests would get answers of a model that was withdrawn.
    """
    state = EngineState(fencing=6)
    assert next_order(make_facts(state=state)) is None


def test_engine_that_ignores_fencing_is_left_alone_at_first() -> None:
    """A process starts while an order of its predecessor is under way."""
    early = make_facts(checks_fencing=False, awake_for=ORDER_SECONDS - 1)
    assert next_order(early) is None
    late = make_facts(checks_fencing=False, awake_for=ORDER_SECONDS)
    assert next_order(late) is not None


def test_weight_store_is_not_stormed() -> None:
    """A new version names another model for twenty engines at once."""
    assert next_order(make_facts(turn_in=1)) is None


class OrderMachine(RuleBasedStateMachine):
    """Two processes of one checking engine, each with its own settings.

    An order may reach the engine long after it was decided on.
    """

    def __init__(self) -> None:
        super().__init__()
        self.engine = EngineState()
        self.newest = 0
        self.processes = [(1, 0), (1, 0)]
        self.started = 0
        self.under_way: list[object] = []

    @rule(which=st.integers(0, 1), version=st.integers(1, 4))
    def restart(self, which, version) -> None:
        self.started += 1
        self.processes[which] = (version, self.started)

    @rule(which=st.integers(0, 1))
    def decide(self, which) -> None:
        version, started = self.processes[which]
        start = Incarnation(START_NS + started * SECOND_NS)
        facts = make_facts(
            state=self.engine,
            wanted=ModelId(f'm{version}'),
            fencing=fencing_number(version, start),
        )
        order = next_order(facts)
        if order is not None:
            self.under_way.append((version, order))

    @rule(number=st.integers(0, 3))
    def arrive(self, number) -> None:
        if number >= len(self.under_way):
            return
        version, order = self.under_way[number]
        if order.fencing < self.engine.fencing:
            return
        assert version >= self.newest
        self.newest = version
        self.engine = EngineState(
            fencing=order.fencing,
            models=(LoadedModel(order.model),),
        )

    @invariant()
    def engine_never_goes_back(self) -> None:
        models = self.engine.models
        assert not models or models[0].model == f'm{self.newest}'


OrderMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
)
TestOrderMachine = OrderMachine.TestCase
