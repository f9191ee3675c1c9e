"""Entries that share what they know of crashes, in any order and with losses.

Messages are lost, late and repeated; entries start anew. Whatever happens, a
content is held only for crashes that were seen, and entries that have heard
one another agree.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ....ids import ContentDigest, EndpointId
from ....routing import CrashReport, EndpointLifetime
from ..quarantine import Quarantine

ENTRIES = 3
DIGESTS = tuple(ContentDigest(bytes([one]) * 16) for one in range(3))
entry_of = st.integers(0, ENTRIES - 1)
content_of = st.sampled_from(DIGESTS)


class QuarantineMachine(RuleBasedStateMachine):
    """Several entries, and what has truly happened."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1.0
        self.books = [Quarantine() for _ in range(ENTRIES)]
        self.crashes: dict[ContentDigest, int] = {one: 0 for one in DIGESTS}
        self.on_the_way: list[tuple[float, tuple[CrashReport, ...]]] = []
        self.endpoints = 0

    @rule(entry=entry_of, content=content_of, just_begun=st.booleans())
    def endpoint_crashes(
        self,
        entry: int,
        content: ContentDigest,
        just_begun: bool,
    ) -> None:
        self.now += 1
        self.endpoints += 1
        self.crashes[content] += 1
        self.books[entry].crashed(
            content,
            EndpointLifetime(EndpointId('e'), self.endpoints),
            self.now,
            had_just_begun=just_begun,
        )

    @rule(entry=entry_of, content=content_of)
    def request_is_answered(self, entry: int, content: ContentDigest) -> None:
        self.books[entry].answered(content, self.now)
        assert not self.books[entry].is_held(content, self.now)

    @rule(entry=entry_of)
    def entry_starts_anew(self, entry: int) -> None:
        self.books[entry] = Quarantine()

    @rule(entry=entry_of)
    def entry_tells(self, entry: int) -> None:
        message = self.books[entry].book.in_turn(self.now)
        self.on_the_way.append((self.now, message))

    @rule(entry=entry_of, place=st.integers(0, 50))
    def message_arrives(self, entry: int, place: int) -> None:
        if self.on_the_way:
            sent = self.on_the_way[place % len(self.on_the_way)]
            self.books[entry].hear(sent[1], self.now)

    @rule()
    def all_hear_all(self) -> None:
        for _ in range(2):
            told = [book.book.everything(self.now) for book in self.books]
            for book in self.books:
                for message in told:
                    book.hear(message, self.now)
        for content in DIGESTS:
            assert len(set(self.verdicts(content))) == 1

    def verdicts(self, content: ContentDigest) -> list[bool]:
        return [book.is_held(content, self.now) for book in self.books]

    @invariant()
    def nothing_is_held_for_crashes_that_nobody_saw(self) -> None:
        for book in self.books:
            for content, crashes in self.crashes.items():
                assert book.crashes(content) <= crashes
                assert crashes > 1 or not book.is_held(content, self.now)


TestQuarantine = QuarantineMachine.TestCase
TestQuarantine.settings = settings(max_examples=60, deadline=None)
