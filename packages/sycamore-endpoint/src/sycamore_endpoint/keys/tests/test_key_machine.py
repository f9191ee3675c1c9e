"""Callers' keys under restarts, changes of settings, pauses and wrong clocks.

Two endpoints share a service. Each has its own wall clock, which is wrong by
up to 30 s, and its own view of the settings. A view that is fresh was
confirmed within `VIEW_SECONDS`, as the platform tells the truth while it
answers; it may not answer for as long as it likes.
"""

import uuid

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ..doubt import (
    CLOCK_ERROR_SECONDS,
    VIEW_SECONDS,
    KeyFacts,
    doubt_about,
)
from ..history import HomeHistory

NAMES = ('e1', 'e2')
BEGIN = 1_700_000_000.0
WHICH = st.sampled_from(NAMES)
ERRORS = st.floats(-CLOCK_ERROR_SECONDS, CLOCK_ERROR_SECONDS)


def key_at(seconds: float) -> str:
    milliseconds = int(seconds * 1000)
    return str(uuid.UUID(int=(milliseconds << 80) | (7 << 76) | (2 << 62)))


class Endpoint:
    """One endpoint process: its clock, its view, and when it was confirmed."""

    def __init__(self, name: str, error: float) -> None:
        self.name = name
        self.error = error
        self.history = HomeHistory(name)
        self.confirmed_at = BEGIN
        self.ran: set[str] = set()


class KeyMachine(RuleBasedStateMachine):
    """The home moves, and everybody may be late to hear of it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = BEGIN
        self.home = 'e1'
        self.runs: dict[str, int] = {}
        self.keys: list[str] = []
        self.endpoints = {name: Endpoint(name, 0) for name in NAMES}
        for name in NAMES:
            self.confirm(name)

    @rule(name=WHICH, error=ERRORS)
    def restart(self, name, error) -> None:
        self.endpoints[name] = Endpoint(name, error)
        self.confirm(name)

    @rule(home=WHICH)
    def publish(self, home) -> None:
        self.home = home

    @rule(name=WHICH)
    def confirm(self, name) -> None:
        endpoint = self.endpoints[name]
        if self.now - endpoint.confirmed_at > VIEW_SECONDS:
            endpoint.history.lapse()
        endpoint.confirmed_at = self.now
        endpoint.history.take((self.home,), self.now + endpoint.error)

    @rule(home=WHICH)
    def home_moves_and_serves(self, home) -> None:
        """A common course of things, which chance alone seldom finds."""
        self.publish(home)
        self.confirm(home)
        self.time_passes(400)
        self.confirm(home)
        self.issue(0)
        self.send(home, 0)

    @rule(error=ERRORS)
    def issue(self, error) -> None:
        self.keys.append(key_at(self.now + error))

    @rule(ahead=st.floats(0, 10_000))
    def issue_from_future(self, ahead) -> None:
        self.keys.append(key_at(self.now + ahead))

    @rule(seconds=st.sampled_from([0.1, 5, 19, 61, 150, 400]))
    def time_passes(self, seconds) -> None:
        self.now += seconds

    @rule(name=WHICH, number=st.integers(0, 6))
    def send(self, name, number) -> None:
        if number >= len(self.keys):
            return
        key = self.keys[-1 - number]
        endpoint = self.endpoints[name]
        if key in endpoint.ran:
            return
        facts = KeyFacts(
            wall=self.now + endpoint.error,
            home_since=endpoint.history.home_since(lambda names: names[0]),
            view_age=self.now - endpoint.confirmed_at,
        )
        if doubt_about(key, facts) is None:
            endpoint.ran.add(key)
            self.runs[key] = self.runs.get(key, 0) + 1

    @invariant()
    def at_most_once(self) -> None:
        assert all(count == 1 for count in self.runs.values())


KeyMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=400,
    stateful_step_count=40,
    deadline=None,
)
TestKeyMachine = KeyMachine.TestCase


def facts(home_since: float = BEGIN, view_age: float = 1) -> KeyFacts:
    return KeyFacts(BEGIN + 1000, home_since, view_age)


def test_fresh_key_of_a_settled_home_runs() -> None:
    assert doubt_about(key_at(BEGIN + 990), facts()) is None


def test_key_from_before_a_restart_is_refused() -> None:
    """The process beside the booking application was restarted.

    A deposit that its predecessor may have recorded is sent again. It is
    refused, and its caller is not told that it was not run.
    """
    key = key_at(BEGIN + 990)
    doubt = doubt_about(key, facts(home_since=BEGIN + 980))
    assert doubt is not None
    assert doubt.value == 'too_early'
