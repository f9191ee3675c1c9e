"""A plain service behind this endpoint process."""

from collections.abc import AsyncIterator

from sycamore_core.ids import RequestId
from sycamore_core.messages import Offer, PlainCall, PlainReply
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from .base import Backend, Piece, StartGate
from .stream import CONNECT_SECONDS, SPARE_SECONDS, StreamCall

_WITHOUT_BODY = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


class PlainBackend(Backend):
    """Makes the call that the caller made, and hands its answer on."""

    def __init__(self, base_url: str, streams: CurlAsyncHTTPClient) -> None:
        self.base_url = base_url.rstrip('/')
        self.streams = streams

    async def pieces(
        self,
        offer: Offer,
        gate: StartGate,
        seconds: float,
    ) -> AsyncIterator[Piece]:
        """Make the call; see `Backend.pieces`."""
        call = StreamCall(self.streams, self._request(offer, seconds), gate)
        call.start()
        try:
            async for piece in _pieces_of(call):
                yield piece
        finally:
            call.abort()

    async def cancel(self, request_id: RequestId) -> bool:
        """Nothing to give up: a plain service holds no memory for us."""
        return True

    def _request(self, offer: Offer, seconds: float) -> HTTPRequest:
        made = offer.plain_call or PlainCall(method='POST', path='/')
        path = made.path.lstrip('/')
        body = offer.payload or None
        if body is None and made.method not in _WITHOUT_BODY:
            body = b''
        return HTTPRequest(
            f'{self.base_url}/{path}',
            method=made.method,
            headers={
                'Request-Id': offer.request_id,
                'Content-Type': made.content_type,
            },
            body=body,
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_SECONDS,
            request_timeout=seconds + SPARE_SECONDS,
            follow_redirects=False,
        )


async def _pieces_of(call: StreamCall) -> AsyncIterator[Piece]:
    chunk = await call.read()
    reply = PlainReply(call.status, call.content_type)
    yield Piece(chunk, plain_reply=reply)
    while chunk := await call.read():
        yield Piece(chunk)
