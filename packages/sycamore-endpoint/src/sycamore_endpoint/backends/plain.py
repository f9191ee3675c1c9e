"""Client of a plain service."""

from collections.abc import AsyncIterator

from sycamore_core.ids import RequestId
from sycamore_core.messages import Offer, PlainCall, PlainReply
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from .base import AnswerChunk, Backend, StartGate
from .stream import CONNECT_SECONDS, TIMEOUT_MARGIN_SECONDS, StreamCall

_BODYLESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


class PlainBackend(Backend):
    """Repeats the HTTP call of the caller and streams the answer."""

    def __init__(self, base_url: str, streams: CurlAsyncHTTPClient) -> None:
        self.base_url = base_url.rstrip('/')
        self.streams = streams

    async def stream_answer(
        self,
        offer: Offer,
        gate: StartGate,
        seconds: float,
    ) -> AsyncIterator[AnswerChunk]:
        """Make the call; see `Backend.stream_answer`."""
        call = StreamCall(self.streams, self._request(offer, seconds), gate)
        call.start()
        try:
            async for chunk in _read_answer(call):
                yield chunk
        finally:
            call.abort()

    async def cancel(self, request_id: RequestId) -> bool:
        """Return True: a plain service holds no memory for a run."""
        return True

    def _request(self, offer: Offer, seconds: float) -> HTTPRequest:
        plain_call = offer.plain_call or PlainCall(method='POST', path='/')
        path = plain_call.path.lstrip('/')
        body = offer.payload or None
        if body is None and plain_call.method not in _BODYLESS_METHODS:
            body = b''
        return HTTPRequest(
            f'{self.base_url}/{path}',
            method=plain_call.method,
            headers={
                'Request-Id': offer.request_id,
                'Content-Type': plain_call.content_type,
            },
            body=body,
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_SECONDS,
            request_timeout=seconds + TIMEOUT_MARGIN_SECONDS,
            follow_redirects=False,
        )


async def _read_answer(call: StreamCall) -> AsyncIterator[AnswerChunk]:
    chunk = await call.read()
    reply = PlainReply(call.status, call.head.content_type)
    yield AnswerChunk(chunk, plain_reply=reply)
    while chunk := await call.read():
        yield AnswerChunk(chunk)
