"""A model engine behind this endpoint process."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from sycamore_core.errors import BackendError
from sycamore_core.ids import BlockHash, RequestId
from sycamore_core.messages import Offer
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from ..errors import (
    BackendBusyError,
    BackendSilentError,
    NotStartedError,
    RunUnknownError,
    StreamCutError,
)
from .base import Backend, Piece, StartGate
from .calls import ControlClient
from .lines import read_lines
from .stream import CONNECT_SECONDS, SPARE_SECONDS, StreamCall

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503


class GenerateBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of ``POST /v1/generate``."""

    request_id: RequestId
    prompt_tokens: int
    max_output_tokens: int
    priority: int
    blocks: tuple[BlockHash, ...] = ()
    prompt: bytes = b''
    imports: str = ''


class ResumeBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/resume``."""

    request_id: RequestId
    after: int


class CancelBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/cancel``."""

    request_id: RequestId


class CancelAnswer(msgspec.Struct, frozen=True):
    """Answer to ``POST /v1/cancel``."""

    cancelled: bool


class Line(msgspec.Struct, frozen=True):
    """One line of an engine's stream."""

    sequence: int = -1
    text: str = ''
    tokens: int = 0
    done: bool = False
    outcome: str = ''


class EngineBackend(Backend):
    """Streams from an engine, and resumes a stream that broke."""

    def __init__(
        self,
        base_url: str,
        streams: CurlAsyncHTTPClient,
        control: ControlClient,
    ) -> None:
        self.base_url = base_url.rstrip('/')
        self.streams = streams
        self.control = control

    async def pieces(
        self,
        offer: Offer,
        gate: StartGate,
        seconds: float,
        imports: str = '',
    ) -> AsyncIterator[Piece]:
        """Generate; see `Backend.pieces`."""
        body = GenerateBody(
            request_id=offer.request_id,
            prompt_tokens=offer.prompt_tokens,
            max_output_tokens=offer.max_output_tokens,
            priority=offer.priority,
            blocks=offer.prefix_blocks,
            prompt=offer.payload,
            imports=imports,
        )
        call = self._call('/v1/generate', body, gate, seconds)
        position = Position()
        try:
            while True:
                async for piece in self._follow(call, position):
                    yield piece
                if position.done:
                    return
                await asyncio.sleep(RESUME_PAUSE_SECONDS)
                call = self._resume(offer.request_id, position, seconds)
        finally:
            call.abort()

    async def cancel(self, request_id: RequestId) -> bool:
        """Give a run up; True once the engine holds nothing for it."""
        body = CancelBody(request_id)
        try:
            await self.control.send('/v1/cancel', body, CancelAnswer)
        except BackendError:
            return False
        # False in the answer means that the engine did not know it.
        return True

    def _resume(
        self,
        request_id: RequestId,
        position: 'Position',
        seconds: float,
    ) -> StreamCall:
        body = ResumeBody(request_id, position.last)
        return self._call('/v1/resume', body, _always, seconds)

    def _call(
        self,
        path: str,
        body: Any,
        gate: StartGate,
        seconds: float,
    ) -> StreamCall:
        request = HTTPRequest(
            f'{self.base_url}{path}',
            method='POST',
            body=msgspec.json.encode(body),
            connect_timeout=CONNECT_SECONDS,
            request_timeout=seconds + SPARE_SECONDS,
            follow_redirects=False,
        )
        call = StreamCall(self.streams, request, gate)
        call.start()
        return call

    async def _follow(
        self,
        call: StreamCall,
        position: 'Position',
    ) -> AsyncIterator[Piece]:
        try:
            async for text in read_lines(call):
                _check_status(call)
                line = _parsed(text)
                if position.take(line):
                    yield Piece(line.text.encode(), line.tokens)
            _check_status(call)
        except NotStartedError as error:
            if not position.begun:
                raise
            position.broke(error)
        except (StreamCutError, BackendSilentError) as error:
            position.begun = True
            position.broke(error)
        else:
            position.ended()


class Position:
    """How far a stream has come, over all connections that carried it.

    Attributes
    ----------
    last
        Number of the last line taken; -1 at first.
    begun
        Whether the engine may have begun.
    fruitless
        Connections in a row that gave no new line.
    """

    def __init__(self) -> None:
        self.last = -1
        self.done = False
        self.begun = False
        self.fruitless = 0

    def take(self, line: Line) -> bool:
        """Return whether a line is the next piece of the answer."""
        if line.done:
            if line.outcome != 'complete':
                raise BackendError(f'engine ended with {line.outcome}')
            self.done = True
            return False
        if line.sequence <= self.last:
            return False
        if line.sequence > self.last + 1:
            raise StreamCutError('a line is missing')
        self.last = line.sequence
        self.begun = True
        self.fruitless = 0
        return True

    def ended(self) -> None:
        """Note that a connection ended; without the last line it was cut."""
        if not self.done:
            self.begun = True
            self.broke(StreamCutError('ended without its last line'))

    def broke(self, error: BackendError) -> None:
        """Note a broken connection; give up after a few without progress.

        Raises
        ------
        BackendSilentError
            If the engine does not go on with the stream.
        """
        self.fruitless += 1
        if self.fruitless > FRUITLESS_RESUMES:
            raise BackendSilentError('stream does not go on') from error


#: Connections without any new line after which a run is given up. One may
#: break by chance, a second one by a restart of what lies between; an engine
#: that does not go on after three has lost the run.
FRUITLESS_RESUMES = 3
#: Time before a broken stream is asked for again, in seconds, so that an
#: engine in trouble is not asked in a loop.
RESUME_PAUSE_SECONDS = 0.1


def _always() -> bool:
    return True


def _parsed(text: bytes) -> Line:
    try:
        return msgspec.json.decode(text, type=Line)
    except msgspec.DecodeError as error:
        raise BackendError(f'engine line: {error}') from error


def _check_status(call: StreamCall) -> None:
    if call.status == _OK:
        return
    if call.status == _UNAVAILABLE:
        raise BackendBusyError('engine is out of memory')
    if call.status == _NOT_FOUND:
        raise RunUnknownError('engine does not know the run')
    raise BackendError(f'engine answered {call.status}')
