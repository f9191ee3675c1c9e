"""Tests of ejection, probing and return of endpoints.

The model tests compare the answers of callers with and without health checks.
"""

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from sycamore_core.decisions.health import (
    CAPPED_WEIGHT,
    FIRST_EJECTION_SECONDS,
    RETURN_RAMP_SECONDS,
    EndpointHealth,
)
from sycamore_core.decisions.health_record import (
    EjectionReason,
    Observation,
    ObservationKind,
)
from sycamore_core.states import HealthState

from .builders_health import Fault, HealthModel

NAMES = tuple('abcdefghij')
SIZE = 10
BEGINS, ENDS, LAST = 20, 60, 160


def observe(health, name, kind, now, count=1, **figures):
    for _ in range(count):
        health.observe(name, Observation(kind=kind, **figures), now)


def build_health(now=0):
    health = EndpointHealth()
    health.weights(NAMES, now)
    return health


def eject(health, name, now):
    observe(health, name, ObservationKind.FAILED, now, count=3)


def test_consecutive_failures_eject():
    health = build_health()
    eject(health, 'a', 1)
    assert health.weights(NAMES, 1)['a'] == 0
    assert health.reason('a') == EjectionReason.FAILURES


def test_slow_fleet_causes_no_ejection():
    health = build_health()
    for now in range(20):
        for name in NAMES:
            observe(
                health,
                name,
                ObservationKind.ANSWERED,
                now,
                latency_ratio=8,
            )
        health.weights(NAMES, now)
    assert all(health.state(name) == HealthState.HEALTHY for name in NAMES)


def test_abandoned_requests_are_not_failures():
    health = build_health()
    observe(health, 'a', ObservationKind.ABANDONED, 1, count=50)
    assert health.weights(NAMES, 1)['a'] == 1


def test_silence_is_relative_to_expected_time():
    health = build_health()
    accepted = ObservationKind.ACCEPTED
    observe(health, 'a', accepted, 0, expected_seconds=20)
    observe(health, 'b', accepted, 0, expected_seconds=0.2)
    weights = health.weights(NAMES, 6)
    assert (weights['a'], weights['b']) == (1, 0)
    assert health.reason('b') == EjectionReason.SILENCE


def test_ejected_endpoint_is_probed_and_returns():
    health = build_health()
    eject(health, 'a', 0)
    now = FIRST_EJECTION_SECONDS + 1
    for _ in range(3):
        assert health.weights(NAMES, now)['a'] > 0
        observe(health, 'a', ObservationKind.ACCEPTED, now)
        assert health.weights(NAMES, now)['a'] == 0
        observe(health, 'a', ObservationKind.ANSWERED, now)
    ramp = [health.weights(NAMES, now + step)['a'] for step in range(12)]
    assert ramp == sorted(ramp)
    assert ramp[0] == pytest.approx(0.1)
    assert health.weights(NAMES, now + RETURN_RAMP_SECONDS)['a'] == 1


@pytest.mark.parametrize(
    'faulty',
    [
        Observation(kind=ObservationKind.FAILED),
        Observation(kind=ObservationKind.ANSWERED, latency_ratio=10),
    ],
)
def test_failed_probe_doubles_ejection_time(faulty):
    health = build_health()
    eject(health, 'a', 0)
    now = FIRST_EJECTION_SECONDS + 1
    health.weights(NAMES, now)
    health.observe('a', faulty, now)
    assert health.weights(NAMES, now + FIRST_EJECTION_SECONDS * 1.5)['a'] == 0
    assert health.weights(NAMES, now + FIRST_EJECTION_SECONDS * 2.5)['a'] > 0


def test_cap_limits_ejections():
    """Guards against the ejection of a whole fleet that begins to fail.

    With a bad model version, all endpoints fail. If they were ejected one by
    one, the last ones would receive the whole load, and then none would remain.
    """
    health = build_health()
    for name in NAMES:
        eject(health, name, 1)
    weights = list(health.weights(NAMES, 1).values())
    assert weights.count(0) == 3
    assert weights.count(CAPPED_WEIGHT) == 7


