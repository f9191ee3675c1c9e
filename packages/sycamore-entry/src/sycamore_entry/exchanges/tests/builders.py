"""Builders for tests of exchanges: a context without a network."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import cast

import msgspec
from sycamore_core.clock import SystemClock
from sycamore_core.decisions import EndpointView, NaiveScheduler, RequestView
from sycamore_core.ids import (
    Attempt,
    EndpointId,
    Incarnation,
    RequestId,
    ServiceId,
    WorkspaceId,
    ZoneId,
)
from sycamore_core.messages import (
    Close,
    Frame,
    LoadReport,
    Message,
    Offer,
    RunReport,
)
from sycamore_core.states import EndpointPhase, PromptBand
from sycamore_core.telemetry import Attainment, Log, Metrics
from sycamore_core.transport import Peer

from ...answers import AnswerSink
from ...errors import RefusedError
from ...fleet import EndpointLink, EndpointLinks
from ...records import RecordRegistry
from .. import CallerRequest, EntryContext, ExchangeEvent, ExchangeRegistry

REQUEST = RequestId('request')
SERVICE = ServiceId('chat')
WORKSPACE = WorkspaceId('school')
ReplyFunction = Callable[[Message], Iterable[ExchangeEvent]]


class ScriptedPeer:
    """Delivers the replies of a function to each message, immediately."""

    def __init__(
        self,
        endpoint: EndpointId,
        registry: ExchangeRegistry,
        reply_to: ReplyFunction,
    ) -> None:
        self.endpoint = endpoint
        self.registry = registry
        self.reply_to = reply_to
        self.posted: list[Message] = []

    def post(self, message: Message, *, urgent: bool = True) -> bool:
        self.posted.append(message)
        for event in self.reply_to(message):
            self.registry.deliver(REQUEST, self._located(event))
        return True

    def posted_of_type(self, kind: type) -> list[Message]:
        return [message for message in self.posted if isinstance(message, kind)]

    def _located(self, event: ExchangeEvent) -> ExchangeEvent:
        if isinstance(event, RunReport):
            return msgspec.structs.replace(event, endpoint=self.endpoint)
        return event


def make_offer(attempt: Attempt) -> Offer:
    return Offer(
        request_id=REQUEST,
        attempt=attempt,
        incarnation=Incarnation(1),
        workspace=WORKSPACE,
        service=SERVICE,
        budget=1,
        prompt_tokens=1,
        max_output_tokens=1,
        idempotent=True,
        payload=b'',
    )


class RecordingSink(AnswerSink):
    """Records what the caller receives."""

    def __init__(self) -> None:
        self.pieces: list[Frame] = []
        self.closed: Close | None = None
        self.is_aborted = False
        self.refused: RefusedError | None = None

    async def start(self, request_id: RequestId) -> None:
        """Record nothing."""

    async def write_frames(self, frames: Sequence[Frame]) -> None:
        self.pieces.extend(frames)

    async def close(self, close: Close) -> None:
        self.closed = close

    def abort(self) -> None:
        self.is_aborted = True

    async def refuse(
        self,
        request_id: RequestId,
        refused: RefusedError,
    ) -> None:
        self.refused = refused


class StaticLinks(EndpointLinks):
    """Links without heartbeats and without silence detection."""

    def __init__(self) -> None:
        self.links = {}
        self._fleet = None


def make_request(
    *,
    idempotent: bool,
    seconds: float = 20,
    bound: bool = False,
) -> CallerRequest:
    now = SystemClock().monotonic()
    view = RequestView(
        request_id=REQUEST,
        workspace=WORKSPACE,
        service=SERVICE,
        band=PromptBand.SHORT,
        prompt_tokens=10,
        max_output_tokens=10,
        arrival=now,
        deadline=now + seconds,
        idempotent=idempotent,
    )
    return CallerRequest(
        view=view,
        payload=b'"text"',
        bound_incarnation=Incarnation(1 if bound else 0),
    )


def make_context() -> EntryContext:
    return EntryContext(
        clock=SystemClock(),
        scheduler=NaiveScheduler(),
        links=StaticLinks(),
        registry=ExchangeRegistry(),
        records=RecordRegistry(),
        attainment=Attainment(),
        metrics=Metrics('test'),
        log=Log('test'),
    )


def add_endpoint(
    context: EntryContext,
    name: str,
    reply_to: ReplyFunction,
) -> ScriptedPeer:
    endpoint = EndpointId(name)
    peer = ScriptedPeer(endpoint, context.registry, reply_to)
    context.links.links[endpoint] = EndpointLink(
        endpoint=endpoint,
        address=name,
        peer=cast(Peer, peer),
        incarnation=Incarnation(1),
        report=LoadReport(
            endpoint=endpoint,
            service=SERVICE,
            zone=ZoneId('a'),
            incarnation=Incarnation(1),
            phase=EndpointPhase.LIVE,
            settings_version=1,
        ),
    )
    view = EndpointView(endpoint=endpoint, service=SERVICE, zone=ZoneId('a'))
    context.scheduler.update_endpoint(view, 0)
    return peer


async def dispatch_until(context: EntryContext, task: asyncio.Task) -> None:
    """Dispatch until the task of an exchange is done."""
    async with asyncio.timeout(20):
        while not task.done():
            for decision in context.scheduler.dispatch(context.now()):
                context.registry.deliver(decision.request_id, decision)
            await asyncio.sleep(0.01)
