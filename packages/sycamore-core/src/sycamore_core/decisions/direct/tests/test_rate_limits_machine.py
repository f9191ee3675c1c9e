"""Entries that share a limit, with words late, lost and out of order.

Whatever happens, an entry knows of no more sends than there were, has no limit
that nobody named, and entries that have heard one another agree.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ....ids import EndpointId, EntryId, PeerId
from ....routing import LimitReport
from ..rate_limits import RateLimits
from .builders_limits import lifetime

ENGINE = lifetime(1)
NAMES = frozenset((EndpointId('1'),))
PLACES = range(3)
place_of = st.sampled_from(PLACES)


def name_of(place: int) -> str:
    return f'entry-{place}'


class RateLimitMachine(RuleBasedStateMachine):
    """Several entries before one endpoint."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1.0
        self.books = [RateLimits(EntryId(name_of(one))) for one in PLACES]
        self.sent: list[float] = []
        self.named: set[float | None] = {None}
        self.on_the_way: list[tuple[int, tuple[LimitReport, ...]]] = []

    @rule(seconds=st.floats(0.01, 2))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(place=place_of, rate=st.sampled_from((0, 0.5, 1.2, 5, None)))
    def endpoint_answers(self, place: int, rate: float | None) -> None:
        self.now += 0.001
        self.named.add(rate)
        self.books[place].said(ENGINE, rate, self.now)
        assert self.books[place].limit(ENGINE, self.now) == rate

    @rule(place=place_of)
    def entry_sends_if_it_may(self, place: int) -> None:
        if self.books[place].has_room(ENGINE, self.now):
            self.books[place].sent(ENGINE, self.now)
            self.sent.append(self.now)

    @rule(place=place_of)
    def entry_starts_anew(self, place: int) -> None:
        self.books[place] = RateLimits(EntryId(name_of(place)))

    @rule(place=place_of)
    def entry_tells(self, place: int) -> None:
        told = self.books[place].reports(NAMES, self.now)
        self.on_the_way.append((place, told))

    @rule(place=place_of, which=st.integers(0, 30))
    def message_arrives(self, place: int, which: int) -> None:
        if self.on_the_way:
            sender, told = self.on_the_way.pop(which % len(self.on_the_way))
            if sender != place:
                self.books[place].hear(PeerId(name_of(sender)), told, self.now)

    @rule()
    def all_hear_all(self) -> None:
        self.on_the_way.clear()
        for sender, book in enumerate(self.books):
            self._tell_all_others(sender, book.reports(NAMES, self.now))
        limits = {known.limit(ENGINE, self.now) for known in self.books}
        assert len(limits - {None}) <= 1

    @invariant()
    def no_limit_is_known_that_nobody_named(self) -> None:
        for book in self.books:
            assert book.limit(ENGINE, self.now) in self.named

    @invariant()
    def room_comes_back(self) -> None:
        for book in self.books:
            assert book.has_room(ENGINE, self.now + 40)

    def _tell_all_others(
        self,
        sender: int,
        told: tuple[LimitReport, ...],
    ) -> None:
        for place in PLACES:
            if place != sender:
                peer = PeerId(name_of(sender))
                self.books[place].hear(peer, told, self.now)


TestRateLimits = RateLimitMachine.TestCase
TestRateLimits.settings = settings(max_examples=60, deadline=None)
