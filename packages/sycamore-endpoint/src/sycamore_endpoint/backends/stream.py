"""Streamed HTTP calls with back-pressure, by tornado's curl client.

The streaming interface of the client delivers chunks as fast as they arrive.
This module pauses the transfer while the reader lags, so that a slow caller
slows down the engine instead of filling the memory of this process.
"""

import asyncio
from collections import deque

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from ..errors import (
    BackendUnreachableError,
    NotStartedError,
    StreamInterruptedError,
)
from .answer_head import AnswerHead
from .base import StartGate

#: Bytes buffered for the reader before the transfer is paused. One step of an
#: engine is about a hundred bytes, so the buffer holds seconds of a stream.
BUFFER_BYTES = 65_536
#: Connection timeout, in seconds. The back end runs on the same instance.
CONNECT_SECONDS = 2.0
#: Time added to the time limit of a run, in seconds. The call then times out
#: even if the task that started it was lost.
TIMEOUT_MARGIN_SECONDS = 5.0


class StreamCall:
    """An HTTP call whose answer is read chunk by chunk.

    Attributes
    ----------
    sending_started
        Whether any part of the body may have been sent.
    head
        Status and headers of the answer, as far as they have arrived.
    """

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        request: HTTPRequest,
        gate: StartGate,
    ) -> None:
        self.client = client
        self.gate = gate
        self.sending_started = False
        self.head = AnswerHead(request.method)
        self.error: Exception | None = None
        self._request = request
        self._body = memoryview(request.body or b'')
        self._curl: pycurl.Curl | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._paused = False
        self._aborted = False
        self._ended = False
        self._data_ready = asyncio.Event()
        request.prepare_curl_callback = self._configure_curl

    @property
    def status(self) -> int:
        """Return the status of the answer; 0 until its status line arrives."""
        return self.head.status

    def start(self) -> None:
        """Send the request."""
        fetch = self.client.fetch(self._request, raise_error=False)
        fetch.add_done_callback(self._on_finished)

    async def read(self) -> bytes:
        """Return the next chunk, or empty bytes at the end of the answer.

        Raises
        ------
        NotStartedError
            If the back end was not reached, or the gate returned False.
        BackendUnreachableError
            If the connection broke before the status line of the answer.
        StreamInterruptedError
            If the connection broke after the status line of the answer.
        """
        while not self._chunks and not self._ended:
            self._data_ready.clear()
            await self._data_ready.wait()
        if self._chunks:
            chunk = self._chunks.popleft()
            self._buffered_bytes -= len(chunk)
            self._resume_transfer()
            return chunk
        self._raise_for_failure()
        return b''

    def abort(self) -> None:
        """Close the connection and discard the rest of the answer."""
        self._aborted = True
        self._chunks.clear()
        self._buffered_bytes = 0
        self._resume_transfer()

    def _configure_curl(self, curl: pycurl.Curl) -> None:
        self._curl = curl
        curl.setopt(pycurl.WRITEFUNCTION, self._receive_chunk)
        curl.setopt(pycurl.HEADERFUNCTION, self._record_header)
        # The back end may close a reused connection just as the request is
        # sent. libcurl would then send the request again on its own, and a
        # deposit could be recorded twice. On a new connection libcurl does
        # not retry.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        if self._body:
            curl.setopt(pycurl.READFUNCTION, self._read_body)
        else:
            self._start_sending()

    def _read_body(self, size: int) -> bytes | int:
        try:
            self._start_sending()
        except NotStartedError:
            return pycurl.READFUNC_ABORT
        chunk = bytes(self._body[:size])
        self._body = self._body[size:]
        return chunk

    def _start_sending(self) -> None:
        if self.sending_started:
            return
        self.sending_started = self.gate()
        if not self.sending_started:
            raise NotStartedError('run may no longer start')

    def _record_header(self, line: bytes) -> int:
        """Read a line of the head; end the transfer if it is none of HTTP."""
        return len(line) if self.head.take_line(line) else 0

    def _receive_chunk(self, chunk: bytes) -> int:
        if self._aborted:
            return 0
        if self._buffered_bytes >= BUFFER_BYTES:
            self._paused = True
            return pycurl.WRITEFUNC_PAUSE
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._data_ready.set()
        return len(chunk)

    def _resume_transfer(self) -> None:
        if not self._paused or self._ended or self._curl is None:
            return
        self._paused = False
        self._curl.pause(pycurl.PAUSE_CONT)

    def _on_finished(self, fetch: 'asyncio.Future[HTTPResponse]') -> None:
        self._ended = True
        self._curl = None
        self._data_ready.set()
        if fetch.cancelled():
            self.error = StreamInterruptedError('call was cancelled')
            return
        self.error = fetch.exception()
        if self.error is None:
            self._record_response(fetch.result())
        if self.error is None and self._is_broken_off:
            self.error = StreamInterruptedError(
                'an answer without a length was broken off'
            )

    @property
    def _is_broken_off(self) -> bool:
        """Whether an answer without a length ended before its request.

        A back end that ends its connection then will not read the rest, and
        may as well have broken off its answer.
        """
        return bool(self._body) and self.head.ends_with_connection

    def _record_response(self, response: HTTPResponse) -> None:
        is_http_error = isinstance(response.error, HTTPError)
        if is_http_error and not isinstance(response.error, CurlError):
            # An answer with an error status is complete as well.
            return
        self.error = response.error

    def _raise_for_failure(self) -> None:
        if not self.sending_started:
            raise NotStartedError(str(self.error))
        if self.error is None:
            return
        message = self.head.fault or str(self.error)
        if self.status:
            raise StreamInterruptedError(message)
        raise BackendUnreachableError(message)
