"""Tests of the result that a caller receives when attempts fail."""

import asyncio
import itertools
import zlib
from collections.abc import Iterable

from sycamore_core.ids import Attempt, EndpointId, Sequence
from sycamore_core.messages import (
    Accepted,
    Attach,
    Cancel,
    Close,
    Declined,
    Frame,
    Message,
    Offer,
    RunReport,
    Withdraw,
)
from sycamore_core.states import (
    Execution,
    Outcome,
    RefusalReason,
    RunState,
)

from .. import EndpointLost, EntryContext, Exchange, ExchangeEvent
from .builders import (
    REQUEST,
    RecordingSink,
    add_endpoint,
    dispatch_until,
    make_context,
    make_offer,
    make_request,
)

Events = Iterable[ExchangeEvent]


def serve_complete_answer(message: Message) -> Events:
    """Act as an endpoint process that runs each offered request."""
    if not isinstance(message, Offer):
        return ()
    close = Close(Outcome.COMPLETE, 1, zlib.crc32(b'hello'), 1)
    return (
        Accepted(REQUEST, message.attempt),
        Frame(REQUEST, message.attempt, Sequence(0), b'hello', 1),
        Frame(REQUEST, message.attempt, Sequence(1), close=close),
    )


def decline(message: Message) -> Events:
    if isinstance(message, Offer):
        reason = RefusalReason.MEMORY_FULL
        return (Declined(REQUEST, message.attempt, reason, 0.01),)
    return ()


def lose_reply_then_bar(message: Message) -> Events:
    if isinstance(message, Withdraw):
        return (
            RunReport(
                REQUEST,
                message.attempt,
                RunState.WITHDRAWN,
                Execution.NOT_RUN,
            ),
        )
    return ()


def restart_after_offer(message: Message) -> Events:
    if isinstance(message, (Offer, Withdraw)):
        return (EndpointLost(EndpointId('a'), restarted=True),)
    return ()


def die_after_first_frame(message: Message) -> Events:
    if isinstance(message, Offer):
        accepted, first, _ = serve_complete_answer(message)
        lost = EndpointLost(EndpointId('a'), restarted=True)
        return (accepted, first, lost)
    return ()


def run_exchange(
    context: EntryContext,
    *,
    idempotent: bool,
    seconds: float = 20,
    bound: bool = False,
) -> RecordingSink:
    sink = RecordingSink()
    request = make_request(
        idempotent=idempotent,
        seconds=seconds,
        bound=bound,
    )

    async def main() -> None:
        task = asyncio.create_task(Exchange(context, request, sink).run())
        await dispatch_until(context, task)
        await task

    asyncio.run(main())
    return sink


def test_answer_reaches_its_caller() -> None:
    context = make_context()
    add_endpoint(context, 'a', serve_complete_answer)
    sink = run_exchange(context, idempotent=True)
    assert [frame.payload for frame in sink.pieces] == [b'hello']
    assert sink.closed.outcome == Outcome.COMPLETE
    assert not context.registry.mailboxes


def test_declined_request_is_offered_again() -> None:
    context = make_context()
    add_endpoint(context, 'a', decline)
    add_endpoint(context, 'b', serve_complete_answer)
    sink = run_exchange(context, idempotent=False)
    assert sink.closed is not None


def test_lost_reply_is_withdrawn_before_another_attempt() -> None:
    """The reply to an offer is lost in transit.

    A non-idempotent request must not run twice, so the entry withdraws it
    from the first endpoint before it offers the request elsewhere.
    """
    context = make_context()
    first = add_endpoint(context, 'a', lose_reply_then_bar)
    second = add_endpoint(context, 'b', lose_reply_then_bar)
    third = add_endpoint(context, 'c', serve_complete_answer)
    sink = run_exchange(context, idempotent=False)
    assert sink.closed is not None
    for silent in (first, second):
        offers = len(silent.posted_of_type(Offer))
        assert len(silent.posted_of_type(Withdraw)) == offers
    assert len(third.posted_of_type(Offer)) == 1


def test_reserved_id_is_offered_again_and_never_barred() -> None:
    """The reply to an offer under a reserved id is lost.

    The id can run at that endpoint only, and a withdrawal would force the
    caller to reserve again. A repeated offer receives the same reply.
    """
    context = make_context()
    offers_seen = itertools.count()

    def lose_first_reply(message: Message) -> Events:
        if isinstance(message, Offer) and not next(offers_seen):
            return ()
        return serve_complete_answer(message)

    peer = add_endpoint(context, 'a', lose_first_reply)
    sink = run_exchange(context, idempotent=False, bound=True)
    assert sink.closed is not None
    assert not peer.posted_of_type(Withdraw)


