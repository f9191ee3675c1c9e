"""Crash reports between entries, in any order and with losses.

Messages are lost, late and repeated, and entries restart. In every sequence of
events, a content is quarantined only for crashes that happened, and entries
agree after they have exchanged reports.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ....ids import ContentDigest, EndpointId
from ....routing import CrashReport, EndpointLifetime
from ..quarantine import Quarantine

ENTRIES = 3
DIGESTS = tuple(ContentDigest(bytes([number]) * 16) for number in range(3))
entry_numbers = st.integers(0, ENTRIES - 1)
request_digests = st.sampled_from(DIGESTS)


class QuarantineMachine(RuleBasedStateMachine):
    """Several entries, and the crashes that happened."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1.0
        self.quarantines = [Quarantine() for _ in range(ENTRIES)]
        self.crashes: dict[ContentDigest, int] = {
            digest: 0 for digest in DIGESTS
        }
        self.in_flight: list[tuple[float, tuple[CrashReport, ...]]] = []
        self.crashed_endpoints = 0

    @rule(
        entry=entry_numbers, content=request_digests, just_begun=st.booleans()
    )
    def endpoint_crashes(
        self,
        entry: int,
        content: ContentDigest,
        just_begun: bool,
    ) -> None:
        self.now += 1
        self.crashed_endpoints += 1
        self.crashes[content] += 1
        self.quarantines[entry].record_crash(
            content,
            EndpointLifetime(EndpointId('e'), self.crashed_endpoints),
            self.now,
            had_just_begun=just_begun,
        )

    @rule(entry=entry_numbers, content=request_digests)
    def request_is_answered(self, entry: int, content: ContentDigest) -> None:
        self.quarantines[entry].record_answer(content, self.now)
        assert not self.quarantines[entry].is_quarantined(content, self.now)

    @rule(entry=entry_numbers)
    def entry_restarts(self, entry: int) -> None:
        self.quarantines[entry] = Quarantine()

    @rule(entry=entry_numbers)
    def entry_sends_reports(self, entry: int) -> None:
        message = self.quarantines[entry].book.rotating_reports(self.now)
        self.in_flight.append((self.now, message))

    @rule(entry=entry_numbers, index=st.integers(0, 50))
    def message_arrives(self, entry: int, index: int) -> None:
        if self.in_flight:
            sent = self.in_flight[index % len(self.in_flight)]
            self.quarantines[entry].handle_reports(sent[1], self.now)

    @rule()
    def all_entries_exchange_reports(self) -> None:
        for _ in range(2):
            messages = [
                quarantine.book.all_reports(self.now)
                for quarantine in self.quarantines
            ]
            for quarantine in self.quarantines:
                for message in messages:
                    quarantine.handle_reports(message, self.now)
        for content in DIGESTS:
            assert len(set(self.quarantine_states(content))) == 1

    def quarantine_states(self, content: ContentDigest) -> list[bool]:
        return [
            quarantine.is_quarantined(content, self.now)
            for quarantine in self.quarantines
        ]

    @invariant()
    def nothing_is_quarantined_without_crashes(self) -> None:
        for quarantine in self.quarantines:
            for content, crashes in self.crashes.items():
                assert quarantine.crash_count(content) <= crashes
                assert crashes > 1 or not quarantine.is_quarantined(
                    content, self.now
                )


TestQuarantine = QuarantineMachine.TestCase
TestQuarantine.settings = settings(max_examples=60, deadline=None)
