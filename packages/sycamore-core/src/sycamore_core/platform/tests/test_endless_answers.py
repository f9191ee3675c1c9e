"""Answers of the platform that do not end."""

import asyncio
import time

import pytest

from ...errors import PlatformError
from ..http_sources import PlatformHttp
from ..transfer import MAX_ANSWER_BYTES

HOST = '127.0.0.1'
PIECE = b'x' * 65_536
#: Time within which the call ends, in seconds.
CALL_SECONDS = 10.0


async def test_answer_without_end_is_given_up() -> None:
    """Guards against a process that runs out of memory on one answer."""
    sent: list[bytes] = []

    async def send(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
        while not writer.is_closing():
            writer.write(PIECE)
            await writer.drain()
            sent.append(PIECE)

    server = await asyncio.start_server(send, HOST, 0)
    _, port = server.sockets[0].getsockname()
    http = PlatformHttp(f'http://{HOST}:{port}')
    began = time.monotonic()
    with pytest.raises(PlatformError):
        await http.get('/api/kv-range')
    assert time.monotonic() - began < CALL_SECONDS
    assert not http.is_receiving
    assert len(sent) * len(PIECE) > MAX_ANSWER_BYTES
    http.close()
    server.close()
