"""Connections whose reset a check finds before their answer is read."""

import asyncio
import contextlib
import errno
import socket
from collections.abc import AsyncIterator

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from ..endpoints.channel import EndpointChannel
from ..errors import AttemptError
from ..flow_control import FlowControl
from ..socket_state import reset_at_close
from .builders import HOST, SimpleWire
from .builders_broken import UNFRAMED_HEAD


@contextlib.asynccontextmanager
async def begun_answer() -> AsyncIterator[
    tuple[EndpointChannel, socket.socket]
]:
    """Yield a channel that has read a part, and the endpoint's socket."""
    with socket.create_server((HOST, 0)) as listening:
        port = listening.getsockname()[1]
        opened = await EndpointChannel.connect(
            HOST, port, SimpleWire(), FlowControl()
        )
        accepted, _ = listening.accept()
    with accepted:
        start = RequestStartLine('GET', '/', 'HTTP/1.1')
        opened.send(start, HTTPHeaders(), b'', 'q1')
        await asyncio.sleep(0)
        accepted.recv(1024)
        accepted.sendall(b''.join((UNFRAMED_HEAD, b'part')))
        assert await opened.read_chunk() == b'part'
        yield opened, accepted
    opened.close()


async def test_reset_that_a_check_has_found_is_no_end() -> None:
    """Guards against a part that is complete after a check for silence.

    The system reports a reset to the first that asks, and an end to the next.
    """
    async with begun_answer() as (opened, accepted):
        reset_at_close(accepted)
        accepted.close()
        assert not opened.has_unread_bytes
        with pytest.raises(AttemptError):
            await opened.read_chunk()
        assert not opened.is_complete
        assert isinstance(opened.stream.error, OSError)
        assert opened.stream.error.errno == errno.ECONNRESET


async def test_end_that_a_check_has_found_is_an_end() -> None:
    """Guards against the loss of a whole answer after a check for silence."""
    async with begun_answer() as (opened, accepted):
        accepted.close()
        assert not opened.has_unread_bytes
        assert await opened.read_chunk() == b''
        assert opened.is_complete
