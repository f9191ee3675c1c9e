"""Rests of several endpoints, with answers late, repeated and out of order.

Whatever comes, no request is sent within a rest, and after each one endpoints
are used again.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ..asked_rests import PROBE_TIMEOUT_SECONDS, AskedRests
from .builders_limits import lifetime

LONGEST = 5.0
place_of = st.sampled_from(range(3))


class AskedRestsMachine(RuleBasedStateMachine):
    """One entry before three endpoints."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1.0
        self.rests = AskedRests()
        self.until = dict.fromkeys(range(3), float(0))

    @rule(seconds=st.floats(0.01, 2))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(place=place_of, seconds=st.floats(0, LONGEST))
    def endpoint_asks_for_rest(self, place: int, seconds: float) -> None:
        self.rests.said(lifetime(place), seconds, self.now)
        self.until[place] = max(self.until[place], self.now + seconds)

    @rule(place=place_of)
    def endpoint_takes_a_request(self, place: int) -> None:
        self.rests.accepted(lifetime(place))

    @rule(place=place_of)
    def entry_sends_if_it_may(self, place: int) -> None:
        if self.rests.takes(lifetime(place), self.now):
            assert self.now >= self.until[place]
            self.rests.sent(lifetime(place), self.now)

    @rule()
    def entry_starts_anew(self) -> None:
        self.rests = AskedRests()
        self.until = dict.fromkeys(range(3), float(0))

    @invariant()
    def nothing_is_sent_within_a_rest(self) -> None:
        for place, until in self.until.items():
            takes = self.rests.takes(lifetime(place), self.now)
            assert not takes or self.now >= until

    @invariant()
    def every_endpoint_is_used_again(self) -> None:
        later = self.now + LONGEST + PROBE_TIMEOUT_SECONDS
        assert all(self.rests.takes(lifetime(one), later) for one in range(3))

    @invariant()
    def time_that_is_left_is_when_a_request_may_be_sent(self) -> None:
        for place in range(3):
            left = self.rests.seconds_left(lifetime(place), self.now)
            assert (left <= 0) == self.rests.takes(lifetime(place), self.now)


TestAskedRests = AskedRestsMachine.TestCase
