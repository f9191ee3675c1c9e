"""Client of an inference engine."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from sycamore_core.error_translation import translating_errors
from sycamore_core.errors import BackendError
from sycamore_core.ids import BlockHash, RequestId
from sycamore_core.messages import Offer
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from ..errors import (
    BackendBusyError,
    BackendUnreachableError,
    NotStartedError,
    StreamInterruptedError,
    UnknownRunError,
)
from .base import AnswerChunk, Backend, StartGate
from .calls import ControlClient
from .lines import read_lines
from .stream import CONNECT_SECONDS, TIMEOUT_MARGIN_SECONDS, StreamCall

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


class StreamLine(msgspec.Struct, frozen=True):
    """One line of an engine's stream."""

    sequence: int = -1
    text: str = ''
    tokens: int = 0
    done: bool = False
    outcome: str = ''


class EngineBackend(Backend):
    """Streams answers from an engine, and resumes an interrupted stream."""

    def __init__(
        self,
        base_url: str,
        streams: CurlAsyncHTTPClient,
        control: ControlClient,
    ) -> None:
        self.base_url = base_url.rstrip('/')
        self.streams = streams
        self.control = control

    async def stream_answer(
        self,
        offer: Offer,
        gate: StartGate,
        seconds: float,
        imports: str = '',
    ) -> AsyncIterator[AnswerChunk]:
        """Generate; see `Backend.stream_answer`."""
        body = GenerateBody(
            request_id=offer.request_id,
            prompt_tokens=offer.prompt_tokens,
            max_output_tokens=offer.max_output_tokens,
            priority=offer.priority,
            blocks=offer.prefix_blocks,
            prompt=offer.payload,
            imports=imports,
        )
        call = self._start_call('/v1/generate', body, gate, seconds)
        position = StreamPosition()
        try:
            while True:
                async for chunk in self._read_answer(call, position):
                    yield chunk
                if position.done:
                    return
                await asyncio.sleep(RESUME_DELAY_SECONDS)
                call = self._call_resume(offer.request_id, position, seconds)
        finally:
            call.abort()

    async def cancel(self, request_id: RequestId) -> bool:
        """Cancel a run; True if the engine holds no memory for it."""
        body = CancelBody(request_id)
        try:
            await self.control.send('/v1/cancel', body, CancelAnswer)
        except BackendError:
            return False
        # `cancelled` is False if the engine did not know the run.
        return True

    def _call_resume(
        self,
        request_id: RequestId,
        position: 'StreamPosition',
        seconds: float,
    ) -> StreamCall:
        body = ResumeBody(request_id, position.last_sequence)
        return self._start_call('/v1/resume', body, _may_always_start, seconds)

    def _start_call(
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
            request_timeout=seconds + TIMEOUT_MARGIN_SECONDS,
            follow_redirects=False,
        )
        call = StreamCall(self.streams, request, gate)
        call.start()
        return call

    async def _read_answer(
        self,
        call: StreamCall,
        position: 'StreamPosition',
    ) -> AsyncIterator[AnswerChunk]:
        try:
            async for text in read_lines(call):
                _check_status(call)
                line = _parse_line(text)
                if position.accept_line(line):
                    yield AnswerChunk(line.text.encode(), line.tokens)
            _check_status(call)
        except NotStartedError as error:
            if not position.may_have_started:
                raise
            position.record_failure(error)
        except (StreamInterruptedError, BackendUnreachableError) as error:
            position.may_have_started = True
            position.record_failure(error)
        else:
            position.record_end()


class StreamPosition:
    """Progress of a stream over all connections that carried it.

    Attributes
    ----------
    last_sequence
        Number of the last accepted line; -1 before the first line.
    may_have_started
        Whether the engine may have started the run.
    stalled_connections
        Consecutive connections that delivered no new line.
    """

    def __init__(self) -> None:
        self.last_sequence = -1
        self.done = False
        self.may_have_started = False
        self.stalled_connections = 0

    def accept_line(self, line: StreamLine) -> bool:
        """Record a line; return whether it is the next part of the answer."""
        if line.done:
            if line.outcome != 'complete':
                raise BackendError(
                    f'engine ended the stream with outcome {line.outcome}'
                )
            self.done = True
            return False
        if line.sequence <= self.last_sequence:
            return False
        if line.sequence > self.last_sequence + 1:
            raise StreamInterruptedError('stream has a gap between two lines')
        self.last_sequence = line.sequence
        self.may_have_started = True
        self.stalled_connections = 0
        return True

    def record_end(self) -> None:
        """Record the end of a connection; a failure before the last line."""
        if not self.done:
            self.may_have_started = True
            self.record_failure(
                StreamInterruptedError('stream ended before its last line')
            )

    def record_failure(self, error: BackendError) -> None:
        """Record an interrupted connection; fail after too many of them.

        Raises
        ------
        BackendUnreachableError
            If the engine does not continue the stream.
        """
        self.stalled_connections += 1
        if self.stalled_connections > MAX_STALLED_CONNECTIONS:
            raise BackendUnreachableError(
                'engine does not continue the stream'
            ) from error


#: Consecutive connections without a new line that are tolerated before the run
#: fails. One may break by chance and a second one by the restart of a component
#: in between. An engine that does not continue after three has lost the run.
MAX_STALLED_CONNECTIONS = 3
#: Delay before an interrupted stream is resumed, in seconds. It avoids a tight
#: loop of calls to a failing engine.
RESUME_DELAY_SECONDS = 0.1


def _may_always_start() -> bool:
    return True


def _parse_line(text: bytes) -> StreamLine:
    with translating_errors('line of the engine', BackendError):
        return msgspec.json.decode(text, type=StreamLine)


def _check_status(call: StreamCall) -> None:
    if call.status == _OK:
        return
    if call.status == _UNAVAILABLE:
        raise BackendBusyError('engine is out of memory')
    if call.status == _NOT_FOUND:
        raise UnknownRunError('engine does not know the run')
    raise BackendError(f'engine answered with status {call.status}')
