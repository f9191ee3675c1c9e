"""Tests of callers that come back for their answer."""

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


def has_answer(message: Message) -> Events:
    """Send one frame each time that the answer is asked for."""
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


def never_saw_it(message: Message) -> Events:
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


def come_back(context: EntryContext, after: int = -1) -> RecordingSink:
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


def test_rest_comes_although_other_endpoints_never_saw_it() -> None:
    """An entry dies in the middle of an answer, its caller asks another one.

    That entry asks every endpoint of the service. Those that know nothing
    answer as well, some of them after the one that has the answer; the
    caller must still get the rest of it.
    """
    context = make_context()
    add_endpoint(context, 'a', has_answer)
    add_endpoint(context, 'b', never_saw_it)
    add_endpoint(context, 'c', never_saw_it)
    sink = come_back(context, after=0)
    assert [frame.payload for frame in sink.pieces] == [b'two']
    assert sink.closed is not None


def test_request_that_nobody_knows_is_not_called_not_run() -> None:
    """The endpoint that ran the request was replaced since.

    Those that are there now cannot tell whether it ran.
    """
    context = make_context()
    add_endpoint(context, 'a', never_saw_it)
    sink = come_back(context)
    assert sink.refused.reason == RefusalReason.UNKNOWN_REQUEST
    assert sink.refused.execution == Execution.UNKNOWN
