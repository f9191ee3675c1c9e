"""Tests of callers that reconnect for their answer."""

import asyncio
import zlib
from collections.abc import Iterable

from sycamore_core.identity import IdKind, RequestClaims
from sycamore_core.ids import (
    Attempt,
    EndpointId,
    Incarnation,
    PeerId,
    Sequence,
    SettingsVersion,
    ZoneId,
)
from sycamore_core.messages import Attach, Close, Frame, Message, RunReport
from sycamore_core.settings import EndpointSettings, FleetSettings
from sycamore_core.states import (
    Execution,
    Outcome,
    RefusalReason,
    RunState,
)

from .. import AttachExchange, EntryContext, ExchangeEvent
from .builders import (
    REQUEST,
    SERVICE,
    WORKSPACE,
    RecordingSink,
    add_endpoint,
    make_context,
)

Events = Iterable[ExchangeEvent]
CLAIMS = RequestClaims(
    kind=IdKind.ENTRY,
    workspace=WORKSPACE,
    service=SERVICE,
    minter=PeerId('entry'),
    incarnation=Incarnation(1),
    issued=0,
    nonce='n',
)


def serve_rest_of_answer(message: Message) -> Events:
    """Send one frame for each request for the answer."""
    if not isinstance(message, Attach):
        return ()
    close = Close(Outcome.COMPLETE, 2, zlib.crc32(b'onetwo'), 2)
    frames = (
        Frame(REQUEST, Attempt(1), Sequence(0), b'one', 1),
        Frame(REQUEST, Attempt(1), Sequence(1), b'two', 1),
        Frame(REQUEST, Attempt(1), Sequence(2), close=close),
    )
    report = RunReport(
        REQUEST,
        Attempt(1),
        RunState.FINISHED,
        Execution.RAN,
    )
    following = message.after + 1
    return (report, *frames[following : following + 1])


def report_never_seen(message: Message) -> Events:
    if not isinstance(message, Attach):
        return ()
    return (
        RunReport(
            REQUEST,
            Attempt(0),
            RunState.NEVER_SEEN,
            Execution.UNKNOWN,
        ),
    )


def attach_caller(context: EntryContext, after: int = -1) -> RecordingSink:
    fleet = FleetSettings(
        version=SettingsVersion(1),
        name='test',
        endpoints={
            name: EndpointSettings(
                endpoint=EndpointId(name),
                service=SERVICE,
                zone=ZoneId('a'),
                address=name,
            )
            for name in context.links.links
        },
    )
    sink = RecordingSink()
    exchange = AttachExchange(context, REQUEST, CLAIMS, after)
    asyncio.run(exchange.run(fleet, sink))
    return sink


def test_rest_arrives_although_other_endpoints_never_saw_it() -> None:
    """An entry fails during an answer, and the caller asks another entry.

    That entry queries all endpoints of the service. Reports of endpoints that
    do not know the request, also late ones, must not end the answer.
    """
    context = make_context()
    add_endpoint(context, 'a', serve_rest_of_answer)
    add_endpoint(context, 'b', report_never_seen)
    add_endpoint(context, 'c', report_never_seen)
    sink = attach_caller(context, after=0)
    assert [frame.payload for frame in sink.pieces] == [b'two']
    assert sink.closed is not None


def test_unknown_request_is_not_reported_as_not_run() -> None:
    """The endpoint that ran the request has been replaced.

    The present endpoints cannot know whether the request ran.
    """
    context = make_context()
    add_endpoint(context, 'a', report_never_seen)
    sink = attach_caller(context)
    assert sink.refused.reason == RefusalReason.UNKNOWN_REQUEST
    assert sink.refused.execution == Execution.UNKNOWN