def test_unknown_state_of_a_key_is_separate_from_this_call() -> None:
    """An endpoint has restarted since a caller created its key.

    An earlier call may have run the request, but this call did not. A caller
    without an earlier call can use a reserved id instead.
    """
    context = make_context()

    def decline_key_in_doubt(message: Message) -> Events:
        if not isinstance(message, Offer):
            return ()
        return (
            Declined(
                REQUEST,
                message.attempt,
                RefusalReason.KEY_IN_DOUBT,
                execution=Execution.UNKNOWN,
            ),
        )

    add_endpoint(context, 'a', decline_key_in_doubt)
    sink = run_exchange(context, idempotent=False, bound=True)
    assert sink.refused.execution == Execution.UNKNOWN
    assert sink.refused.this_call == Execution.NOT_RUN


def test_restart_leaves_the_outcome_unknown() -> None:
    """The endpoint process is killed between an offer and its reply.

    The caller must receive the outcome "unknown", and the request must not be
    offered to another endpoint.
    """
    context = make_context()
    add_endpoint(context, 'a', restart_after_offer)
    sink = run_exchange(context, idempotent=False)
    assert sink.refused.reason == RefusalReason.OUTCOME_UNKNOWN
    assert sink.refused.execution == Execution.UNKNOWN


def test_idempotent_request_survives_a_restart() -> None:
    """The endpoint process is killed before the first token.

    The caller must still get an answer, from another attempt.
    """
    context = make_context()
    offers_seen = itertools.count()

    def restart_once(message: Message) -> Events:
        if isinstance(message, Offer) and not next(offers_seen):
            return restart_after_offer(message)
        return serve_complete_answer(message)

    add_endpoint(context, 'a', restart_once)
    sink = run_exchange(context, idempotent=True)
    assert [frame.payload for frame in sink.pieces] == [b'hello']


def test_answer_that_began_is_not_continued_by_another_run() -> None:
    """The endpoint process is killed in the middle of an answer.

    A second run would produce another text, so the caller would receive parts
    of two different answers.
    """
    context = make_context()
    add_endpoint(context, 'a', die_after_first_frame)
    add_endpoint(context, 'b', die_after_first_frame)
    sink = run_exchange(context, idempotent=True)
    assert len(sink.pieces) == 1
    assert sink.closed is None
    assert sink.refused.reason == RefusalReason.OUTCOME_UNKNOWN


def test_missing_frames_are_requested_again() -> None:
    """A packet with the middle of an answer is lost.

    The entry holds back the later frames until the missing one has arrived.
    """
    context = make_context()
    complete = tuple(serve_complete_answer(make_offer(Attempt(1))))

    def lose_first_frame(message: Message) -> Events:
        if isinstance(message, Offer):
            return (complete[0], complete[2])
        if isinstance(message, Attach):
            return complete[message.after + 2 :]
        return ()

    peer = add_endpoint(context, 'a', lose_first_frame)
    sink = run_exchange(context, idempotent=True)
    assert [frame.payload for frame in sink.pieces] == [b'hello']
    assert peer.posted_of_type(Attach)


def test_superseded_connection_is_aborted() -> None:
    """A caller sends its key again while the first call still runs.

    The answer goes to the second connection. The first connection must not
    end like a complete, empty answer.
    """
    context = make_context()
    add_endpoint(context, 'a', lambda message: ())
    first, second = RecordingSink(), RecordingSink()
    request = make_request(idempotent=False, seconds=0.3)

    async def main() -> None:
        older = asyncio.create_task(Exchange(context, request, first).run())
        await asyncio.sleep(0)
        await Exchange(context, request, second).run()
        await older

    asyncio.run(main())
    assert first.is_aborted
    assert first.refused is None
    assert second.refused is not None


def test_time_limit_cancels_the_run() -> None:
    """An endpoint accepts a request and then sends nothing.

    The caller gets a refusal at the time limit, and the entry cancels the run
    to free its memory.
    """
    context = make_context()

    def accept_only(message: Message) -> Events:
        if isinstance(message, Offer):
            return (Accepted(REQUEST, message.attempt),)
        return ()

    peer = add_endpoint(context, 'a', accept_only)
    sink = run_exchange(context, idempotent=True, seconds=0.3)
    assert sink.refused.reason == RefusalReason.DEADLINE_PASSED
    assert sink.refused.execution == Execution.RAN
    assert peer.posted_of_type(Cancel)


def test_request_that_expires_in_the_queue_was_not_run() -> None:
    context = make_context()
    sink = run_exchange(context, idempotent=False, seconds=0.2)
    assert sink.refused.reason == RefusalReason.DEADLINE_PASSED
    assert sink.refused.execution == Execution.NOT_RUN
