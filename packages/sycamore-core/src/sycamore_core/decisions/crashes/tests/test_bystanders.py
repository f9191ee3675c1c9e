"""A popular request beside a poison request, under three policies.

`Former` judges by the reports of present requests alone, and counts joins as
interruptions. `Released` sends what another request explains without a trial.
"""

from collections.abc import Callable

import pytest

from ....ids import ContentDigest
from ....routing import EndpointLifetime
from ..abandoned import AbandonedAttempt
from ..quarantine import Quarantine
from ..trial_readiness import TrialReadiness
from .builders_bystanders import (
    BystanderLoad,
    BystanderOutcome,
    BystanderSimulation,
    Policy,
)

SEEDS = range(1, 13)
#: Refused time of a popular request, mean of the plays, in seconds. A caller
#: that returns once is then served.
MEAN_REFUSED_SECONDS = 1.0
LOADS = (
    BystanderLoad(popular_per_s=10),
    BystanderLoad(popular_per_s=40),
    BystanderLoad(lost=0.3),
    BystanderLoad(given_up=0.3),
    BystanderLoad(popular_per_s=20, restart_gap=2),
    BystanderLoad(endpoints=18, popular_per_s=100, given_up=0.5),
    BystanderLoad(entries=8, endpoints=770, popular_per_s=30),
)


class FormerQuarantine(Quarantine):
    """Knows neither output nor attempts that were given up."""

    def record_output(self, content: ContentDigest, now: float) -> None:
        """Ignore it."""

    def record_abandoned(self, attempt: AbandonedAttempt, now: float) -> None:
        """Ignore it."""

    def record_crash(
        self,
        content: ContentDigest,
        endpoint: EndpointLifetime,
        now: float,
        *,
        had_just_begun: bool,
        has_output: bool = False,
    ) -> None:
        super().record_crash(
            content, endpoint, now, had_just_begun=had_just_begun
        )


class FormerReadiness(TrialReadiness):
    """Waits again after each join."""

    def record_peer_joined(self, address: str, now: float) -> None:
        self.complete_since = now


class Former(Policy):
    new_quarantine = FormerQuarantine
    new_readiness = FormerReadiness


class ReleasingQuarantine(Quarantine):
    """Asks for no trial of a request that another one explains."""

    def is_in_doubt(self, content: ContentDigest, now: float) -> bool:
        record = self.book.find_suspect(content, now)
        if record is not None and self.book.is_explained(record):
            return False
        return super().is_in_doubt(content, now)


class Released(Policy):
    new_quarantine = ReleasingQuarantine


def play(policy: Policy, load: BystanderLoad) -> list[BystanderOutcome]:
    return [BystanderSimulation(policy, load, seed).run() for seed in SEEDS]


def mean(
    outcomes: list[BystanderOutcome],
    measure: Callable[[BystanderOutcome], float],
) -> float:
    return sum(map(measure, outcomes)) / len(outcomes)


def refused_seconds(outcome: BystanderOutcome) -> float:
    return outcome.refused_seconds


def ended(outcome: BystanderOutcome) -> float:
    return outcome.ended


@pytest.mark.parametrize('load', LOADS)
def test_popular_request_is_refused_for_a_moment_at_most(
    load: BystanderLoad,
) -> None:
    """Guards against refusing a harmless request on sound endpoints."""
    outcomes = play(Policy(), load)
    assert mean(outcomes, refused_seconds) <= MEAN_REFUSED_SECONDS


@pytest.mark.parametrize('load', LOADS)
def test_poison_request_gets_no_further_than_without_evidence(
    load: BystanderLoad,
) -> None:
    """Guards against evidence that shields the cause."""
    outcomes = play(Policy(), load)
    assert mean(outcomes, ended) <= mean(play(Former(), load), ended)


def test_popular_request_is_refused_for_seconds_without_evidence() -> None:
    outcomes = play(Former(), BystanderLoad(popular_per_s=40))
    assert mean(outcomes, refused_seconds) > MEAN_REFUSED_SECONDS


def test_release_without_trial_refuses_fewer_popular_requests() -> None:
    """Shows what the trial costs that bounds a cause which has output."""
    load = BystanderLoad(popular_per_s=40)
    released = mean(play(Released(), load), refused_seconds)
    assert released <= mean(play(Policy(), load), refused_seconds)


def test_poison_request_with_output_is_bounded_as_before() -> None:
    """Guards against a cause that streams for a while before each crash."""
    load = BystanderLoad(has_output=True)
    most = max(map(ended, play(Policy(), load)))
    assert most <= max(map(ended, play(Former(), load)))
