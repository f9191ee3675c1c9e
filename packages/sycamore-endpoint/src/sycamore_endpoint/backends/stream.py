"""One streamed HTTP call by tornado's curl client, with back-pressure.

The client's own streaming hands chunks on as fast as they come. Here the
transfer is paused while the reader is behind, so that a slow caller slows the
engine instead of filling our memory.
"""

import asyncio
from collections import deque

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse
from tornado.httputil import parse_response_start_line

from ..errors import BackendSilentError, NotStartedError, StreamCutError
from .base import StartGate

#: Bytes that may wait for the reader before the transfer is paused. One step
#: of an engine is about a hundred bytes, so this holds seconds of a stream.
BUFFER_BYTES = 65_536
#: Time to connect to the back end, which runs on the same instance.
CONNECT_SECONDS = 2.0
#: Added to the time limit of a run, after which the call ends by itself even
#: if the task that made it was lost.
SPARE_SECONDS = 5.0


_STATUS_LINE = 'HTTP/'
_CONTENT_TYPE = 'content-type:'


class StreamCall:
    """A call whose answer is read chunk by chunk.

    Attributes
    ----------
    opened
        Whether any of the body may have been sent.
    status
        HTTP status of the answer; 0 until its first byte came.
    """

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        request: HTTPRequest,
        gate: StartGate,
    ) -> None:
        self.client = client
        self.gate = gate
        self.opened = False
        self.status = 0
        self.content_type = ''
        self.error: Exception | None = None
        self._request = request
        self._body = memoryview(request.body or b'')
        self._curl: pycurl.Curl | None = None
        self._chunks: deque[bytes] = deque()
        self._waiting = 0
        self._paused = False
        self._aborted = False
        self._ended = False
        self._wake = asyncio.Event()
        request.prepare_curl_callback = self._prepare

    def start(self) -> None:
        """Send the request."""
        fetch = self.client.fetch(self._request, raise_error=False)
        fetch.add_done_callback(self._finish)

    async def read(self) -> bytes:
        """Return the next chunk, or nothing once the answer has ended.

        Raises
        ------
        NotStartedError
            If the back end was not reached, or the gate was shut.
        BackendSilentError, StreamCutError
            If the connection broke before or after the first byte.
        """
        while not self._chunks and not self._ended:
            self._wake.clear()
            await self._wake.wait()
        if self._chunks:
            chunk = self._chunks.popleft()
            self._waiting -= len(chunk)
            self._continue()
            return chunk
        self._check_end()
        return b''

    def abort(self) -> None:
        """Break the connection; nothing more is read."""
        self._aborted = True
        self._chunks.clear()
        self._waiting = 0
        self._continue()

    def _prepare(self, curl: pycurl.Curl) -> None:
        self._curl = curl
        curl.setopt(pycurl.WRITEFUNCTION, self._write)
        curl.setopt(pycurl.HEADERFUNCTION, self._note_header)
        # A kept connection may be closed by the back end just as the request
        # is sent on it, and libcurl would then send the request a second
        # time by itself. One would notice a deposit that is recorded twice.
        # A new connection has no such second try.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        if self._body:
            curl.setopt(pycurl.READFUNCTION, self._read_body)
        else:
            self._open()

    def _read_body(self, size: int) -> bytes | int:
        try:
            self._open()
        except NotStartedError:
            return pycurl.READFUNC_ABORT
        part = bytes(self._body[:size])
        self._body = self._body[size:]
        return part

    def _open(self) -> None:
        if self.opened:
            return
        self.opened = self.gate()
        if not self.opened:
            raise NotStartedError('may not begin')

    def _note_header(self, line: bytes) -> None:
        text = line.decode('latin-1').strip()
        if text.startswith(_STATUS_LINE):
            self.status = parse_response_start_line(text).code
            self.content_type = ''
        elif text.lower().startswith(_CONTENT_TYPE):
            self.content_type = text[len(_CONTENT_TYPE) :].strip()

    def _write(self, chunk: bytes) -> int:
        if self._aborted:
            return 0
        if self._waiting >= BUFFER_BYTES:
            self._paused = True
            return pycurl.WRITEFUNC_PAUSE
        self._chunks.append(chunk)
        self._waiting += len(chunk)
        self._wake.set()
        return len(chunk)

    def _continue(self) -> None:
        if not self._paused or self._ended or self._curl is None:
            return
        self._paused = False
        self._curl.pause(pycurl.PAUSE_CONT)

    def _finish(self, fetch: 'asyncio.Future[HTTPResponse]') -> None:
        self._ended = True
        self._curl = None
        self._wake.set()
        if fetch.cancelled():
            self.error = StreamCutError('given up')
            return
        self.error = fetch.exception()
        if self.error is None:
            self._note_answer(fetch.result())

    def _note_answer(self, response: HTTPResponse) -> None:
        status_only = isinstance(response.error, HTTPError)
        if status_only and not isinstance(response.error, CurlError):
            # An answer with an error status has come whole all the same.
            return
        self.error = response.error

    def _check_end(self) -> None:
        if not self.opened:
            raise NotStartedError(str(self.error))
        if self.error is None:
            return
        if self.status:
            raise StreamCutError(str(self.error))
        raise BackendSilentError(str(self.error))
