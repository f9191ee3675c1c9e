"""Requests that were given up at endpoints that crash afterwards."""

from ....ids import ContentDigest
from ....routing import CrashReport
from ..abandoned import AbandonedAttempt, AbandonedAttempts
from ..quarantine import Quarantine
from .test_quarantine import BYSTANDER, CRASHING, crash, lifetime_of

TIME_LIMIT_SECONDS = 4.0
#: Attempts that are remembered at most.
BOUND = 2048


def abandon(
    quarantine: Quarantine,
    name: str,
    now: float,
    content: ContentDigest = CRASHING,
) -> None:
    attempt = AbandonedAttempt(
        content=content,
        endpoint=lifetime_of(name),
        until=now + TIME_LIMIT_SECONDS,
        had_just_begun=True,
    )
    quarantine.record_abandoned(attempt, now)


def test_request_that_was_given_up_is_suspect_of_a_later_crash() -> None:
    """Guards against a cause that nobody reports, as it has moved on."""
    quarantine = Quarantine()
    abandon(quarantine, 'e1', 10)
    crash(quarantine, 'e1', 11, BYSTANDER)
    assert quarantine.blame_abandoned(lifetime_of('e1'), 11)
    assert quarantine.crash_count(CRASHING) == 1


def test_peer_reports_the_crash_of_an_endpoint_with_a_given_up_request() -> (
    None
):
    """Guards against a crash that only an entry without the cause notices."""
    first, second = Quarantine(), Quarantine()
    abandon(first, 'e1', 10)
    crash(second, 'e1', 11, BYSTANDER)
    first.handle_reports(second.book.recent_reports(11.1), 11.1)
    assert first.blame_abandoned(lifetime_of('e1'), 11.1)
    second.handle_reports(first.book.recent_reports(11.2), 11.2)
    assert second.crash_count(CRASHING) == 1


def test_request_that_is_given_up_after_the_crash_is_suspect() -> None:
    """Guards against a broken connection that is noticed after the crash."""
    quarantine = Quarantine()
    crash(quarantine, 'e1', 10, BYSTANDER)
    abandon(quarantine, 'e1', 10.5)
    assert quarantine.blame_abandoned(lifetime_of('e1'), 10.5)


def test_request_is_no_suspect_after_its_time_limit() -> None:
    """Guards against blame of requests that had ended long before."""
    quarantine = Quarantine()
    abandon(quarantine, 'e1', 10)
    crash(quarantine, 'e1', 10 + TIME_LIMIT_SECONDS, BYSTANDER)
    assert not quarantine.blame_abandoned(
        lifetime_of('e1'), 10 + TIME_LIMIT_SECONDS
    )


def test_given_up_requests_at_sound_endpoints_are_not_suspect() -> None:
    quarantine = Quarantine()
    abandon(quarantine, 'e1', 10)
    crash(quarantine, 'e2', 11, BYSTANDER)
    assert not quarantine.blame_abandoned(lifetime_of('e1'), 11)


def test_given_up_requests_do_not_shield_the_cause() -> None:
    """Guards against a cause that crashes a third endpoint.

    Harmless requests that had been given up at the endpoints would otherwise
    take a part of its shares.
    """
    quarantine = Quarantine()
    for name in ('e1', 'e2'):
        abandon(quarantine, name, 10, BYSTANDER)
        crash(quarantine, name, 11)
        quarantine.blame_abandoned(lifetime_of(name), 11)
    assert quarantine.is_quarantined(CRASHING, 12)


def test_request_that_another_entry_had_there_counts_as_present() -> None:
    """Guards against reports whose order changes the result."""
    present = CrashReport(CRASHING, lifetime_of('e1'), 0, had_just_begun=True)
    given_up = CrashReport(
        CRASHING, lifetime_of('e1'), 0, had_just_begun=True, is_abandoned=True
    )
    for reports in ((present, given_up), (given_up, present)):
        quarantine = Quarantine()
        quarantine.handle_reports(reports, 10)
        crash(quarantine, 'e1', 10, BYSTANDER)
        record = quarantine.book.records[BYSTANDER]
        assert quarantine.book.shares(record) == [0.5]


def test_many_given_up_requests_are_bounded() -> None:
    """Guards against memory that grows while all endpoints are silent."""
    attempts = AbandonedAttempts()
    names = [f'other-{number}' for number in range(2 * BOUND)]
    for other in names:
        for name in ('e1', other):
            attempt = AbandonedAttempt(
                content=CRASHING,
                endpoint=lifetime_of(name),
                until=100,
                had_just_begun=True,
            )
            attempts.record(attempt, 10)
    kept = [attempts.take(lifetime_of(one), 11) for one in ('e1', *names)]
    assert 0 < sum(map(len, kept)) <= BOUND
