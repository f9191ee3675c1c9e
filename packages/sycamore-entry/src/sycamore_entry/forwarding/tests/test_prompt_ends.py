"""Endpoints that end an answer without a length as soon as they may."""

import asyncio
import socket
import time

from tornado.httputil import HTTPHeaders, RequestStartLine

from ..endpoints.channel import EndpointChannel
from ..flow_control import FlowControl
from .builders import HOST, SimpleWire
from .builders_broken import UNFRAMED_HEAD, UPLOAD

START = RequestStartLine('POST', '/', 'HTTP/1.1')
#: End of a request, which occurs nowhere else in it.
LAST_BYTE = b'!'
BODY = UPLOAD + LAST_BYTE
REQUESTS = 10
#: Length of each turn of the event loop, in seconds. An endpoint answers and
#: ends within it.
TURN_SECONDS = 0.002


def answer_each(listening: socket.socket) -> None:
    """Answer, read the request and end, for each connection in turn."""
    for _ in range(REQUESTS):
        accepted, _ = listening.accept()
        with accepted:
            accepted.sendall(b''.join((UNFRAMED_HEAD, b'whole')))
            received = bytearray()
            while not received.endswith(LAST_BYTE):
                received += accepted.recv(len(BODY))


async def take_turns() -> None:
    """Let each turn of the event loop last for a while."""
    while True:
        time.sleep(TURN_SECONDS)
        await asyncio.sleep(0)


async def upload(port: int) -> bytes:
    """Return the body of the answer to a long request."""
    opened = await EndpointChannel.connect(
        HOST, port, SimpleWire(), FlowControl()
    )
    headers = HTTPHeaders({'Content-Length': str(len(BODY))})
    opened.send(START, headers, BODY, 'q1')
    answer = b''
    while chunk := await opened.read_chunk():
        answer += chunk
    return answer


async def test_end_right_behind_the_request_is_an_end() -> None:
    """Guards against a sound answer that is refused as its end comes soon."""
    with socket.create_server((HOST, 0)) as listening:
        port = listening.getsockname()[1]
        answering = asyncio.to_thread(answer_each, listening)
        served = asyncio.create_task(answering)
        turns = asyncio.create_task(take_turns())
        answers = [await upload(port) for _ in range(REQUESTS)]
        turns.cancel()
        await served
    assert set(answers) == {b'whole'}
