"""HTTP server of the plain service: any method, any path."""

import asyncio

import msgspec
from tornado import web

from ..web import JsonHandler, ReadyHandler
from .behaviour import Behaviour
from .journal import CallJournal, CallRecord

_SERVER_ERROR = 500


class PlainBody(msgspec.Struct):
    """The part of a body that the service looks at."""

    business_id: str = ''


class PlainEcho(msgspec.Struct, frozen=True):
    """Answer to a call: whose call it was and how often it has come."""

    request_id: str
    business_id: str
    times: int
    method: str
    path: str


class PlainState:
    """The journal of the service and how it behaves."""

    def __init__(self, delay_seconds: float = 0, journal: str = '') -> None:
        self.journal = CallJournal(journal)
        self.behaviour = Behaviour(delay_seconds=delay_seconds)


class PlainHandler(JsonHandler):
    """Base of the handlers of the service."""

    def initialize(self, state: PlainState) -> None:
        """Take the state that all handlers share."""
        self.state = state


class CallHandler(PlainHandler):
    """Takes a call, records it, then answers."""

    async def get(self) -> None:
        """Record and answer."""
        await self.take()

    async def post(self) -> None:
        """Record and answer."""
        await self.take()

    async def put(self) -> None:
        """Record and answer."""
        await self.take()

    async def patch(self) -> None:
        """Record and answer."""
        await self.take()

    async def delete(self) -> None:
        """Record and answer."""
        await self.take()

    async def take(self) -> None:
        """Record the call before anything else, then answer."""
        call = self.record()
        times = self.state.journal.add(call)
        await asyncio.sleep(self.state.behaviour.delay_seconds)
        if self.state.behaviour.failures > 0:
            self.state.behaviour.failures -= 1
            self.send('asked to fail', _SERVER_ERROR)
            return
        self.send(
            PlainEcho(
                request_id=call.request_id,
                business_id=call.business_id,
                times=times,
                method=call.method,
                path=call.path,
            ),
        )

    def record(self) -> CallRecord:
        """Return the record of the call that is being handled."""
        return CallRecord(
            method=self.request.method or '',
            path=self.request.uri or '',
            request_id=self.request.headers.get('Request-Id', ''),
            business_id=_business_id(self.request.body),
            body_bytes=len(self.request.body),
        )


class CallsHandler(PlainHandler):
    """Lists the calls for a test."""

    def get(self) -> None:
        """Answer all records, the oldest first."""
        self.send(self.state.journal.calls)


class BehaviourHandler(PlainHandler):
    """Sets how the service behaves."""

    def post(self) -> None:
        """Take a whole `Behaviour`."""
        self.state.behaviour = self.read(Behaviour)
        self.send(self.state.behaviour)


def make_application(state: PlainState) -> web.Application:
    """Return the application of the plain service."""
    shared = {'state': state}
    return web.Application(
        [
            ('/test/ready', ReadyHandler),
            ('/test/calls', CallsHandler, shared),
            ('/test/behaviour', BehaviourHandler, shared),
            ('/.*', CallHandler, shared),
        ],
    )


def _business_id(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=PlainBody).business_id
    except msgspec.DecodeError:
        return ''
