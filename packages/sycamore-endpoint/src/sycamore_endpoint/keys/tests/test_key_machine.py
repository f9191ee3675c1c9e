"""Callers' keys under restarts, settings changes, suspensions and clock errors.

Two endpoints share a service. Each has its own wall clock with an error of up
to 30 s, and its own view of the settings. A fresh view was confirmed within
`FRESH_VIEW_SECONDS`. The platform answers correctly when it answers, but it
may be unreachable for any length of time.
"""

import uuid

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ..doubt import (
    FRESH_VIEW_SECONDS,
    MAX_CLOCK_ERROR_SECONDS,
    KeyContext,
    key_refusal,
)
from ..history import HomeHistory

NAMES = ('e1', 'e2')
BEGIN = 1_700_000_000.0
ENDPOINT_NAMES = st.sampled_from(NAMES)
CLOCK_ERRORS = st.floats(-MAX_CLOCK_ERROR_SECONDS, MAX_CLOCK_ERROR_SECONDS)


def key_at(seconds: float) -> str:
    milliseconds = int(seconds * 1000)
    return str(uuid.UUID(int=(milliseconds << 80) | (7 << 76) | (2 << 62)))


class Endpoint:
    """One endpoint process with its clock and its view of the settings."""

    def __init__(self, name: str, error: float) -> None:
        self.name = name
        self.error = error
        self.history = HomeHistory(name)
        self.confirmed_at = BEGIN
        self.ran: set[str] = set()


class KeyMachine(RuleBasedStateMachine):
    """The home moves, and each endpoint may receive the change late."""

    def __init__(self) -> None:
        super().__init__()
        self.now = BEGIN
        self.home = 'e1'
        self.runs: dict[str, int] = {}
        self.keys: list[str] = []
        self.endpoints = {name: Endpoint(name, 0) for name in NAMES}
        for name in NAMES:
            self.confirm(name)

    @rule(name=ENDPOINT_NAMES, error=CLOCK_ERRORS)
    def restart(self, name, error) -> None:
        self.endpoints[name] = Endpoint(name, error)
        self.confirm(name)

    @rule(home=ENDPOINT_NAMES)
    def publish(self, home) -> None:
        self.home = home

    @rule(name=ENDPOINT_NAMES)
    def confirm(self, name) -> None:
        endpoint = self.endpoints[name]
        if self.now - endpoint.confirmed_at > FRESH_VIEW_SECONDS:
            endpoint.history.clear()
        endpoint.confirmed_at = self.now
        endpoint.history.record((self.home,), self.now + endpoint.error)

    @rule(home=ENDPOINT_NAMES)
    def move_home_and_send(self, home) -> None:
        """Run a common sequence that random draws seldom produce."""
        self.publish(home)
        self.confirm(home)
        self.advance_time(400)
        self.confirm(home)
        self.issue(0)
        self.send(home, 0)

    @rule(error=CLOCK_ERRORS)
    def issue(self, error) -> None:
        self.keys.append(key_at(self.now + error))

    @rule(ahead=st.floats(0, 10_000))
    def issue_from_future(self, ahead) -> None:
        self.keys.append(key_at(self.now + ahead))

    @rule(seconds=st.sampled_from([0.1, 5, 19, 61, 150, 400]))
    def advance_time(self, seconds) -> None:
        self.now += seconds

    @rule(name=ENDPOINT_NAMES, number=st.integers(0, 6))
    def send(self, name, number) -> None:
        if number >= len(self.keys):
            return
        key = self.keys[-1 - number]
        endpoint = self.endpoints[name]
        if key in endpoint.ran:
            return
        context = KeyContext(
            wall=self.now + endpoint.error,
            home_since=endpoint.history.home_since(lambda names: names[0]),
            view_age=self.now - endpoint.confirmed_at,
        )
        if key_refusal(key, context) is None:
            endpoint.ran.add(key)
            self.runs[key] = self.runs.get(key, 0) + 1

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(count == 1 for count in self.runs.values())


KeyMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=400,
    stateful_step_count=40,
    deadline=None,
)
TestKeyMachine = KeyMachine.TestCase


def make_context(home_since: float = BEGIN, view_age: float = 1) -> KeyContext:
    return KeyContext(BEGIN + 1000, home_since, view_age)


def test_fresh_key_runs_at_a_stable_home() -> None:
    assert key_refusal(key_at(BEGIN + 990), make_context()) is None


def test_key_from_before_a_restart_is_refused() -> None:
    """Guard against running a deposit again after a process restart.

    The previous process may have run the deposit before the restart.
    """
    key = key_at(BEGIN + 990)
    refusal = key_refusal(key, make_context(home_since=BEGIN + 980))
    assert refusal is not None
    assert refusal.value == 'too_early'
