"""Requested backoffs under late, repeated and reordered answers.

In every sequence of events, no request is sent within a backoff, and endpoints
are used again after it.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ..asked_rests import PROBE_TIMEOUT_SECONDS, RequestedBackoffs
from .builders_limits import lifetime

MAX_SECONDS = 5.0
endpoint_indexes = st.sampled_from(range(3))


class BackoffMachine(RuleBasedStateMachine):
    """One entry and three endpoints."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1.0
        self.backoffs = RequestedBackoffs()
        self.until = dict.fromkeys(range(3), float(0))

    @rule(seconds=st.floats(0.01, 2))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(index=endpoint_indexes, seconds=st.floats(0, MAX_SECONDS))
    def endpoint_requests_backoff(self, index: int, seconds: float) -> None:
        self.backoffs.record_request(lifetime(index), seconds, self.now)
        self.until[index] = max(self.until[index], self.now + seconds)

    @rule(index=endpoint_indexes)
    def endpoint_accepts_request(self, index: int) -> None:
        self.backoffs.record_acceptance(lifetime(index))

    @rule(index=endpoint_indexes)
    def entry_sends_if_permitted(self, index: int) -> None:
        if self.backoffs.accepts(lifetime(index), self.now):
            assert self.now >= self.until[index]
            self.backoffs.record_send(lifetime(index), self.now)

    @rule()
    def entry_restarts(self) -> None:
        self.backoffs = RequestedBackoffs()
        self.until = dict.fromkeys(range(3), float(0))

    @invariant()
    def nothing_is_sent_within_a_backoff(self) -> None:
        for index, until in self.until.items():
            accepts = self.backoffs.accepts(lifetime(index), self.now)
            assert not accepts or self.now >= until

    @invariant()
    def every_endpoint_is_used_again(self) -> None:
        later = self.now + MAX_SECONDS + PROBE_TIMEOUT_SECONDS
        assert all(
            self.backoffs.accepts(lifetime(index), later) for index in range(3)
        )

    @invariant()
    def remaining_time_agrees_with_accepts(self) -> None:
        for index in range(3):
            left = self.backoffs.seconds_left(lifetime(index), self.now)
            assert (left <= 0) == self.backoffs.accepts(
                lifetime(index), self.now
            )


TestRequestedBackoffs = BackoffMachine.TestCase
