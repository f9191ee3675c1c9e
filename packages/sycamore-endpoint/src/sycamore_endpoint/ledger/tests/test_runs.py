"""Rules of the run ledger, one by one."""

from sycamore_core.ids import Attempt
from sycamore_core.states import (
    CancelReason,
    Execution,
    Outcome,
    RefusalReason,
    RunState,
)

from ..answers import WINDOW_FRAMES, Answer
from ..runs import ANSWER_SECONDS, RESERVATION_SECONDS, RunLedger
from .builders import FIRST, SECOND, make_offer


def admitted(ledger: RunLedger, **changes: object):
    return ledger.admit(make_offer(**changes), FIRST, deadline=10, now=0)


def test_withdrawn_offer_that_arrives_late_does_not_start() -> None:
    """An offer is overtaken by its withdrawal.

    The caller was told that its deposit was not run. If the late offer were
    accepted, the family would be charged for a deposit it sends again.
    """
    ledger = RunLedger()
    report = ledger.withdraw('r', Attempt(1), FIRST, now=0)
    assert report.execution is Execution.NOT_RUN
    refused = ledger.refusal(make_offer(), FIRST, now=1)
    assert refused is not None
    assert refused.reason is RefusalReason.WITHDRAWN


def test_second_copy_of_a_declined_offer_is_declined() -> None:
    """An offer was sent twice, and memory came back in between.

    The entry ran the request elsewhere after the first answer. The second
    copy must not run it here as well.
    """
    ledger = RunLedger()
    ledger.decline(make_offer(), FIRST, RefusalReason.MEMORY_FULL, now=0)
    refused = ledger.refusal(make_offer(), FIRST, now=1)
    assert refused is not None
    assert refused.reason is RefusalReason.MEMORY_FULL
    assert ledger.refusal(make_offer(attempt=2), FIRST, now=1) is None


def test_run_that_began_is_not_reported_as_not_run() -> None:
    """A withdrawal meets a run that has begun.

    The caller would send the deposit again if it heard "not run".
    """
    ledger = RunLedger()
    record = admitted(ledger)
    assert ledger.start(record, now=1)
    report = ledger.withdraw('r', Attempt(1), FIRST, now=2)
    assert report.state is RunState.RUNNING
    assert report.execution is Execution.RAN


def test_withdrawal_before_the_start_bars_the_start() -> None:
    """The reply to an offer is lost and the entry withdraws it.

    The task of the run wakes after that and must not call the back end.
    """
    ledger = RunLedger()
    record = admitted(ledger)
    report = ledger.withdraw('r', Attempt(1), FIRST, now=1)
    assert report.execution is Execution.NOT_RUN
    assert not ledger.start(record, now=1)


def test_answer_moves_to_the_entry_that_attaches() -> None:
    """An entry dies in the middle of an answer.

    The guest comes back through another entry and reads on where the first
    stopped. The first wakes up and wants to cancel; that is ignored, or the
    guest would lose the answer a second time.
    """
    ledger = RunLedger()
    record = admitted(ledger)
    ledger.start(record, now=1)
    for _ in range(3):
        record.answer.add(b'x', tokens=1)
    record.answer.due()
    ledger.attach('r', SECOND, after=0)
    assert [frame.sequence for frame in record.answer.due()] == [1, 2]
    late = ledger.cancel('r', CancelReason.CALLER_GONE, FIRST, now=2)
    assert late is None
    assert ledger.acknowledge('r', 2, FIRST) is None
    assert record.in_progress


def test_failed_run_may_be_tried_again_only_if_idempotent() -> None:
    for idempotent in (True, False):
        ledger = RunLedger()
        record = admitted(ledger, idempotent=idempotent)
        ledger.start(record, now=1)
        ledger.end(record, Outcome.FAILED)
        again = make_offer(attempt=2, idempotent=idempotent)
        refused = ledger.refusal(again, FIRST, now=2)
        assert (refused is None) == idempotent


def test_reservation_runs_out() -> None:
    """A caller reserves an id and sends its request minutes later."""
    ledger = RunLedger()
    ledger.reserve('r', now=0)
    late = make_offer(bound=True)
    assert ledger.refusal(late, FIRST, now=1) is None
    refused = ledger.refusal(late, FIRST, now=RESERVATION_SECONDS)
    assert refused is not None
    assert refused.execution is Execution.NOT_RUN


def test_forgotten_reservation_is_not_called_not_run() -> None:
    """A bound id comes back after all memory of it is gone.

    It may have run, so nobody may be told that it did not.
    """
    refused = RunLedger().refusal(make_offer(bound=True), FIRST, now=0)
    assert refused is not None
    assert refused.execution is Execution.UNKNOWN


def test_ended_run_keeps_no_prompt_and_later_no_answer() -> None:
    """Deposits are remembered for an hour, so that none runs twice.

    If their prompts and answers stayed as long, the process would grow until
    the instance has no memory left. A late repetition is told that it ran.
    """
    ledger = RunLedger()
    record = admitted(ledger, payload=b'p' * 100)
    ledger.start(record, now=1)
    ledger.end(record, Outcome.COMPLETE)
    assert not record.offer.payload
    ledger.forget(now=10 + ANSWER_SECONDS)
    assert record.answer is None
    refused = ledger.refusal(make_offer(), FIRST, now=60)
    assert refused is not None
    assert refused.execution is Execution.RAN


def test_slow_caller_stops_the_reading() -> None:
    """A guest on a poor line takes the answer slowly.

    No more than a window is posted, and the engine is not read meanwhile.
    """
    answer = Answer('r', Attempt(1))
    for _ in range(WINDOW_FRAMES):
        assert answer.has_room
        answer.add(b'x', tokens=1)
    assert not answer.has_room
    assert len(answer.due()) == WINDOW_FRAMES
    answer.acknowledge(0)
    assert answer.has_room
