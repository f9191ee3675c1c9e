"""Reading of one answer of an endpoint, with a bounded buffer."""

import asyncio
from collections.abc import Callable

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.http_answers import ends_with_connection, is_http_status
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from ..errors import AttemptError
from ..flow_control import CONNECTION_BYTES, PIECE_BYTES, HeldBytes
from .endpoint_stream import EndpointStream

#: Bytes of an answer that are buffered for a slow caller before reading stops.
#: The next piece is added to them. As many bytes wait to be written meanwhile,
#: and one piece is being written.
_BUFFER_BYTES = (CONNECTION_BYTES - PIECE_BYTES) // 2 - PIECE_BYTES
_FIRST_FINAL_STATUS = 200


class AnswerReader(HTTPMessageDelegate):
    """Buffers one answer as it arrives.

    Parameters
    ----------
    held
        Bytes that the process holds.
    stream
        The connection on which the answer arrives.
    method
        Method of the request.

    Attributes
    ----------
    fault
        What is wrong with the answer; empty if nothing is known to be.
    is_complete
        Whether the answer has arrived completely.
    is_interrupted
        Whether the buffered bytes are the last that are taken for now.
    is_closed
        Whether bytes that are still read are dropped.
    on_end
        Called once no more bytes will arrive, perhaps repeatedly; None if
        nothing depends on it.
    on_reading_stopped
        Called when the answer has ended, or waits because its buffer is full;
        None if nothing depends on it.
    """

    def __init__(
        self, held: HeldBytes, stream: EndpointStream, method: str = ''
    ) -> None:
        self.held = held
        self.stream = stream
        self.method = method
        self.start: ResponseStartLine | None = None
        self.headers: HTTPHeaders | None = None
        self.fault = ''
        self.is_complete = False
        self.is_over = False
        self.is_interrupted = False
        self.is_closed = False
        self.on_end: Callable[[], None] | None = None
        self.on_reading_stopped: Callable[[], None] | None = None
        self._chunks: list[bytes] = []
        self._waiting_bytes = 0
        self._held_bytes = 0
        self._arrived = asyncio.Event()
        self._consumed = asyncio.Event()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store status and headers, but not those of an interim answer.

        Raises
        ------
        HTTPInputError
            If HTTP does not define the status. The connection is then closed,
            as after a head that cannot be parsed.
        """
        assert isinstance(start_line, ResponseStartLine)
        if not is_http_status(start_line.code):
            self.fault = f'status {start_line.code} is not one of HTTP'
            raise HTTPInputError(self.fault)
        if start_line.code < _FIRST_FINAL_STATUS:
            return
        self.start = start_line
        self.headers = headers
        self._arrived.set()

    async def data_received(self, chunk: bytes) -> None:
        """Buffer bytes of the body; return once the buffer has capacity."""
        if self.is_closed:
            return
        self._chunks.append(chunk)
        self._waiting_bytes += len(chunk)
        if not self.is_over:
            self.held.add(len(chunk))
            self._held_bytes += len(chunk)
        self._arrived.set()
        if self.is_full:
            self._report_stop()
        while self.is_full:
            self._consumed.clear()
            await self._consumed.wait()

    def finish(self) -> None:
        """Record that the answer is complete, unless it broke off.

        The parser takes any end of the connection for the end of an answer
        without a length: also a reset, and a close by the entry itself.
        """
        if self._is_broken_off():
            self.fault = 'an answer without a length was broken off'
        self.is_complete = not (self.is_closed or self.fault)
        self.end()

    def on_connection_close(self) -> None:
        """Record that the connection broke before the end of the answer."""
        self.end()

    def end(self) -> None:
        """Record that no more bytes will arrive."""
        self.is_over = True
        self._arrived.set()
        if self.on_end is not None:
            self.on_end()
        self._report_stop()

    def close(self) -> None:
        """Record that nobody takes further bytes, and stop waiting for it.

        The task that reads may not be cancelled while it waits here: tornado
        takes that for a fault of this class.
        """
        self.is_closed = not self.is_complete
        self.end()
        self.release()
        self._consumed.set()

    def interrupt(self) -> None:
        """Let nothing wait for more bytes until the answer goes on."""
        self.is_interrupted = True
        self._arrived.set()

    def go_on(self) -> None:
        """End an interruption."""
        self.is_interrupted = False

    async def wait(self) -> None:
        """Wait until something has arrived since the last call.

        Raises
        ------
        AttemptError
            If the answer is interrupted.
        """
        if self.is_interrupted:
            raise AttemptError(AttemptEnd.SILENT, 'the attempt was given up')
        await self._arrived.wait()
        self._arrived.clear()

    @property
    def has_chunks(self) -> bool:
        """Whether bytes of the body are buffered."""
        return bool(self._chunks)

    def pop_body(self) -> bytes:
        """Remove and return the buffered bytes of the body."""
        body = b''.join(self._chunks)
        self._chunks.clear()
        self._waiting_bytes = 0
        self.release()
        self._consumed.set()
        return body

    def put_back(self, body: bytes) -> None:
        """Return bytes that were taken and are not used."""
        if not body:
            return
        self._chunks.insert(0, body)
        self._waiting_bytes += len(body)
        if not self.is_over:
            self.held.add(len(body))
            self._held_bytes += len(body)

    def release(self) -> None:
        """Count the buffered bytes no longer as held.

        They stay: the rest of an answer that is complete may still be taken.
        """
        self.held.remove(self._held_bytes)
        self._held_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether nothing more is read until the buffer has been taken.

        An empty buffer takes a piece even if the process holds too many bytes,
        so that each answer goes on as its caller reads.
        """
        if self.is_closed:
            return False
        if self._waiting_bytes > _BUFFER_BYTES:
            return True
        return bool(self._waiting_bytes) and self.held.is_full

    def _is_broken_off(self) -> bool:
        """Return whether the answer lacks the end that completes it."""
        if self.start is None or self.headers is None:
            return False
        if self.stream.has_ended_in_order:
            return False
        return ends_with_connection(self.method, self.start.code, self.headers)

    def _report_stop(self) -> None:
        if self.on_reading_stopped is not None:
            self.on_reading_stopped()
