"""Tests of the rate limit, hysteresis and stability of weights."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sycamore_core.decisions.weight_ramp import (
    HYSTERESIS,
    JOINING_WEIGHT,
    MAX_RISE_PER_SECOND,
    MAX_STEP_SECONDS,
    WeightRamp,
)

from .builders_pace import UnlimitedWeights, load_swing, run_feedback

#: Limits of load swings, relative to an even share.
LARGE_SWING = 0.2
SMALL_SWING = 0.01


def settling_seconds(ramp, target, start):
    """Return the seconds until the weight of `a` reaches its target."""
    for now in range(start, start + 60):
        if ramp.update({'a': target}, now)['a'] == pytest.approx(target):
            return now - start
    return None


@pytest.mark.parametrize('lag', [1, 2, 3, 5])
def test_load_is_stable_with_outdated_reports(lag):
    """Guards against load that oscillates because reports are outdated.

    Without the rate limit, the weights oscillate permanently and overload one
    endpoint after another.
    """
    assert load_swing(run_feedback(UnlimitedWeights, lag)) > LARGE_SWING
    assert load_swing(run_feedback(WeightRamp, lag)) < SMALL_SWING


@pytest.mark.parametrize('lag', [1, 2, 3, 5])
def test_rate_limit_reduces_swings_under_strong_feedback(lag):
    """With a gain of 6 the load oscillates, but less than without the limit."""
    naive = load_swing(run_feedback(UnlimitedWeights, lag, gain=6))
    assert load_swing(run_feedback(WeightRamp, lag, gain=6)) < naive


def test_settling_time():
    ramp = WeightRamp()
    ramp.update({'a': 1}, 0)
    assert settling_seconds(ramp, 0.05, start=1) <= 4
    assert settling_seconds(ramp, 1, start=10) <= 10


def test_target_of_zero_applies_immediately():
    ramp = WeightRamp()
    ramp.update({'a': 1}, 0)
    assert ramp.update({'a': 0}, 0.1)['a'] == 0


def test_small_changes_are_skipped():
    ramp = WeightRamp()
    ramp.update({'a': 0.5}, 0)
    near = 0.5 + HYSTERESIS / 2
    assert ramp.update({'a': near}, 5)['a'] == pytest.approx(0.5)


def test_starting_entry_applies_targets_immediately():
    """Guards against low weights of all endpoints after an entry restarts.

    The entry would refuse requests while endpoints are idle.
    """
    assert WeightRamp().update({'a': 1, 'b': 0.4}, 7) == {'a': 1, 'b': 0.4}


def test_joining_endpoint_starts_with_low_weight():
    """Guards against a new endpoint whose empty queue attracts all work."""
    ramp = WeightRamp()
    ramp.update({'a': 1}, 0)
    joined = ramp.update({'a': 1, 'b': 1}, 1)
    assert joined == {'a': 1, 'b': JOINING_WEIGHT}
    assert settling_seconds(ramp, 1, start=2) is not None


def test_suspended_entry_makes_no_large_change():
    """Guards against a large change after an entry was suspended."""
    ramp = WeightRamp()
    ramp.update({'a': 0}, 0)
    resumed = ramp.update({'a': 1}, 60)['a']
    assert resumed <= MAX_RISE_PER_SECOND * MAX_STEP_SECONDS


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    steps=st.lists(
        st.tuples(st.floats(0, 1), st.floats(0, 10)),
        min_size=2,
        max_size=30,
    ),
)
def test_weight_stays_between_old_weight_and_target(steps):
    ramp = WeightRamp()
    now = 0
    before = steps[0][0]
    ramp.update({'a': before}, now)
    for target, wait in steps[1:]:
        now += wait
        weight = ramp.update({'a': target}, now)['a']
        assert min(before, target) <= weight <= max(before, target)
        rise = MAX_RISE_PER_SECOND * min(wait, MAX_STEP_SECONDS)
        assert weight <= before + rise + 1e-9
        before = weight
