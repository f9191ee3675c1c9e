"""Tests of the order in which settings trees replace each other."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)

from ...ids import SettingsVersion
from ...states import SettingsVerdict
from .. import MAX_SETTINGS_BYTES, AcceptedSettings, PublishedSettings, TreeRank
from ..accepted import NO_TREE
from .builders import invalid_tree, tree

PROCESSES = 3


def test_older_tree_is_not_accepted() -> None:
    """The settings service returns with an outdated copy.

    A process that accepted the copy would admit workspaces closed since.
    """
    accepted = AcceptedSettings()
    accepted.offer(tree(5))
    assert accepted.offer(tree(4)) is SettingsVerdict.OLDER
    assert accepted.version == 5


def test_invalid_tree_keeps_the_last_valid_one() -> None:
    """An operator publishes a tree with a misspelt key.

    Every request would be refused if the invalid tree replaced the valid one.
    """
    accepted = AcceptedSettings()
    accepted.offer(tree(5))
    assert accepted.offer(invalid_tree(6)) is SettingsVerdict.INVALID
    assert accepted.version == 5
    assert accepted.refused is not None
    assert 'wieght' in accepted.refused.reason


@pytest.mark.parametrize(
    ('body', 'reason'),
    [
        (b' ' * (MAX_SETTINGS_BYTES + 1), 'at most 1048576'),
        (tree(8).body, '9 is accepted'),
    ],
)
def test_oversized_or_misnumbered_tree_is_invalid(
    body: bytes,
    reason: str,
) -> None:
    accepted = AcceptedSettings()
    published = PublishedSettings(SettingsVersion(9), body)
    assert accepted.offer(published) is SettingsVerdict.INVALID
    assert accepted.refused is not None
    assert reason in accepted.refused.reason


def test_two_trees_of_one_version_converge() -> None:
    """Two operators publish different trees as version 7 at the same time.

    Each tree reaches one half of the fleet. If the halves kept different trees,
    only every second entry would admit a workspace until version 8 is out.
    """
    first, second = AcceptedSettings(), AcceptedSettings()
    for published in (tree(7, 'left'), tree(7, 'right')):
        first.offer(published)
    for published in (tree(7, 'right'), tree(7, 'left')):
        second.offer(published)
    assert first.rank == second.rank
    lower = min(tree(7, 'left'), tree(7, 'right'), key=TreeRank.from_published)
    assert first.offer(lower) is SettingsVerdict.CONFLICT


class Fleet(RuleBasedStateMachine):
    """Processes that read any past state of the platform, and each other.

    The model is the maximum of the valid trees that each process was offered
    since its start.
    """

    published = Bundle('published')

    def __init__(self) -> None:
        super().__init__()
        self.processes = [AcceptedSettings() for _ in range(PROCESSES)]
        self.expected = [NO_TREE for _ in range(PROCESSES)]
        self.highest = [NO_TREE for _ in range(PROCESSES)]

    @rule(
        target=published,
        version=st.integers(1, 6),
        operator=st.sampled_from(['left', 'right']),
    )
    def publish(self, version: int, operator: str) -> PublishedSettings:
        return tree(version, operator)

    @rule(target=published, version=st.integers(1, 6))
    def publish_invalid(self, version: int) -> PublishedSettings:
        return invalid_tree(version)

    @rule(process=st.integers(0, PROCESSES - 1), state=published)
    def read_any_past_state(
        self,
        process: int,
        state: PublishedSettings,
    ) -> None:
        self.read(process, state)

    def read(self, process: int, state: PublishedSettings) -> None:
        verdict = self.processes[process].offer(state)
        if b'wieght' in state.body:
            assert verdict is not SettingsVerdict.ACCEPTED
            return
        rank = TreeRank.from_published(state)
        self.expected[process] = max(self.expected[process], rank)

    @rule(
        source=st.integers(0, PROCESSES - 1),
        receiver=st.integers(0, PROCESSES - 1),
    )
    def receive_from_peer(self, source: int, receiver: int) -> None:
        published = self.processes[source].published
        if published is not None:
            self.read(receiver, published)

    @rule(process=st.integers(0, PROCESSES - 1))
    def restart(self, process: int) -> None:
        self.processes[process] = AcceptedSettings()
        self.expected[process] = NO_TREE
        self.highest[process] = NO_TREE

    @invariant()
    def highest_valid_tree_is_in_force(self) -> None:
        ranks = [process.rank for process in self.processes]
        assert ranks == self.expected

    @invariant()
    def no_rank_decreases_while_running(self) -> None:
        for index, process in enumerate(self.processes):
            assert process.rank >= self.highest[index]
            self.highest[index] = process.rank


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
)
