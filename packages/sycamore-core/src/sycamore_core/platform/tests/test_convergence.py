"""Tests of processes that read one platform and exchange settings."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from ...clock import ManualClock
from ...errors import PlatformError
from ...ids import SettingsVersion
from ...telemetry import Metrics
from .. import PublishedSettings, ReadSchedule, SettingsSource, TreeRank
from ..accepted import NO_TREE
from ..bodies import unpack_settings
from ..view import SettingsView
from ..watcher import SettingsWatcher
from .builders import invalid_tree, tree

PROCESSES = 3
SCHEDULE = ReadSchedule(watch_seconds=5, recheck_seconds=60)
METRICS = Metrics('test')


class Platform(SettingsSource):
    """Shows any state that was ever published, or is down."""

    def __init__(self) -> None:
        self.published: list[PublishedSettings] = []
        self.shown: PublishedSettings | None = None
        self.is_down = False

    @property
    def is_current(self) -> bool:
        return bool(self.published) and self.shown is self.published[-1]

    async def read_above(
        self,
        version: SettingsVersion,
        wait_seconds: float,
    ) -> PublishedSettings | None:
        if self.is_down:
            raise PlatformError('down')
        if self.shown is None or self.shown.version <= version:
            return None
        return self.shown


class Process:
    """The view and the reads of one process, without its tasks."""

    def __init__(self, platform: Platform, clock: ManualClock) -> None:
        self.view = SettingsView()
        self.clock = clock
        self.watcher = SettingsWatcher(platform, clock, METRICS, SCHEDULE)
        self.highest = NO_TREE

    def read(self) -> None:
        started = self.clock.monotonic()
        published = asyncio.run(self.watcher.read(self.view))
        if published is not None:
            self.view.apply_published(published, started)

    def receive_from(self, other: 'Process') -> None:
        now = self.clock.monotonic()
        wanted = self.view.handle_claim(other.view.claim(now), now)
        answer = other.view.answer(wanted) if wanted else None
        if answer is not None:
            self.view.accepted.offer(unpack_settings(answer))
            self.watcher.request_recheck()


class Deployment(RuleBasedStateMachine):
    """Operators publish, the platform misbehaves and processes restart."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock(start=1000)
        self.platform = Platform()
        self.processes = [self.start() for _ in range(PROCESSES)]

    def start(self) -> Process:
        return Process(self.platform, self.clock)

    @initialize()
    def publish_first(self) -> None:
        self.publish(tree(1))

    def publish(self, published: PublishedSettings) -> None:
        self.platform.published.append(published)
        self.platform.shown = published

    def next_version(self) -> int:
        return self.platform.published[-1].version + 1

    @rule()
    def publish_next(self) -> None:
        self.publish(tree(self.next_version()))

    @rule()
    def publish_invalid(self) -> None:
        self.publish(invalid_tree(self.next_version()))

    @rule(operator=st.sampled_from(['left', 'right']))
    def publish_same_number_again(self, operator: str) -> None:
        self.publish(tree(self.next_version() - 1, operator))

    @rule(position=st.integers(0, 30))
    def show_an_old_state(self, position: int) -> None:
        published = self.platform.published
        self.platform.shown = published[position % len(published)]

    @rule(is_down=st.booleans())
    def go_down_or_up(self, *, is_down: bool) -> None:
        self.platform.is_down = is_down

    @rule(seconds=st.sampled_from([1, 6, 70, 4000]))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule(index=st.integers(0, PROCESSES - 1))
    def read(self, index: int) -> None:
        self.processes[index].read()

    @rule(
        receiver=st.integers(0, PROCESSES - 1),
        sender=st.integers(0, PROCESSES - 1),
    )
    def receive_from_peer(self, receiver: int, sender: int) -> None:
        self.processes[receiver].receive_from(self.processes[sender])

    @rule(index=st.integers(0, PROCESSES - 1))
    def restart(self, index: int) -> None:
        self.processes[index] = self.start()

    @invariant()
    def no_rank_decreases(self) -> None:
        for process in self.processes:
            rank = process.view.accepted.rank
            assert rank >= process.highest
            process.highest = rank

    @invariant()
    def no_view_is_confirmed_in_the_future(self) -> None:
        for process in self.processes:
            assert process.view.confirmed_at <= self.clock.monotonic()

    def teardown(self) -> None:
        """Check that a recovered fleet converges on the highest known tree."""
        if not self.platform.published:
            return
        self.platform.is_down = False
        self.platform.shown = self.platform.published[-1]
        known = [process.view.accepted.rank for process in self.processes]
        for _ in range(2):
            self.clock.advance(SCHEDULE.recheck_seconds)
            self.processes[0].read()
        for _ in range(PROCESSES):
            for receiver in self.processes:
                for sender in self.processes:
                    receiver.receive_from(sender)
        final_ranks = {process.view.accepted.rank for process in self.processes}
        assert len(final_ranks) == 1
        shown = TreeRank.from_published(self.platform.shown)
        is_invalid = b'wieght' in self.platform.shown.body
        expected = known if is_invalid else [*known, shown]
        assert final_ranks == {max(expected)}


TestDeployment = Deployment.TestCase
TestDeployment.settings = settings(
    derandomize=True,
    max_examples=50,
    stateful_step_count=30,
    deadline=None,
)
