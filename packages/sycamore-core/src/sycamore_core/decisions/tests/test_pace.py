"""Steps, hysteresis and settling of the weights, and swinging under lag."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sycamore_core.decisions.pace import (
    HYSTERESIS,
    JOINING_WEIGHT,
    LONGEST_STEP,
    RISE_PER_SECOND,
    PacedWeights,
)

from .builders_pace import AtOnce, run_swing, swing

#: Swings in parts of an even share.
WIDE = 0.2
NARROW = 0.01


def settle(paced, target, start):
    """Return the seconds until the weight of `a` is at its target."""
    for now in range(start, start + 60):
        if paced.update({'a': target}, now)['a'] == pytest.approx(target):
            return now - start
    return None


@pytest.mark.parametrize('lag', [1, 2, 3, 5])
def test_no_swinging_under_lag(lag):
    """Entries set weights by reports that are some seconds old.

    Taken at once, the weights swing for ever, and callers find now one and
    now another endpoint crowded.
    """
    assert swing(run_swing(AtOnce, lag)) > WIDE
    assert swing(run_swing(PacedWeights, lag)) < NARROW


@pytest.mark.parametrize('lag', [1, 2, 3, 5])
def test_strong_answers_swing_less(lag):
    """With a gain of six the paced weights still swing, but less."""
    naive = swing(run_swing(AtOnce, lag, gain=6))
    assert swing(run_swing(PacedWeights, lag, gain=6)) < naive


def test_settling_time():
    paced = PacedWeights()
    paced.update({'a': 1}, 0)
    assert settle(paced, 0.05, start=1) <= 4
    assert settle(paced, 1, start=10) <= 10


def test_nothing_goes_to_an_ejected_endpoint():
    paced = PacedWeights()
    paced.update({'a': 1}, 0)
    assert paced.update({'a': 0}, 0.1)['a'] == 0


def test_small_changes_are_left():
    paced = PacedWeights()
    paced.update({'a': 0.5}, 0)
    near = 0.5 + HYSTERESIS / 2
    assert paced.update({'a': near}, 5)['a'] == pytest.approx(0.5)


def test_a_starting_entry_takes_its_targets():
    """An entry restarts. If it began at low weights everywhere, its callers
    would be refused while endpoints are idle.
    """
    assert PacedWeights().update({'a': 1, 'b': 0.4}, 7) == {'a': 1, 'b': 0.4}


def test_a_joining_endpoint_begins_low():
    """An endpoint is replaced. Its empty queue would draw all new work."""
    paced = PacedWeights()
    paced.update({'a': 1}, 0)
    joined = paced.update({'a': 1, 'b': 1}, 1)
    assert joined == {'a': 1, 'b': JOINING_WEIGHT}
    assert settle(paced, 1, start=2) is not None


def test_a_paused_entry_makes_no_jump():
    """An entry is paused for a minute and wakes up with an old picture."""
    paced = PacedWeights()
    paced.update({'a': 0}, 0)
    woken = paced.update({'a': 1}, 60)['a']
    assert woken <= RISE_PER_SECOND * LONGEST_STEP


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    steps=st.lists(
        st.tuples(st.floats(0, 1), st.floats(0, 10)),
        min_size=2,
        max_size=30,
    ),
)
def test_weights_stay_between_old_and_target(steps):
    paced = PacedWeights()
    now = 0
    before = steps[0][0]
    paced.update({'a': before}, now)
    for target, wait in steps[1:]:
        now += wait
        weight = paced.update({'a': target}, now)['a']
        assert min(before, target) <= weight <= max(before, target)
        rise = RISE_PER_SECOND * min(wait, LONGEST_STEP)
        assert weight <= before + rise + 1e-9
        before = weight
