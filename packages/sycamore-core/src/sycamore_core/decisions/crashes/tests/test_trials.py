"""Trials of suspect requests, one at a time in the whole fleet."""

import pytest

from ..crash_registry import QUARANTINE_SECONDS
from ..quarantine import SHORT_QUARANTINE_SECONDS, Quarantine
from ..trials import (
    MOST_TRIES,
    TRIAL_ANSWER_SECONDS,
    TRIAL_TIMEOUT_SECONDS,
    granting_entry,
)
from .builders_trials import (
    BYSTANDER,
    CRASHING,
    AllAfterQuarantine,
    OneInFleet,
    OnePerEntry,
    TrialLoad,
    TrialSimulation,
)
from .test_quarantine import crash

SEED = 1
LOADS = (
    TrialLoad(),
    TrialLoad(entries=26, crashing_per_s=40),
    TrialLoad(crashing_per_s=40, bystander_per_s=1),
)
QUARANTINE_END = 10 + SHORT_QUARANTINE_SECONDS


def after_three_crashes(now: float = 10) -> Quarantine:
    """Return a quarantine of two requests that three crashes have in common."""
    quarantine = Quarantine()
    for number in range(3):
        crash(quarantine, f'e{number}', now)
        crash(quarantine, f'e{number}', now, BYSTANDER)
    return quarantine


@pytest.mark.parametrize('load', LOADS)
def test_fleet_sends_a_crashing_request_in_three_trials_at_most(
    load: TrialLoad,
) -> None:
    """Guards against a quarantine that ends at all entries at one moment."""
    assert TrialSimulation(OneInFleet(load)).run(SEED).sends <= MOST_TRIES


@pytest.mark.parametrize('load', LOADS[1:])
def test_crashing_request_is_sent_more_often_without_grants(
    load: TrialLoad,
) -> None:
    assert (
        TrialSimulation(AllAfterQuarantine(load)).run(SEED).sends > MOST_TRIES
    )


def test_one_trial_per_entry_exceeds_the_bound() -> None:
    """Guards against a bound per entry, whose crashes add up in the fleet."""
    load = TrialLoad(entries=26, crashing_per_s=40)
    assert TrialSimulation(OnePerEntry(load)).run(SEED).sends > MOST_TRIES


@pytest.mark.parametrize('load', LOADS)
def test_bystander_is_accepted_soon_after_its_quarantine(
    load: TrialLoad,
) -> None:
    """Guards against a popular request that is refused like the cause."""
    last_refusal_at = (
        TrialSimulation(OneInFleet(load)).run(SEED).last_refusal_at
    )
    assert last_refusal_at < SHORT_QUARANTINE_SECONDS + 2


def test_trials_do_not_overlap() -> None:
    quarantine = after_three_crashes()
    assert not quarantine.decide_trial(CRASHING, QUARANTINE_END - 1).number
    assert quarantine.decide_trial(CRASHING, QUARANTINE_END).number == 1
    assert not quarantine.decide_trial(
        CRASHING, QUARANTINE_END + TRIAL_TIMEOUT_SECONDS - 1
    ).number


def test_callers_may_return_soon_while_a_trial_is_in_progress() -> None:
    """Guards against callers kept away long after the trial is answered."""
    quarantine = after_three_crashes()
    quarantine.decide_trial(CRASHING, QUARANTINE_END).number
    seconds = quarantine.seconds_to_trial(CRASHING, QUARANTINE_END + 0.1)
    assert seconds == TRIAL_ANSWER_SECONDS


def test_trial_without_known_end_is_followed_by_another() -> None:
    """Guards against a bystander that is refused after its trial is lost."""
    quarantine = after_three_crashes()
    quarantine.decide_trial(CRASHING, QUARANTINE_END).number
    assert (
        quarantine.decide_trial(
            CRASHING, QUARANTINE_END + TRIAL_TIMEOUT_SECONDS
        ).number
        == 2
    )


def test_request_has_three_trials_while_its_crashes_count() -> None:
    """Guards against a cause that crashes an endpoint after each quarantine."""
    quarantine = after_three_crashes()
    granted = [
        now
        for now in range(int(QUARANTINE_SECONDS))
        if quarantine.decide_trial(CRASHING, float(now)).number
    ]
    assert len(granted) == MOST_TRIES
    assert (
        quarantine.seconds_to_trial(CRASHING, 100)
        == 10 + QUARANTINE_SECONDS - 100
    )


def test_request_without_known_crashes_is_granted_no_trial() -> None:
    """Guards against grants by an entry that has not received the reports."""
    assert not Quarantine().decide_trial(CRASHING, 10).number


def test_trials_are_reported_to_the_entry_that_is_chosen_next() -> None:
    """Guards against three more trials after each entry that dies."""
    first, second = after_three_crashes(), after_three_crashes()
    for number in range(MOST_TRIES):
        assert first.decide_trial(
            CRASHING, QUARANTINE_END + number * TRIAL_TIMEOUT_SECONDS
        ).number
    later = QUARANTINE_END + MOST_TRIES * TRIAL_TIMEOUT_SECONDS
    second.handle_reports(first.book.rotating_reports(later), later)
    assert not second.decide_trial(
        CRASHING, later + TRIAL_TIMEOUT_SECONDS
    ).number


def test_answer_to_a_trial_ends_the_suspicion_at_all_entries() -> None:
    """Guards against a bystander that is refused after it was cleared."""
    first, second = after_three_crashes(), after_three_crashes()
    first.decide_trial(BYSTANDER, QUARANTINE_END).number
    first.record_answer(BYSTANDER, QUARANTINE_END + 1)
    second.handle_reports(
        first.book.recent_reports(QUARANTINE_END + 1), QUARANTINE_END + 1
    )
    assert not second.is_quarantined(BYSTANDER, QUARANTINE_END + 1)
    assert not second.is_in_doubt(BYSTANDER, QUARANTINE_END + 1)


def test_few_requests_change_their_granting_entry_when_an_entry_dies() -> None:
    """Guards against a new granting entry for all requests at once."""
    entries = [f'entry-{number}' for number in range(10)]
    digests = [str(number).zfill(16).encode() for number in range(200)]
    before = [granting_entry(digest, entries) for digest in digests]
    after = [granting_entry(digest, entries[1:]) for digest in digests]
    moved = [old != new for old, new in zip(before, after, strict=True)]
    assert sum(moved) == before.count(entries[0])