def test_only_one_of_two_endpoints_is_ejected():
    health = EndpointHealth()
    pair = ('a', 'b')
    health.weights(pair, 0)
    for name in pair:
        eject(health, name, 1)
    assert sorted(health.weights(pair, 1).values()) == [0, CAPPED_WEIGHT]


class HealthMachine(stateful.RuleBasedStateMachine):
    """The cap holds and all endpoints can recover, for any observations."""

    def __init__(self):
        super().__init__()
        self.health = EndpointHealth()
        self.names = set(NAMES)
        self.now = 0
        self.weights = self.health.weights(self.names, 0)

    @stateful.rule(
        name=st.sampled_from(NAMES),
        kind=st.sampled_from(ObservationKind),
        ratio=st.floats(0, 100),
        count=st.integers(1, 6),
    )
    def observe_endpoint(self, name, kind, ratio, count):
        if name in self.names:
            observe(
                self.health,
                name,
                kind,
                self.now,
                count,
                latency_ratio=ratio,
            )

    @stateful.rule(seconds=st.sampled_from((0.1, 1, 6, 15, 200)))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(names=st.sets(st.sampled_from(NAMES), min_size=1))
    def change_fleet(self, names):
        self.names = names

    @stateful.invariant()
    def cap_on_ejections_holds(self):
        self.weights = self.health.weights(self.names, self.now)
        assert set(self.weights) == self.names
        out_of_service = [
            name
            for name in self.names
            if self.health.state(name)
            in {HealthState.EJECTED, HealthState.PROBING}
        ]
        assert len(out_of_service) == self.health.out_of_service
        assert len(out_of_service) <= max(1, 0.3 * len(self.names))
        assert len(out_of_service) < len(self.names)
        assert all(0 <= weight <= 1 for weight in self.weights.values())
        idle = [name for name in self.names if not self.weights[name]]
        assert set(idle) <= set(out_of_service)

    def teardown(self):
        """Check that good answers return all endpoints to service."""
        for _ in range(200):
            self.now += 2
            weights = self.health.weights(self.names, self.now)
            for name, weight in weights.items():
                if weight:
                    answered = ObservationKind.ANSWERED
                    observe(self.health, name, answered, self.now)
        weights = self.health.weights(self.names, self.now)
        assert set(weights.values()) == {1}


TestHealth = HealthMachine.TestCase
TestHealth.settings = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=30,
    deadline=None,
)


def run_model(faults, seed, load=0.6, *, uses_health=True):
    model = HealthModel(SIZE, faults, BEGINS, ENDS, uses_health=uses_health)
    model.run(load, LAST, seed)
    return model


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('fault', list(Fault))
def test_faulty_endpoint_is_ejected_and_returns(fault, seed):
    """Guards against a faulty endpoint that keeps its share of the requests.

    For forty seconds, one endpoint of ten is ten times slower, fails each
    request at once, or never answers.
    """
    model = run_model({0: fault}, seed)
    naive = run_model({0: fault}, seed, uses_health=False)
    missed = 1 - model.answered(BEGINS, ENDS, within=1)
    naive_missed = 1 - naive.answered(BEGINS, ENDS, within=1)
    assert missed < naive_missed / 2
    assert model.share_of(0, LAST - 20, LAST) > 0.5 / SIZE


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_half_of_the_fleet_fails(seed):
    """Guards against results worse than without health checks.

    Five endpoints of ten fail each request at once, and three may be ejected.
    """
    faulty = dict.fromkeys(range(5), Fault.FAILS_FAST)
    model = run_model(faulty, seed, load=0.4)
    naive = run_model(faulty, seed, load=0.4, uses_health=False)
    answered = model.answered(BEGINS, ENDS, within=1)
    assert answered > naive.answered(BEGINS, ENDS, within=1)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_healthy_fleet_is_not_affected(seed):
    model = run_model({}, seed, load=0.8)
    naive = run_model({}, seed, load=0.8, uses_health=False)
    assert model.answered(0, LAST, 1) >= naive.answered(0, LAST, 1) - 0.002
