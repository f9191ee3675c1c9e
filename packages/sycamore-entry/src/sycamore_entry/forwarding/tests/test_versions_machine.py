"""Which configuration is in force when, whatever is lost on the way.

The store refuses entries, is silent to them, loses the answers to all open
calls, and forgets its history; messages between entries are lost in one
direction; entries send nothing though they report, end, and start again.
"""

import asyncio
import enum
import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from .builders_versions import ModelEntry, ModelFleet
from .virtual_time import VirtualLoop

#: Bounds of the platform, in seconds: time of a change, time after which an
#: entry is in contact again, and what an unstable store adds for an entry that
#: is sound itself.
CHANGE_SECONDS = 2.0
CONTACT_SECONDS = 3.0
STRETCH_SECONDS = 5.0
CHECK_SECONDS = 0.1
MOST_ENTRIES = 5
place_of = st.integers(0, MOST_ENTRIES - 1)


class StoreTrouble(enum.Enum):
    """What the store does to one entry, or to all."""

    IS_SOUND = 'sound'
    REFUSES = 'refuses'
    IS_SILENT = 'silent'
    LOSES_ANSWERS = 'loses answers'
    FORGETS = 'forgets its history'


class PeerTrouble(enum.Enum):
    """What becomes of the messages of one entry."""

    IS_CUT = 'cut from another'
    IS_SOUND = 'sound'
    SENDS_NOTHING = 'sends no configuration'
    SENDS_AGAIN = 'sends configurations'


class Versions(RuleBasedStateMachine):
    """A fleet and its store in virtual time."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        #: Since when each way from one entry to another is sound.
        self.sound_since: dict[tuple[int, int], float] = {}

    def teardown(self) -> None:
        self.run(self.stop())
        self.loop.close()

    @initialize(entries=st.integers(1, MOST_ENTRIES))
    def start_all(self, entries: int) -> None:
        self.run(self.begin(entries))

    @rule(seconds=st.floats(0, 9))
    def pass_time(self, seconds: float) -> None:
        self.run(self.watch_time(seconds))

    @rule(steps=st.lists(st.integers(1, 4), min_size=1, max_size=3))
    def publish(self, steps: list[int]) -> None:
        for step in steps:
            self.fleet.store.publish(step)
            self.run(self.watch_time(CHECK_SECONDS))

    @rule(seconds=st.floats(0, 2))
    def publish_and_lose_the_answers(self, seconds: float) -> None:
        """Lose the answers to watches that began with the change before."""
        self.fleet.store.publish(1)
        self.run(self.watch_time(seconds))
        for entry in self.fleet.entries:
            entry.feed.losses += 1
            self.harm(entry)
        self.fleet.store.publish(1)

    @rule(trouble=st.sampled_from(StoreTrouble), place=place_of)
    def trouble_the_store(self, trouble: StoreTrouble, place: int) -> None:
        if trouble is StoreTrouble.FORGETS:
            self.fleet.store.forget()
            return
        entry = self.entry(place)
        entry.feed.refuses = trouble is StoreTrouble.REFUSES
        entry.feed.is_silent = trouble is StoreTrouble.IS_SILENT
        entry.feed.losses += trouble is not StoreTrouble.IS_SOUND
        self.harm(entry)

    @rule(trouble=st.sampled_from(PeerTrouble), place=place_of, other=place_of)
    def trouble_a_peer(
        self, trouble: PeerTrouble, place: int, other: int
    ) -> None:
        entry, receiver = self.entry(place), self.entry(other)
        if trouble in {PeerTrouble.SENDS_NOTHING, PeerTrouble.SENDS_AGAIN}:
            entry.is_deaf_to_requests = trouble is PeerTrouble.SENDS_NOTHING
            self.note_harm_of(entry)
        elif entry is not receiver:
            is_cut = trouble is PeerTrouble.IS_CUT
            entry.peers[receiver.place].is_cut = is_cut
            self.note_harm(entry.place, receiver.place)

    @rule(place=place_of)
    def end_or_start(self, place: int) -> None:
        entry = self.entry(place)
        if entry.is_running:
            self.run(entry.end())
            self.fleet.update_places()
        else:
            self.run(self.begin_lifetime(entry))

    def entry(self, place: int) -> ModelEntry:
        return self.fleet.entries[place % len(self.fleet.entries)]

    def now(self) -> float:
        return self.loop.time()

    def harm(self, entry: ModelEntry) -> None:
        """Note that the contact of an entry with the store was harmed."""
        if entry.feed.refuses or entry.feed.is_silent:
            entry.harmed_until = math.inf
        else:
            entry.harmed_until = self.now()

    def note_harm(self, one: int, other: int) -> None:
        """Note that the way from one entry to another was harmed."""
        self.sound_since[one, other] = self.now()

    def note_harm_of(self, entry: ModelEntry) -> None:
        for other in self.fleet.entries:
            self.note_harm(entry.place, other.place)
            self.note_harm(other.place, entry.place)

    def run(self, coroutine) -> None:
        self.loop.run_until_complete(coroutine)

    async def begin(self, entries: int) -> None:
        self.fleet = ModelFleet(self.loop, entries)
        self.fleet.store.publish(1)
        for entry in self.fleet.entries:
            await self.begin_lifetime(entry)

    async def begin_lifetime(self, entry: ModelEntry) -> None:
        entry.start()
        self.harm(entry)
        self.note_harm_of(entry)
        self.fleet.update_places()

    async def stop(self) -> None:
        for entry in self.fleet.entries:
            await entry.end()

    async def watch_time(self, seconds: float) -> None:
        """Let time pass, and check all entries again and again."""
        until = self.now() + seconds
        while self.now() < until:
            await asyncio.sleep(CHECK_SECONDS)
            for entry in self.fleet.entries:
                if entry.is_running:
                    self.check(entry)

    def check(self, entry: ModelEntry) -> None:
        assert entry.version >= entry.highest, 'went back'
        entry.highest = entry.version
        store = self.fleet.store
        if self.is_in_contact(entry):
            due = store.due_version(CHANGE_SECONDS)
            assert entry.version >= due, 'not in force in time'
        elif self.has_helper(entry):
            due = store.due_version(CHANGE_SECONDS + STRETCH_SECONDS)
            assert entry.version >= due, 'not in force in time with peers'

    def is_in_contact(self, entry: ModelEntry) -> bool:
        return self.now() - entry.harmed_until > CONTACT_SECONDS

    def has_helper(self, entry: ModelEntry) -> bool:
        """Return whether a sound peer has long been able to help an entry."""
        return any(
            one.is_running
            and not one.is_deaf_to_requests
            and self.is_in_contact(one)
            and self.are_connected(one, entry)
            for one in self.fleet.entries
            if one is not entry
        )

    def are_connected(self, one: ModelEntry, other: ModelEntry) -> bool:
        ways = ((one, other), (other, one))
        horizon = self.now() - CHANGE_SECONDS - STRETCH_SECONDS
        return all(
            not there.peers[back.place].is_cut
            and self.sound_since.get((there.place, back.place), 0) < horizon
            for there, back in ways
        )


TestVersions = Versions.TestCase
TestVersions.settings = settings(
    max_examples=40, stateful_step_count=20, deadline=None
)
