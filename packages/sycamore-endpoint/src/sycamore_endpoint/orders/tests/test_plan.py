"""Orders of processes that restart, are suspended or have older settings."""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from sycamore_core.ids import FencingNumber, Incarnation, ModelId

from ..plan import (
    ORDER_TIMEOUT_SECONDS,
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
    """Guard against a resumed process switching its engine back.

    The process was suspended during a change of the model. Its engine has an
    order with a higher number. Switching back would give callers answers of
    a withdrawn model.
    """
    state = EngineState(fencing=6)
    assert next_order(make_facts(state=state)) is None


def test_engine_that_ignores_fencing_gets_no_order_at_first() -> None:
    """Guard against overlapping an order of the previous process."""
    early = make_facts(
        checks_fencing=False, awake_for=ORDER_TIMEOUT_SECONDS - 1
    )
    assert next_order(early) is None
    late = make_facts(checks_fencing=False, awake_for=ORDER_TIMEOUT_SECONDS)
    assert next_order(late) is not None


def test_endpoint_waits_for_its_turn_at_the_weight_store() -> None:
    """Guard against many engines loading a new model at the same time."""
    assert next_order(make_facts(turn_in=1)) is None


class OrderMachine(RuleBasedStateMachine):
    """Two processes of one engine that checks fencing.

    Each process has its own settings. An order may reach the engine long
    after the decision.
    """

    def __init__(self) -> None:
        super().__init__()
        self.engine = EngineState()
        self.newest = 0
        self.processes = [(1, 0), (1, 0)]
        self.started = 0
        self.in_flight: list[object] = []

    @rule(index=st.integers(0, 1), version=st.integers(1, 4))
    def restart(self, index, version) -> None:
        self.started += 1
        self.processes[index] = (version, self.started)

    @rule(index=st.integers(0, 1))
    def decide(self, index) -> None:
        version, started = self.processes[index]
        start = Incarnation(START_NS + started * SECOND_NS)
        facts = make_facts(
            state=self.engine,
            wanted=ModelId(f'm{version}'),
            fencing=fencing_number(version, start),
        )
        order = next_order(facts)
        if order is not None:
            self.in_flight.append((version, order))

    @rule(number=st.integers(0, 3))
    def arrive(self, number) -> None:
        if number >= len(self.in_flight):
            return
        version, order = self.in_flight[number]
        if order.fencing < self.engine.fencing:
            return
        assert version >= self.newest
        self.newest = version
        self.engine = EngineState(
            fencing=order.fencing,
            models=(LoadedModel(order.model),),
        )

    @invariant()
    def engine_never_reverts(self) -> None:
        models = self.engine.models
        assert not models or models[0].model == f'm{self.newest}'


OrderMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
)
TestOrderMachine = OrderMachine.TestCase
