"""Tests of the individual rules of the run ledger."""

from sycamore_core.ids import Attempt
from sycamore_core.states import (
    CancelReason,
    Execution,
    Outcome,
    RefusalReason,
    RunState,
)

from ..answers import WINDOW_FRAMES, Answer
from ..runs import ANSWER_RETENTION_SECONDS, RESERVATION_TTL_SECONDS, RunLedger
from .builders import FIRST, SECOND, make_offer


def admit_offer(ledger: RunLedger, **changes: object):
    return ledger.admit(make_offer(**changes), FIRST, deadline=10, now=0)


def test_withdrawn_offer_that_arrives_late_does_not_start() -> None:
    """Guard against running a late offer that was reported as not run.

    The withdrawal overtook the offer, and the caller resends its deposit. If
    the late offer were accepted too, the deposit would be charged twice.
    """
    ledger = RunLedger()
    report = ledger.withdraw('r', Attempt(1), FIRST, now=0)
    assert report.execution is Execution.NOT_RUN
    refused = ledger.refusal(make_offer(), FIRST, now=1)
    assert refused is not None
    assert refused.reason is RefusalReason.WITHDRAWN


def test_second_copy_of_a_declined_offer_is_declined() -> None:
    """Guard against running a duplicate of a declined offer.

    Memory was freed between the two copies. After the first answer the entry
    ran the request elsewhere, so the second copy must not run it here.
    """
    ledger = RunLedger()
    ledger.decline(make_offer(), FIRST, RefusalReason.MEMORY_FULL, now=0)
    refused = ledger.refusal(make_offer(), FIRST, now=1)
    assert refused is not None
    assert refused.reason is RefusalReason.MEMORY_FULL
    assert ledger.refusal(make_offer(attempt=2), FIRST, now=1) is None


def test_run_that_began_is_not_reported_as_not_run() -> None:
    """Guard against reporting a started run as not run on its withdrawal.

    The caller would resend the deposit.
    """
    ledger = RunLedger()
    record = admit_offer(ledger)
    assert ledger.try_start(record, now=1)
    report = ledger.withdraw('r', Attempt(1), FIRST, now=2)
    assert report.state is RunState.RUNNING
    assert report.execution is Execution.RAN


def test_withdrawn_run_does_not_start() -> None:
    """Guard against starting a run after its withdrawal.

    The reply to the offer is lost and the entry withdraws it. The task of the
    run resumes after that and must not call the backend.
    """
    ledger = RunLedger()
    record = admit_offer(ledger)
    report = ledger.withdraw('r', Attempt(1), FIRST, now=1)
    assert report.execution is Execution.NOT_RUN
    assert not ledger.try_start(record, now=1)


def test_answer_moves_to_the_entry_that_attaches() -> None:
    """Guard against a former owner cancelling a run that moved.

    An entry fails during an answer and the caller continues through another
    entry. When the first entry resumes and cancels, the caller must not lose
    the answer a second time.
    """
    ledger = RunLedger()
    record = admit_offer(ledger)
    ledger.try_start(record, now=1)
    for _ in range(3):
        record.answer.add(b'x', tokens=1)
    record.answer.next_frames()
    ledger.attach('r', SECOND, after=0)
    assert [frame.sequence for frame in record.answer.next_frames()] == [1, 2]
    late = ledger.cancel('r', CancelReason.CALLER_GONE, FIRST, now=2)
    assert late is None
    assert ledger.acknowledge('r', 2, FIRST) is None
    assert record.in_progress


def test_failed_run_may_be_retried_only_if_idempotent() -> None:
    for idempotent in (True, False):
        ledger = RunLedger()
        record = admit_offer(ledger, idempotent=idempotent)
        ledger.try_start(record, now=1)
        ledger.end(record, Outcome.FAILED)
        again = make_offer(attempt=2, idempotent=idempotent)
        refused = ledger.refusal(again, FIRST, now=2)
        assert (refused is None) == idempotent


def test_reservation_expires() -> None:
    """Guard against running a request after its reservation expired."""
    ledger = RunLedger()
    ledger.reserve('r', now=0)
    late = make_offer(bound=True)
    assert ledger.refusal(late, FIRST, now=1) is None
    refused = ledger.refusal(late, FIRST, now=RESERVATION_TTL_SECONDS)
    assert refused is not None
    assert refused.execution is Execution.NOT_RUN


def test_dropped_reservation_is_not_reported_as_not_run() -> None:
    """Guard against reporting an unknown bound id as not run.

    The ledger has dropped the id, and its request may have run.
    """
    refused = RunLedger().refusal(make_offer(bound=True), FIRST, now=0)
    assert refused is not None
    assert refused.execution is Execution.UNKNOWN


def test_ended_run_keeps_no_prompt_and_later_no_answer() -> None:
    """Guard against keeping prompts and answers as long as their records.

    Records of deposits are kept for an hour, so that none runs twice. With
    their prompts and answers the process would exhaust the memory of the
    instance. A late repetition is still reported as run.
    """
    ledger = RunLedger()
    record = admit_offer(ledger, payload=b'p' * 100)
    ledger.try_start(record, now=1)
    ledger.end(record, Outcome.COMPLETE)
    assert not record.offer.payload
    ledger.prune(now=10 + ANSWER_RETENTION_SECONDS)
    assert record.answer is None
    refused = ledger.refusal(make_offer(), FIRST, now=60)
    assert refused is not None
    assert refused.execution is Execution.RAN


def test_slow_caller_pauses_reading_from_the_engine() -> None:
    """Guard against unbounded buffering for a caller on a slow connection.

    At most one window of frames is posted, and no more is read meanwhile.
    """
    answer = Answer('r', Attempt(1))
    for _ in range(WINDOW_FRAMES):
        assert answer.has_capacity
        answer.add(b'x', tokens=1)
    assert not answer.has_capacity
    assert len(answer.next_frames()) == WINDOW_FRAMES
    answer.acknowledge(0)
    assert answer.has_capacity
