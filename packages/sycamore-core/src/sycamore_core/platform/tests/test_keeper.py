"""Tests of `SettingsKeeper`."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterable, Set

import pytest

from ...clock import ManualClock
from ...errors import PlatformError
from ...messages import SettingsBody, SettingsWanted
from ...states import SettingsVerdict
from .. import SettingsClaim, SettingsKeeper, SettingsPeers
from ..accepted import TreeRank
from .builders import (
    TEST_TIMEOUT_SECONDS,
    FakeSource,
    invalid_tree,
    make_keeper,
    tree,
)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def running(keeper: SettingsKeeper) -> AsyncIterator[None]:
    task = asyncio.create_task(keeper.run())
    try:
        yield
    finally:
        task.cancel()


def body_of(version: int, name: str = 'test') -> SettingsBody:
    published = tree(version, name)
    return SettingsBody(published.version, published.body)


class FakePeers(SettingsPeers):
    """Seed peers that record the requests sent to them."""

    def __init__(self, addresses: Set[str]) -> None:
        self._addresses = addresses
        self.requested: list[str] = []

    def request(self, addresses: Iterable[str], wanted: SettingsWanted) -> None:
        self.requested.extend(addresses)

    @property
    def addresses(self) -> Set[str]:
        return self._addresses


async def new_version_reaches_listeners() -> None:
    source = FakeSource(tree(1))
    keeper = make_keeper(source)
    seen: list[int] = []
    keeper.add_listener(lambda fleet: seen.append(fleet.version))
    async with running(keeper):
        await wait_until(lambda: seen == [1])
        source.published = tree(2)
        await wait_until(lambda: seen == [1, 2])


def test_new_version_reaches_listeners() -> None:
    asyncio.run(new_version_reaches_listeners())


async def failing_listener_does_not_stop_the_others() -> None:
    source = FakeSource(tree(1))
    keeper = make_keeper(source)
    seen: list[int] = []
    keeper.add_listener(lambda fleet: seen.append(1 // (fleet.version - 1)))
    keeper.add_listener(lambda fleet: seen.append(fleet.version))
    async with running(keeper):
        await wait_until(lambda: seen == [1])
        source.published = tree(2)
        await wait_until(lambda: seen == [1, 1, 2])


def test_failing_listener_does_not_stop_the_others() -> None:
    """One listener raises an error for new settings.

    The other listeners would keep the old settings, and the process would
    never read another version.
    """
    asyncio.run(failing_listener_does_not_stop_the_others())


async def outage_then_stale_copy_changes_nothing() -> None:
    source = FakeSource(tree(5))
    keeper = make_keeper(source)
    async with running(keeper):
        await wait_until(lambda: keeper.version == 5)
        source.is_down = True
        reads = source.reads
        await wait_until(lambda: source.reads > reads + 2)
        source.published = tree(3)
        source.is_down = False
        reads = source.reads
        await wait_until(lambda: source.reads > reads + 5)
        assert keeper.version == 5
        confirmed = keeper.view.confirmed_at
        reads = source.reads
        await wait_until(lambda: source.reads > reads + 5)
        assert keeper.view.confirmed_at == confirmed
        source.published = tree(6)
        await wait_until(lambda: keeper.version == 6)


def test_outage_then_stale_copy_changes_nothing() -> None:
    """The settings service is down and returns with an old copy.

    Workspaces closed since would be served again, and raised targets would
    revert to their old values.
    """
    asyncio.run(outage_then_stale_copy_changes_nothing())


async def invalid_version_is_corrected_under_its_own_number() -> None:
    source = FakeSource(tree(1))
    keeper = make_keeper(source)
    async with running(keeper):
        await wait_until(lambda: keeper.version == 1)
        source.published = invalid_tree(2)
        await wait_until(lambda: keeper.view.accepted.refused is not None)
        assert keeper.version == 1
        source.published = tree(2)
        await wait_until(lambda: keeper.version == 2)


def test_invalid_version_is_corrected_under_its_own_number() -> None:
    """An operator publishes an invalid tree and corrects it in place.

    A watch for versions above the refused one never returns the corrected
    tree, so the change would never take effect.
    """
    asyncio.run(invalid_version_is_corrected_under_its_own_number())


async def immediate_responses_do_not_cause_a_read_loop() -> None:
    source = FakeSource(invalid_tree(9))
    keeper = make_keeper(source)
    async with running(keeper):
        await wait_until(lambda: source.reads > 3)
        assert keeper.view.platform_rank.version == 9
    assert keeper.fleet is None


def test_immediate_responses_do_not_cause_a_read_loop() -> None:
    """The service answers each watch immediately with an invalid tree.

    Every process would read it in a tight loop, far above the rate limit.
    """
    asyncio.run(immediate_responses_do_not_cause_a_read_loop())


async def peer_settings_override_a_stale_platform_at_startup() -> None:
    peers = FakePeers({'tcp://127.0.0.1:1'})
    keeper = make_keeper(FakeSource(tree(3)), peers)
    async with running(keeper):
        waiting = asyncio.create_task(
            keeper.wait_for_settings(TEST_TIMEOUT_SECONDS)
        )
        await wait_until(lambda: keeper.version == 3 and bool(peers.requested))
        assert not waiting.done()
        keeper.offer_from_peer(body_of(5), 'tcp://127.0.0.1:1')
        assert (await waiting).version == 5


def test_peer_settings_override_a_stale_platform_at_startup() -> None:
    """A process restarts while the platform serves an old copy.

    It would use settings that its peers have long replaced.
    """
    asyncio.run(peer_settings_override_a_stale_platform_at_startup())


async def dead_seed_peer_does_not_block_startup() -> None:
    keeper = make_keeper(FakeSource(tree(3)), FakePeers({'tcp://127.0.0.1:1'}))
    async with running(keeper):
        assert (
            await keeper.wait_for_settings(TEST_TIMEOUT_SECONDS)
        ).version == 3


def test_dead_seed_peer_does_not_block_startup() -> None:
    """The process at a seed address never answers.

    Without a timeout, a process with this seed peer could never start.
    """
    asyncio.run(dead_seed_peer_does_not_block_startup())


async def peer_settings_suffice_while_the_platform_is_down() -> None:
    source = FakeSource()
    source.is_down = True
    keeper = make_keeper(source, FakePeers({'tcp://127.0.0.1:1'}))
    async with running(keeper):
        keeper.offer_from_peer(body_of(4), 'tcp://127.0.0.1:1')
        assert (
            await keeper.wait_for_settings(TEST_TIMEOUT_SECONDS)
        ).version == 4
        assert keeper.age == float('inf')


def test_peer_settings_suffice_while_the_platform_is_down() -> None:
    asyncio.run(peer_settings_suffice_while_the_platform_is_down())


async def start_without_settings_fails_with_the_reason() -> None:
    keeper = make_keeper(FakeSource(invalid_tree(1)))
    async with running(keeper):
        await wait_until(lambda: keeper.view.accepted.refused is not None)
        with pytest.raises(PlatformError, match='wieght'):
            await keeper.wait_for_settings(0)


def test_start_without_settings_fails_with_the_reason() -> None:
    asyncio.run(start_without_settings_fails_with_the_reason())


def test_trees_of_one_version_are_compared_by_digest() -> None:
    """Two halves of the fleet hold different trees of one version.

    With the version alone the trees look equal, and neither half would request
    the other tree.
    """
    left, right = make_keeper(FakeSource()), make_keeper(FakeSource())
    left.offer_from_peer(body_of(7, 'left'))
    right.offer_from_peer(body_of(7, 'right'))
    for receiver, sender in ((left, right), (right, left)):
        wanted = receiver.handle_claim(sender.claim)
        answer = sender.answer(wanted) if wanted else None
        if answer is not None:
            receiver.offer_from_peer(answer)
    assert left.view.accepted.rank == right.view.accepted.rank


def test_claim_of_a_peer_confirms_the_same_tree_only() -> None:
    clock = ManualClock(start=100)
    keeper = make_keeper(FakeSource(), clock=clock)
    keeper.offer_from_peer(body_of(7))
    own = keeper.view.accepted.rank
    assert keeper.handle_claim(SettingsClaim(own)) is None
    assert keeper.age == float('inf')
    assert keeper.handle_claim(SettingsClaim(own, 4)) is None
    assert keeper.age == 5
    newer = SettingsClaim(TreeRank(own.version + 1, 0), 0)
    assert keeper.handle_claim(newer) == SettingsWanted(above=own.version)
    assert keeper.age == 5


def test_peer_without_settings_answers_a_starting_one() -> None:
    empty = make_keeper(FakeSource())
    answer = empty.answer(SettingsWanted(above=0))
    assert answer == SettingsBody(0, b'')
    assert empty.offer_from_peer(answer) is SettingsVerdict.OLDER
    assert empty.answer(SettingsWanted(above=3)) is None
